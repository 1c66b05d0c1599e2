// The entry point of the control service. The exit codes are those of operators::command_line.
#include <csignal>

#include "control/options.hpp"
#include "control/service.hpp"
#include "operators/command.hpp"

int main(int argc, char** argv) {
  using namespace reedspindle;
  std::signal(SIGPIPE, SIG_IGN);
  return operators::command_line(
      {"reedspindle-control", "Hands routing decisions to proxies over xDS", REEDSPINDLE_VERSION,
       [](const operators::File& file, const std::string& path) {
         static_cast<void>(control::options_in(file, path));
       },
       [](const operators::File& file, const std::string& path) {
         control::Service(control::options_in(file, path)).run();
       }},
      argc, argv);
}
