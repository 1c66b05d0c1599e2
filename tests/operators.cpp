// Reads a case file with texts of operators' files, each between a line "file [PREFIX]" and a line "end".
// Prints the result of each text: all its errors, or the values it sets and the defaults whose path starts
// with PREFIX. Outside of the texts, lines that start with two spaces hold the expected output and are
// skipped.
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "operators/file.hpp"

int main(int /*unused*/, char** argv) {
  std::ifstream file(argv[1]);
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("  ")) {
      continue;
    }
    std::cout << line << '\n';
    if (!line.starts_with("file")) {
      continue;
    }
    std::string text;
    std::string wanted;
    std::istringstream words(line.substr(4));
    words >> wanted;
    for (std::string inner; std::getline(file, inner);) {
      std::cout << inner << '\n';
      if (inner == "end") {
        break;
      }
      text += inner + '\n';
    }
    try {
      for (const std::string& shown :
           reedspindle::operators::show(reedspindle::operators::read_text(text, "FILE"))) {
        if (shown.find("default") == std::string::npos || (!wanted.empty() && shown.starts_with(wanted))) {
          std::cout << "  " << shown << '\n';
        }
      }
    } catch (const reedspindle::operators::InvalidFile& faulty) {
      for (const std::string& one : faulty.lines) {
        std::cout << "  " << one << '\n';
      }
    }
  }
}
