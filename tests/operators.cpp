// Reads a case file: texts of the operators' file between lines "file" and "end", and prints what each gives:
// all its faults, or the values it states and those of the defaults that the line "file" names. Lines
// starting with two blanks outside a text hold what is expected and are skipped.
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
