// Errors found while an operators' file is read.
#pragma once

#include <string>
#include <vector>

namespace reedspindle::operators {

// An error and the line it is in.
struct FileError {
  int line;
  std::string text;
};

// Throws InvalidFile with all errors, sorted by line. `name` is the file name used in the messages.
[[noreturn]] void throw_invalid_file(const std::string& name, std::vector<FileError> errors);

}  // namespace reedspindle::operators
