// The main function of the proxy: signals, command line and exit codes. Exit codes: 0 after a graceful
// shutdown, 2 if the configuration or the command line is not valid, 1 for any other error. Without arguments
// it uses only the placement file, which the environment variable ROUTER_CONFIG names.
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "operators/command.hpp"
#include "proxy/proxy_server.hpp"
#include "proxy/signal_mask.hpp"
#include "settings/settings.hpp"

int main(int count, char** words) {
  using namespace reedspindle;
  std::signal(SIGPIPE, SIG_IGN);
  proxy::block_signals();
  const auto run = [](const proxy::ProxyOptions& options) {
    proxy::ProxyServer([](const char* name) { return std::getenv(name); }, options).run();
  };
  try {
    if (count == 1) {
      run({});
      return 0;
    }
    return operators::command_line(
        {"reedspindle",
         "Routes requests to the servers of a replicated store; ROUTER_CONFIG names the placement file",
         REEDSPINDLE_VERSION,
         [](const operators::File& file, const std::string& path) { proxy::proxy_options_in(file, path); },
         [&run](const operators::File& file, const std::string& path) {
           try {
             run(proxy::proxy_options_in(file, path));
           } catch (const InvalidInput& error) {
             throw operators::InvalidFile({fmt::format("reedspindle: {}", error.what())});
           }
         }},
        count, words);
  } catch (const InvalidInput& error) {
    std::cerr << "reedspindle: " << error.what() << '\n';
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "reedspindle: " << error.what() << '\n';
    return 1;
  }
}
