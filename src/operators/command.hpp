// The command line that all programs with an operators' file share: run, check, show, --help, --version.
#pragma once

#include <functional>
#include <string>

#include "operators/file.hpp"

namespace reedspindle::operators {

struct Program {
  std::string name, what, version;
  // Both get the file and its path, for messages. The first throws Faulty where keys don't go together.
  std::function<void(const File&, const std::string&)> check, run;
};

// The exit code. 0: done, or stopped when told; 2: what was said at start is faulty; 1: anything else.
int command_line(const Program& program, int count, const char* const* words);

}  // namespace reedspindle::operators
