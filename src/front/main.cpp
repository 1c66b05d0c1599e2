// The front's process: signals and exit codes. 0: stopped when told; 2: what it was told at start is faulty;
// 1: anything else.
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "front/front.hpp"
#include "values.hpp"

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    reedspindle::front::Front front([](const char* name) { return std::getenv(name); });
    front.run();
    return 0;
  } catch (const reedspindle::Malformed& fault) {
    std::cerr << "reedspindle: " << fault.what() << '\n';
    return 2;
  } catch (const std::exception& fault) {
    std::cerr << "reedspindle: " << fault.what() << '\n';
    return 1;
  }
}
