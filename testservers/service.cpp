#include "testservers/service.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>
#include <utility>

namespace reedspindle::testservers {

std::string own_address() {
  static int last = 18000;
  const int pid = getpid();
  return fmt::format("127.{}.{}.{}:{}", 64 + (pid >> 16 & 63), pid >> 8 & 255, pid & 255, ++last);
}

ServiceProcess::ServiceProcess(std::string program, std::string folder, std::string name,
                               std::string discovery, std::string more_of_control, std::string other_lists)
    : program_(std::move(program)),
      folder_(std::move(folder)),
      name_(std::move(name)),
      address_(own_address()) {
  file_ = folder_ + "/" + name_ + ".sexp", log_ = folder_ + "/" + name_ + ".log";
  if (other_lists.empty()) {
    other_lists =
        "(op-type (name save) (needs write)) (op-type (name browse) (needs bounded) (bound 1500ms))"
        "(op-type (name own) (needs session)) (op-type (name report) (needs any))";
  }
  std::ofstream(file_) << fmt::format(
      "(reedspindle (log (lines-of-a-kind 100000)) {}\n (control (name {}) (listen \"{}\")\n"
      "  (discovery \"{}\") (keep \"{}\") {}))\n",
      other_lists, name_, address_, discovery, keep(), more_of_control);
}

ServiceProcess::~ServiceProcess() {
  if (pid_ > 0) {
    end(SIGKILL);
  }
}

void ServiceProcess::start() {
  pid_ = fork();
  if (pid_ != 0) {
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(log, STDERR_FILENO);
  execl(program_.c_str(), program_.c_str(), "run", file_.c_str(), nullptr);
  _exit(127);
}

void ServiceProcess::end(int signal) {
  kill(pid_, signal);
  wait();
}

int ServiceProcess::wait() {
  int status = 0;
  waitpid(std::exchange(pid_, 0), &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string ServiceProcess::target() const { return address_; }

std::string ServiceProcess::log() const {
  std::ifstream file(log_);
  return {std::istreambuf_iterator<char>(file), {}};
}

bool ServiceProcess::says(const std::string& text) const {
  for (int turn = 0; turn < 1000; ++turn) {
    if (log().find(text) != std::string::npos) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

ServiceProcess::Cost ServiceProcess::cost() const {
  Cost cost;
  std::ifstream status(fmt::format("/proc/{}/status", pid_));
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      cost.resident = std::stol(line.substr(6));
    }
    if (line.starts_with("VmHWM:")) {
      cost.most = std::stol(line.substr(6));
    }
  }
  std::ifstream stat(fmt::format("/proc/{}/stat", pid_));
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  for (int at = 3; fields >> field && at <= 15; ++at) {
    if (at == 14 || at == 15) {
      ticks += std::stod(field);
    }
  }
  cost.processor = ticks * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
  return cost;
}

}  // namespace reedspindle::testservers
