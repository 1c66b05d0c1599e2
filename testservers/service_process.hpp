// The real control service as a child process, told by a file that is written for it.
#pragma once

#include <sys/types.h>

#include <string>

namespace reedspindle::testservers {

class ServiceProcess {
 public:
  // The folder holds its file, what it keeps and its log. Of the text, $PORT and $KEEP are filled in.
  ServiceProcess(std::string program, std::string folder, std::string name, std::string discovery,
                 std::string control_settings = "", std::string request_classes = "");
  ~ServiceProcess();

  void start();
  void stop(int signal);  // and waits for it; returns when it is gone
  int wait();             // its exit code, or below 0: the signal it died by
  std::string target() const;
  std::string log() const;
  // Waits until the log says so, for ten seconds.
  bool wait_for_log(const std::string& text) const;
  std::string state_folder() const { return folder_ + "/" + name_ + "-keep"; }
  pid_t pid() const { return pid_; }
  // KB resident now and at most, ms of processor time.
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

// An address and a port on loopback that no other process of these tests uses: outgoing connections leave
// from another address, so it stays free while the service is down.
std::string unused_address();

}  // namespace reedspindle::testservers
