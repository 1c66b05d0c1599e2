// Runs the control service as a child process, with a settings file that is generated for it.
#pragma once

#include <sys/types.h>

#include <string>

namespace reedspindle::testservers {

class ServiceProcess {
 public:
  // The folder holds the settings file, the stored registry and the log. control_settings is added to the
  // section (control ...) of the settings; request_classes replaces the default (op-type ...) sections if it
  // is not empty.
  ServiceProcess(std::string program, std::string folder, std::string name, std::string discovery,
                 std::string control_settings = "", std::string request_classes = "");
  ~ServiceProcess();

  void start();
  void stop(int signal);  // sends the signal and returns once the process has ended
  int wait();             // returns the exit code, or the negated number of the signal that ended the process
  std::string target() const;
  std::string log() const;
  // Waits up to 10 s until the log contains the text.
  bool wait_for_log(const std::string& text) const;
  std::string state_folder() const { return folder_ + "/" + name_ + "-keep"; }
  pid_t pid() const { return pid_; }
  // Resident memory now and at its peak, and processor time.
  struct ResourceUsage {
    long resident_kb = 0, peak_resident_kb = 0;
    double processor_ms = 0;
  };
  ResourceUsage resource_usage() const;

 private:
  const std::string program_, folder_, name_;
  std::string settings_path_, log_path_, address_;
  pid_t pid_ = 0;
};

// Returns a loopback address and port that no other process of these tests uses. Outgoing connections use
// another local address, so the port stays free while the service is down.
std::string unused_address();

}  // namespace reedspindle::testservers
