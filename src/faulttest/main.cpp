// The rig's process. Exit codes: 0 all steps held; 1 one did not; 2 a faulty plan or command line.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "faulttest/fault_test.hpp"
#include "faulttest/report.hpp"

namespace {

using namespace reedspindle;

// A folder of the run's own, gone with it unless it is to be kept.
class Folder {
 public:
  explicit Folder(std::string kept) : keep_(!kept.empty()) {
    if (keep_) {
      path_ = std::filesystem::absolute(kept);
      std::filesystem::create_directories(path_);
    } else {
      std::string made = (std::filesystem::temp_directory_path() / "reedspindle-faulttest-XXXXXX").string();
      if (!mkdtemp(made.data())) {
        throw std::runtime_error("no folder can be made for the run");
      }
      path_ = made;
    }
  }
  ~Folder() {
    std::error_code none;
    if (!keep_) {
      std::filesystem::remove_all(path_, none);
    }
  }
  [[nodiscard]] std::string path() const { return path_; }

 private:
  const bool keep_;
  std::filesystem::path path_;
};

int run(const faulttest::Plan& plan, const std::string& program, const std::string& keep, bool times) {
  const Folder folder(keep);
  faulttest::FaultTest rig(plan, program, folder.path());
  const auto record = [&] { std::ofstream(folder.path() + "/run.json") << rig.record().dump() << '\n'; };
  for (const faulttest::Step& step : plan.steps) {
    std::cout << faulttest::describe(step) << std::endl;
    const faulttest::Outcome outcome = rig.carry_out(step);
    std::string text = step.until == "now" ? "" : step.until;
    for (const int front : step.of) {
      text += fmt::format(" {}", front);
    }
    if (!step.none_failed.empty()) {
      text += text.empty() ? "nobody is mistaken" : ", nobody is mistaken";
    }
    if (times) {
      text += fmt::format("  [{:.2f} s, {}]", outcome.took / 1000, rig.load());
    }
    if (outcome.held) {
      if (!text.empty()) {
        std::cout << "  " << text << std::endl;
      }
      continue;
    }
    std::cout << fmt::format("  line {}: not {}: {}", step.line, text, outcome.why) << std::endl;
    for (const std::string& view : rig.views()) {
      std::cout << "  " << view << '\n';
    }
    record();
    return 1;
  }
  const faulttest::Outcome end = rig.finish();
  record();
  if (!end.held) {
    std::cout << "  at the end: " << end.why << std::endl;
    return 1;
  }
  if (times) {
    for (const std::string& view : rig.views()) {
      std::cout << view << '\n';
    }
  }
  return 0;
}

}  // namespace

int main(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"Runs real fronts on loopback and breaks the links between them", "reedspindle-faulttest"};
  app.set_version_flag("--version", std::string("reedspindle-faulttest ") + REEDSPINDLE_VERSION);
  app.require_subcommand(1);
  std::string path;
  std::string keep;
  std::string program = (std::filesystem::path(words[0]).parent_path() / "reedspindle").string();
  bool times = false;
  const auto command = [&](const char* name, const char* what) {
    CLI::App* added = app.add_subcommand(name, what);
    added->add_option("plan", path, "the plan")->required();
    return added;
  };
  CLI::App* running = command("run", "carry the plan out");
  running->add_option("--program", program, "the front; beside this program otherwise");
  running->add_option("--keep", keep, "a folder for the processes' files and logs, which stays");
  running->add_flag("--times", times, "how long each step took, what was sent, and each view at the end");
  CLI::App* check = command("check", "read the plan, name all that is faulty in it");
  CLI::App* show = command("show", "print the steps");
  CLI::App* fleet =
      app.add_subcommand("show-fleet", "print the views that the processes of a run wrote last");
  fleet->add_option("folder", path, "the folder named by --keep")->required();
  CLI::App* telling = app.add_subcommand("report", "tell a run second by second: faults, ops, broken rules");
  telling->add_option("folder", path, "the folder named by --keep")->required();
  telling->add_flag("--json", times, "the record as it is");
  try {
    app.parse(count, words);
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
    if (*telling) {
      std::ifstream file(path + "/run.json");
      const auto record = nlohmann::json::parse(file, nullptr, false);
      if (!record.is_object()) {
        throw std::runtime_error(path + "/run.json is missing or does not read");
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
    const faulttest::Plan plan =
        faulttest::parse_plan(operators::read_file(path, faulttest::kPlanForm), path);
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
