// A front as a child process of the rig: its placement and operators' file, signals, its log and its status.
// It dies with the rig, however that ends.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "routing/router.hpp"

namespace reedspindle::faulttest {

class Process {
 public:
  // Its files are in the folder under its label, which stays while its name may change.
  Process(std::string program, std::string folder, std::string label);
  ~Process();
  Process(const Process&) = delete;

  void start(const std::string& config, const std::string& orders);
  // The placement is another from now on, and it is told so.
  void reload(const std::string& config);
  void signal(int signal);  // SIGSTOP, SIGCONT and such as end it
  [[nodiscard]] bool up() const { return pid_ > 0 && !ending_; }
  // There is a process, even if it was told to end.
  [[nodiscard]] bool runs() const { return pid_ > 0; }
  [[nodiscard]] bool stopped() const { return stopped_; }
  // Looks whether it has ended. True: it did by itself, which a front that was not told to must not.
  bool crashed();
  [[nodiscard]] pid_t pid() const { return pid_; }

  [[nodiscard]] std::string status_path() const { return folder_ + "/" + label_ + ".status"; }
  // What it said last of its fellows in this life; null: nothing yet.
  [[nodiscard]] nlohmann::json status() const;
  // Lines of its log that came since the last call, those that read as JSON.
  std::vector<nlohmann::json> log_lines();

 private:
  const std::string program_, folder_, label_;
  pid_t pid_ = 0;
  bool stopped_ = false, ending_ = false;
  std::size_t log_read_ = 0;
};

}  // namespace reedspindle::faulttest
