// A router ("front") as a child process of the fault test: its placement and operators' files, signals, log
// and status file. The kernel kills it when the fault test ends, however that happens.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "routing/router.hpp"

namespace reedspindle::faulttest {

class Process {
 public:
  // Its files are in the folder under the label, which stays the same when the front is started under another
  // name.
  Process(std::string program, std::string folder, std::string label);
  ~Process();
  Process(const Process&) = delete;

  void start(const std::string& config, const std::string& operators_file);
  // Writes a new placement file and sends SIGHUP if the process is running.
  void reload(const std::string& config);
  void signal(int signal);  // SIGSTOP, SIGCONT, SIGHUP, SIGTERM or SIGKILL
  [[nodiscard]] bool running() const { return pid_ > 0 && !terminating_; }
  // Whether the process exists, even if it has been sent SIGTERM.
  [[nodiscard]] bool exists() const { return pid_ > 0; }
  [[nodiscard]] bool stopped() const { return stopped_; }
  // Reaps the process if it has ended. Returns true if it ended without having been sent SIGTERM, which is a
  // fault.
  bool crashed();
  [[nodiscard]] pid_t pid() const { return pid_; }

  [[nodiscard]] std::string status_path() const { return folder_ + "/" + label_ + ".status"; }
  // The last status file since its start; null if there is none yet.
  [[nodiscard]] nlohmann::json status() const;
  // The lines of its log since the last call that are JSON objects.
  std::vector<nlohmann::json> log_lines();

 private:
  const std::string program_, folder_, label_;
  pid_t pid_ = 0;
  bool stopped_ = false, terminating_ = false;
  std::size_t log_offset_ = 0;
};

}  // namespace reedspindle::faulttest
