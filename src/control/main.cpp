// The control service's process: its command line and exit codes. 0: done, or stopped when told; 2: what it
// was told at start is faulty; 1: anything else.
#include <CLI/CLI.hpp>
#include <csignal>
#include <exception>
#include <iostream>

#include "control/charge.hpp"
#include "control/service.hpp"
#include "operators/file.hpp"

int main(int count, char** words) {
  using namespace reedspindle;
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"Hands routing decisions to proxies over xDS"};
  app.set_version_flag("--version", std::string("reedspindle-control ") + REEDSPINDLE_VERSION);
  app.require_subcommand(1);
  std::string path;
  const auto command = [&](const char* name, const char* what) {
    CLI::App* added = app.add_subcommand(name, what);
    added->add_option("file", path, "the operators' file")->required();
    return added;
  };
  CLI::App* run = command("run", "serve until told to stop");
  CLI::App* check = command("check", "read the file, name all that is faulty in it");
  CLI::App* show = command("show", "print every value with where it comes from");
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& fault) {
    return app.exit(fault) == 0 ? 0 : 2;
  }
  try {
    const operators::File file = operators::read_file(path);
    control::Charge charge = control::charge_in(file, path);
    if (*show)
      for (const std::string& line : operators::show(file)) std::cout << line << '\n';
    if (*check) std::cout << path << ": sound\n";
    if (*run) control::Service(std::move(charge)).run();
    return 0;
  } catch (const operators::Faulty& faulty) {
    std::cerr << faulty.what() << '\n';
    return 2;
  } catch (const std::exception& fault) {
    std::cerr << "reedspindle-control: " << fault.what() << '\n';
    return 1;
  }
}
