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

std::string unused_address() {
  static int last = 18000;
  const int pid = getpid();
  return fmt::format("127.{}.{}.{}:{}", 64 + (pid >> 16 & 63), pid >> 8 & 255, pid & 255, ++last);
}

ServiceProcess::ServiceProcess(std::string program, std::string folder, std::string name,
                               std::string discovery, std::string control_settings,
                               std::string request_classes)
    : program_(std::move(program)),
      folder_(std::move(folder)),
      name_(std::move(name)),
      address_(unused_address()) {
  settings_path_ = folder_ + "/" + name_ + ".sexp", log_path_ = folder_ + "/" + name_ + ".log";
  if (request_classes.empty()) {
    request_classes =
        "(op-type (name save) (needs write)) (op-type (name browse) (needs bounded) (bound 1500ms))"
        "(op-type (name own) (needs session)) (op-type (name report) (needs any))";
  }
  std::ofstream(settings_path_) << fmt::format(
      "(reedspindle (log (lines-of-a-kind 100000)) {}\n (control (name {}) (listen \"{}\")\n"
      "  (discovery \"{}\") (keep \"{}\") {}))\n",
      request_classes, name_, address_, discovery, state_folder(), control_settings);
}

ServiceProcess::~ServiceProcess() {
  if (pid_ > 0) {
    stop(SIGKILL);
  }
}

void ServiceProcess::start() {
  pid_ = fork();
  if (pid_ != 0) {
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(log, STDERR_FILENO);
  execl(program_.c_str(), program_.c_str(), "run", settings_path_.c_str(), nullptr);
  _exit(127);
}

void ServiceProcess::stop(int signal) {
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
  std::ifstream file(log_path_);
  return {std::istreambuf_iterator<char>(file), {}};
}

bool ServiceProcess::wait_for_log(const std::string& text) const {
  for (int attempt = 0; attempt < 1000; ++attempt) {
    if (log().find(text) != std::string::npos) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

ServiceProcess::ResourceUsage ServiceProcess::resource_usage() const {
  ResourceUsage usage;
  std::ifstream status(fmt::format("/proc/{}/status", pid_));
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      usage.resident_kb = std::stol(line.substr(6));
    }
    if (line.starts_with("VmHWM:")) {
      usage.peak_resident_kb = std::stol(line.substr(6));
    }
  }
  std::ifstream stat(fmt::format("/proc/{}/stat", pid_));
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  for (int index = 3; fields >> field && index <= 15; ++index) {
    if (index == 14 || index == 15) {
      ticks += std::stod(field);
    }
  }
  usage.processor_ms = ticks * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
  return usage;
}

}  // namespace reedspindle::testservers
