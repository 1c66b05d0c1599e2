// The fault test program. Exit codes: 0 all steps passed; 1 a step failed; 2 invalid plan or command line.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>

#include "faulttest/fault_test.hpp"
#include "faulttest/report.hpp"

namespace {

using namespace reedspindle;

// The folder of a run, removed at its end unless it is to be kept.
class Folder {
 public:
  explicit Folder(std::string kept) : keep_(!kept.empty()) {
    if (keep_) {
      path_ = std::filesystem::absolute(kept);
      std::filesystem::create_directories(path_);
    } else {
      std::string name = (std::filesystem::temp_directory_path() / "reedspindle-faulttest-XXXXXX").string();
      if (!mkdtemp(name.data())) {
        throw std::runtime_error("cannot create a folder for the run");
      }
      path_ = name;
    }
  }
  ~Folder() {
    std::error_code ignored;
    if (!keep_) {
      std::filesystem::remove_all(path_, ignored);
    }
  }
  [[nodiscard]] std::string path() const { return path_; }

 private:
  const bool keep_;
  std::filesystem::path path_;
};

int run(const faulttest::Plan& plan, const std::string& program, const std::string& keep, bool times) {
  const Folder folder(keep);
  faulttest::FaultTest test(plan, program, folder.path());
  const auto record = [&] { std::ofstream(folder.path() + "/run.json") << test.record().dump() << '\n'; };
  for (const faulttest::Step& step : plan.steps) {
    std::cout << faulttest::describe(step) << std::endl;
    const faulttest::StepResult result = test.run_step(step);
    std::string text = step.until == "now" ? "" : step.until;
    for (const int front : step.of) {
      text += fmt::format(" {}", front);
    }
    if (!step.none_failed.empty()) {
      text += text.empty() ? "no false failure" : ", no false failure";
    }
    if (times) {
      text += fmt::format("  [{:.2f} s, {}]", result.duration / 1000, test.load());
    }
    if (result.passed) {
      if (!text.empty()) {
        std::cout << "  " << text << std::endl;
      }
      continue;
    }
    std::cout << fmt::format("  line {}: not {}: {}", step.line, text, result.reason) << std::endl;
    for (const std::string& view : test.views()) {
      std::cout << "  " << view << '\n';
    }
    record();
    return 1;
  }
  const faulttest::StepResult end = test.finish();
  record();
  if (!end.passed) {
    std::cout << "  at the end: " << end.reason << std::endl;
    return 1;
  }
  if (times) {
    for (const std::string& view : test.views()) {
      std::cout << view << '\n';
    }
  }
  return 0;
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"Runs routers on loopback and injects faults into them and their links",
               "reedspindle-faulttest"};
  app.set_version_flag("--version", std::string("reedspindle-faulttest ") + REEDSPINDLE_VERSION);
  app.require_subcommand(1);
  std::string path;
  std::string keep;
  std::string program = (std::filesystem::path(arguments[0]).parent_path() / "reedspindle").string();
  bool times = false;
  const auto command = [&](const char* name, const char* what) {
    CLI::App* added = app.add_subcommand(name, what);
    added->add_option("plan", path, "plan file")->required();
    return added;
  };
  CLI::App* running = command("run", "run the plan");
  running->add_option("--program", program, "router program; default: reedspindle beside this program");
  running->add_option("--keep", keep, "folder for files and logs of the processes, kept after the run");
  std::optional<std::uint64_t> seed;
  running->add_option("--seed", seed, "seed of all random choices, instead of the plan's")
      ->check(CLI::Range(0, 2147483646));
  running->add_flag("--times", times, "print duration and traffic of each step, and each view at the end");
  CLI::App* check = command("check", "validate the plan and print all errors");
  CLI::App* show = command("show", "print the steps");
  CLI::App* fleet =
      app.add_subcommand("show-fleet", "print the last views written by the processes of a run");
  fleet->add_option("folder", path, "folder given by --keep")->required();
  CLI::App* report =
      app.add_subcommand("report", "print a run second by second: faults, ops, violated invariants");
  report->add_option("folder", path, "folder given by --keep")->required();
  report->add_flag("--json", times, "print the record as JSON");
  try {
    app.parse(count, arguments);
  } catch (const CLI::ParseError& fault) {
    return app.exit(fault) == 0 ? 0 : 2;
  }
  try {
    if (*fleet) {
      for (const std::string& view : faulttest::FaultTest::views(path)) {
        std::cout << view << '\n';
      }
      return 0;
    }
    if (*report) {
      std::ifstream file(path + "/run.json");
      const auto record = nlohmann::json::parse(file, nullptr, false);
      if (!record.is_object()) {
        throw std::runtime_error(path + "/run.json is missing or invalid");
      }
      if (times) {
        std::cout << record.dump(2) << '\n';
      }
      if (!times) {
        for (const std::string& line : faulttest::report(record)) {
          std::cout << line << '\n';
        }
      }
      return 0;
    }
    operators::File file = operators::read_file(path, faulttest::kPlanForm);
    if (seed) {
      file.values["seed"] = *seed;
    }
    const faulttest::Plan plan = faulttest::parse_plan(file, path);
    if (*check) {
      std::cout << path << ": sound\n";
    }
    if (*show) {
      for (const faulttest::Step& step : plan.steps) {
        std::cout << faulttest::describe(step) << '\n';
      }
    }
    return *running ? run(plan, program, keep, times) : 0;
  } catch (const operators::InvalidFile& faulty) {
    std::cerr << faulty.what() << '\n';
    return 2;
  } catch (const std::exception& fault) {
    std::cerr << "reedspindle-faulttest: " << fault.what() << '\n';
    return 1;
  }
}
