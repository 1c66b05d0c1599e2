// Errors of an operators' file while it is being read.
#pragma once

#include <string>
#include <vector>

namespace reedspindle::operators {

struct FileError {
  int line;
  std::string text;
};

// Throws InvalidFile with all errors, sorted by line; the name is the file's, for messages.
[[noreturn]] void throw_invalid_file(const std::string& name, std::vector<FileError> errors);

}  // namespace reedspindle::operators
