// The real control service as a child process, told by a file that is written for it.
#pragma once

#include <sys/types.h>

#include <string>

namespace reedspindle::testservers {

class ServiceProcess {
 public:
  // The folder holds its file, what it keeps and its log. Of the text, $PORT and $KEEP are filled in.
  ServiceProcess(std::string program, std::string folder, std::string name, std::string discovery,
                 std::string more_of_control = "", std::string other_lists = "");
  ~ServiceProcess();

  void start();
  void end(int signal);  // and waits for it; returns when it is gone
  int wait();            // its exit code, or below 0: the signal it died by
  std::string target() const;
  std::string log() const;
  // Waits until the log says so, for ten seconds.
  bool says(const std::string& text) const;
  std::string keep() const { return folder_ + "/" + name_ + "-keep"; }
  pid_t pid() const { return pid_; }
  // KB resident now and at most, ms of processor time.
  struct Cost {
    long resident = 0, most = 0;
    double processor = 0;
  };
  Cost cost() const;

 private:
  const std::string program_, folder_, name_;
  std::string file_, log_, address_;
  pid_t pid_ = 0;
};

// An address and a port on loopback that no other process of these tests uses: outgoing connections leave
// from another address, so it stays free while the service is down.
std::string own_address();

}  // namespace reedspindle::testservers
