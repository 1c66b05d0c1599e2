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
    std::string prefix;
    std::istringstream words(line.substr(4));
    words >> prefix;
    for (std::string inner; std::getline(file, inner);) {
      std::cout << inner << '\n';
      if (inner == "end") {
        break;
      }
      text += inner + '\n';
    }
    try {
      for (const std::string& value :
           reedspindle::operators::show(reedspindle::operators::read_text(text, "FILE"))) {
        if (value.find("default") == std::string::npos || (!prefix.empty() && value.starts_with(prefix))) {
          std::cout << "  " << value << '\n';
        }
      }
    } catch (const reedspindle::operators::InvalidFile& error) {
      for (const std::string& message : error.lines) {
        std::cout << "  " << message << '\n';
      }
    }
  }
}
