// The front's process: signals, command line and exit codes. 0: stopped when told; 2: what it was told at
// start is faulty; 1: anything else. Without arguments it goes by its placement alone.
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
  const auto run = [](const proxy::ProxyOptions& orders) {
    proxy::ProxyServer([](const char* name) { return std::getenv(name); }, orders).run();
  };
  try {
    if (count == 1) {
      run({});
      return 0;
    }
    return operators::command_line(
        {"reedspindle", "Steers the ops of a replicated store; where its placement is, ROUTER_CONFIG says",
         REEDSPINDLE_VERSION,
         [](const operators::File& file, const std::string& path) { proxy::proxy_options_in(file, path); },
         [&run](const operators::File& file, const std::string& path) {
           try {
             run(proxy::proxy_options_in(file, path));
           } catch (const InvalidInput& fault) {
             throw operators::InvalidFile({fmt::format("reedspindle: {}", fault.what())});
           }
         }},
        count, words);
  } catch (const InvalidInput& fault) {
    std::cerr << "reedspindle: " << fault.what() << '\n';
    return 2;
  } catch (const std::exception& fault) {
    std::cerr << "reedspindle: " << fault.what() << '\n';
    return 1;
  }
}
