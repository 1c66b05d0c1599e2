#include "faulttest/process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace reedspindle::faulttest {
namespace {

// A child keeps this process's sockets open until it closes them, and until then an address that this process
// has closed can't be bound again. The parent therefore waits after fork until the child has closed what it
// inherited.
class InheritedSockets {
 public:
  InheritedSockets() {
    if (pipe2(ends_.data(), O_CLOEXEC) != 0) {
      throw std::system_error(errno, std::generic_category(), "pipe2");
    }
  }
  ~InheritedSockets() { close(ends_[0]); }
  InheritedSockets(const InheritedSockets&) = delete;
  InheritedSockets& operator=(const InheritedSockets&) = delete;

  // Called in the parent. The pipe reaches its end when the child closes its copy of the write end or exits.
  void wait_until_closed() {
    close(ends_[1]);
    char none = 0;
    while (read(ends_[0], &none, 1) < 0 && errno == EINTR) {
    }
  }

 private:
  std::array<int, 2> ends_{};
};

}  // namespace

Process::Process(std::string program, std::string folder, std::string label)
    : program_(std::move(program)), folder_(std::move(folder)), label_(std::move(label)) {}

Process::~Process() { signal(SIGKILL); }

void Process::start(const std::string& config, const std::string& operators_file) {
  if (running()) {
    return;
  }
  if (terminating_) {
    signal(SIGKILL);  // SIGTERM has been sent, but the process still runs
  }
  const std::string base = folder_ + "/" + label_;
  std::ofstream(base + ".json") << config;
  std::ofstream(base + ".sexp") << operators_file;
  std::error_code none;
  std::filesystem::remove(status_path(), none);
  const std::string operators_path = base + ".sexp";
  const std::string placement_path = base + ".json";
  const std::string log_path = base + ".log";
  const pid_t parent = getpid();
  InheritedSockets inherited;
  pid_ = fork();
  if (pid_ != 0) {
    inherited.wait_until_closed();
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(127);  // the parent ended before prctl took effect
  }
  const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(log, STDERR_FILENO);
  close_range(3, ~0U, 0);  // closes the sockets inherited from the parent
  for (const char* variable : {"ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"}) {
    unsetenv(variable);
  }
  setenv("ROUTER_CONFIG", placement_path.c_str(), 1);
  execl(program_.c_str(), program_.c_str(), "run", operators_path.c_str(), nullptr);
  _exit(127);
}

void Process::reload(const std::string& config) {
  std::ofstream(folder_ + "/" + label_ + ".json") << config;
  if (running()) {
    signal(SIGHUP);
  }
}

void Process::signal(int signal) {
  if (pid_ <= 0) {
    return;
  }
  kill(pid_, signal);
  if (signal == SIGSTOP) {
    stopped_ = true;
  }
  if (signal == SIGCONT) {
    stopped_ = false;
  }
  if (signal == SIGTERM) {
    terminating_ = true;
    if (std::exchange(stopped_, false)) {
      kill(pid_, SIGCONT);
    }
  }
  if (signal == SIGKILL) {
    waitpid(std::exchange(pid_, 0), nullptr, 0);
    stopped_ = terminating_ = false;
  }
}

bool Process::crashed() {
  if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) != pid_) {
    return false;
  }
  pid_ = 0;
  return !std::exchange(terminating_, false);
}

nlohmann::json Process::status() const {
  std::ifstream file(status_path());
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  return json.is_object() ? json : nlohmann::json();
}

std::vector<nlohmann::json> Process::log_lines() {
  std::vector<nlohmann::json> lines;
  std::ifstream file(folder_ + "/" + label_ + ".log");
  file.seekg(static_cast<std::streamoff>(log_offset_));
  for (std::string line; std::getline(file, line) && !file.eof();) {
    log_offset_ += line.size() + 1;
    const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
    if (json.is_object()) {
      lines.push_back(json);
    }
  }
  return lines;
}

}  // namespace reedspindle::faulttest
