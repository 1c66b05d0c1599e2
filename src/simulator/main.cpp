// Adapter for the simulator: reads batches from standard input and writes replies to standard output.
#include <iostream>
#include <string>

#include "simulator/wire.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  reedspindle::simulator::Host host;
  std::string line;
  for (long number = 1; std::getline(std::cin, line); ++number) {
    try {
      const std::string reply = host.handle_line(line);
      if (!reply.empty()) {
        std::cout << reply << std::flush;
      }
    } catch (const reedspindle::InvalidInput& error) {
      std::cerr << "line " << number << ": " << error.what() << '\n';
      return 2;
    }
  }
  return 0;
}
