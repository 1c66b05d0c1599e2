#include "operators/command.hpp"

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

namespace reedspindle::operators {

int command_line(const Program& program, int argc, const char* const* argv) {
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
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
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
  } catch (const InvalidFile& error) {
    std::cerr << error.what() << '\n';
    return 2;
  } catch (const std::exception& error) {
    std::cerr << program.name << ": " << error.what() << '\n';
    return 1;
  }
}

}  // namespace reedspindle::operators
