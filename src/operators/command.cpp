#include "operators/command.hpp"

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

namespace reedspindle::operators {

int command_line(const Program& program, int count, const char* const* words) {
  CLI::App app{program.what, program.name};
  app.set_version_flag("--version", program.name + " " + program.version);
  app.require_subcommand(1);
  std::string path;
  const auto command = [&](const char* name, const char* what) {
    CLI::App* added = app.add_subcommand(name, what);
    added->add_option("file", path, "the operators' file")->required();
    return added;
  };
  CLI::App* run = command("run", "serve until stopped by a signal");
  CLI::App* check = command("check", "validate the file and report all errors in it");
  CLI::App* show = command("show", "print every value and whether it comes from the file or is a default");
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& fault) {
    return app.exit(fault) == 0 ? 0 : 2;
  }
  try {
    const File file = read_file(path);
    program.check(file, path);
    if (*show) {
      for (const std::string& line : operators::show(file)) {
        std::cout << line << '\n';
      }
    }
    if (*check) {
      std::cout << path << ": sound\n";
    }
    if (*run) {
      program.run(file, path);
    }
    return 0;
  } catch (const InvalidFile& faulty) {
    std::cerr << faulty.what() << '\n';
    return 2;
  } catch (const std::exception& fault) {
    std::cerr << program.name << ": " << fault.what() << '\n';
    return 1;
  }
}

}  // namespace reedspindle::operators
