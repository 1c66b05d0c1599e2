// The command line shared by all programs that read an operators' file: run, check, show, --help, --version.
#pragma once

#include <functional>
#include <string>

#include "operators/file.hpp"

namespace reedspindle::operators {

// Describes a program to the shared command line.
struct Program {
  std::string name, what, version;
  // Both receive the file and its path, which is for messages. `check` throws InvalidFile if keys of the file
  // contradict each other.
  std::function<void(const File&, const std::string&)> check, run;
};

// Runs the command and returns the exit code: 0 after success, which includes a requested stop; 2 if the
// arguments or the operators' file are invalid; 1 after any other error.
int command_line(const Program& program, int argc, const char* const* argv);

}  // namespace reedspindle::operators
