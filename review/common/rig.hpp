// What the review's cases share: small stand-ins for clients, stores and discovery, the start of the proxy by
// the deploy file's `run`, and the record. Plain POSIX sockets and one thread a connection; everything on
// 127.0.0.1.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

// Exit codes of a case.
constexpr int kHeld = 0, kBroken = 1, kNotRun = 2;

// The case can't be run: a program is missing or does not start.
struct NotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Unix time in milliseconds.
inline double now_ms() {
  using Fraction = std::chrono::duration<double, std::milli>;
  return Fraction(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleep_ms(double ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
  }
}

__attribute__((format(printf, 1, 2))) inline std::string text(const char* format, ...) {
  va_list arguments;
  va_start(arguments, format);
  char buffer[4096];
  const int size = vsnprintf(buffer, sizeof buffer, format, arguments);
  va_end(arguments);
  return {buffer, static_cast<std::size_t>(std::min<int>(size, sizeof buffer - 1))};
}

// record.txt: what was sent, answered and run, each line with its time since the start in milliseconds.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc), start_(now_ms()) {}
  void line(const std::string& what) {
    const std::lock_guard lock(mutex_);
    file_ << text("%9.1f ", now_ms() - start_) << what << '\n' << std::flush;
  }
  void say(const std::string& what) {
    line(what);
    std::cout << what << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const double start_;
};

// Random numbers for all threads.
class Chance {
 public:
  explicit Chance(unsigned seed) : engine_(seed) {}
  double unit() {
    const std::lock_guard lock(mutex_);
    return std::uniform_real_distribution<double>()(engine_);
  }
  double between(double low, double high) { return low + (high - low) * unit(); }
  double exponential(double mean) { return -mean * std::log(1 - unit()); }

 private:
  std::mutex mutex_;
  std::mt19937 engine_;
};

// A socket that is closed with its owner.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      reset();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  ~Socket() { reset(); }
  void reset() {
    if (fd_ >= 0) {
      ::close(std::exchange(fd_, -1));
    }
  }
  [[nodiscard]] int fd() const { return fd_; }
  [[nodiscard]] bool open() const { return fd_ >= 0; }

  // Waits for bytes until `until` (Unix ms). Returns the number read, 0 at the end of the connection or on an
  // error, -1 if nothing came in time.
  int read_some(std::string& into, double until) const {
    pollfd wanted{fd_, POLLIN, 0};
    const double left = std::max(0.0, until - now_ms());
    if (::poll(&wanted, 1, static_cast<int>(std::min(left, 1e8)) + 1) == 0) {
      return -1;
    }
    char bytes[16384];
    const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return 0;
    }
    into.append(bytes, static_cast<std::size_t>(count));
    return static_cast<int>(count);
  }
  bool write_all(const std::string& bytes) const {
    for (std::size_t at = 0; at < bytes.size();) {
      const ssize_t count = ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      at += static_cast<std::size_t>(count);
    }
    return true;
  }

 private:
  int fd_;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens on a free port of 127.0.0.1.
inline Socket listen_anywhere(int& port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (bind(socket.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(socket.fd(), 512) != 0 ||
      getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw NotRun("no free port");
  }
  port = ntohs(address.sin_port);
  return socket;
}

inline int free_port() {
  int port = 0;
  const Socket taken = listen_anywhere(port);
  return port;
}

inline Socket connect_to(int port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = loopback(port);
  if (connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    return Socket();
  }
  const int on = 1;
  setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

// Version 3 of PostgreSQL's protocol.
inline std::string big_endian(std::uint32_t number, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) {
    out += static_cast<char>(number >> (8 * i) & 0xff);
  }
  return out;
}
inline std::uint32_t number_at(const std::string& bytes, std::size_t at, int count) {
  std::uint32_t number = 0;
  for (int i = 0; i < count; ++i) {
    number = number << 8 | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(i)]);
  }
  return number;
}
inline std::string message(char type, const std::string& body) {
  return std::string(1, type) + big_endian(static_cast<std::uint32_t>(body.size()) + 4, 4) + body;
}
inline std::string startup_message() {
  using namespace std::string_literals;
  const std::string body = big_endian(196608, 4) + "user\0svc\0database\0main\0\0"s;
  return big_endian(static_cast<std::uint32_t>(body.size()) + 4, 4) + body;
}
inline std::string query_message(const std::string& sql) { return message('Q', sql + '\0'); }
inline std::string ready() { return message('Z', "I"); }
inline std::string parameter(const std::string& name, const std::string& value) {
  return message('S', name + '\0' + value + '\0');
}
inline std::string row(const std::string& value, const std::string& tag) {
  const std::string column = std::string("v") + '\0' + big_endian(0, 4) + big_endian(0, 2) +
                             big_endian(17, 4) + big_endian(0xffff, 2) + big_endian(0xffffffff, 4) +
                             big_endian(1, 2);
  return message('T', big_endian(1, 2) + column) +
         message('D', big_endian(1, 2) + big_endian(static_cast<std::uint32_t>(value.size()), 4) + value) +
         message('C', tag + '\0');
}
inline std::string error(const std::string& code, const std::string& what) {
  using namespace std::string_literals;
  return message('E', "SERROR\0VERROR\0C"s + code + "\0M"s + what + "\0\0"s);
}

struct Message {
  char type = 0;
  std::string body;
};

// Takes one whole message from the front of the bytes.
inline std::optional<Message> take_message(std::string& bytes) {
  if (bytes.size() < 5) {
    return std::nullopt;
  }
  const std::size_t size = number_at(bytes, 1, 4) + 1;
  if (bytes.size() < size) {
    return std::nullopt;
  }
  Message taken{bytes[0], bytes.substr(5, size - 5)};
  bytes.erase(0, size);
  return taken;
}

// One of the two statements, read.
struct Statement {
  bool writes = false;
  std::string key, value_hex, id, request_class;
  int group = 0;
};
inline std::string between(const std::string& in, const std::string& left, const std::string& right) {
  const std::size_t begin = in.find(left);
  if (begin == std::string::npos) {
    return "";
  }
  const std::size_t end = in.find_first_of(right, begin + left.size());
  return in.substr(begin + left.size(),
                   end == std::string::npos ? std::string::npos : end - begin - left.size());
}
inline Statement read_statement(const std::string& sql) {
  Statement statement;
  statement.writes = sql.starts_with("INSERT");
  statement.key = between(sql, "'", "'");
  statement.value_hex = statement.writes ? between(sql, "'\\x", "'") : "";
  const std::string comment = sql.substr(sql.rfind("/*"));
  statement.id = between(comment, "id=", ", ");
  statement.request_class = between(comment, ",c=", ", ");
  statement.group = std::atoi(between(comment, "cluster=", ", ").c_str());
  return statement;
}
inline std::string to_hex(const std::string& bytes) {
  std::string out;
  out.reserve(2 * bytes.size());
  for (const char one : bytes) {
    out += "0123456789abcdef"[static_cast<unsigned char>(one) >> 4];
    out += "0123456789abcdef"[static_cast<unsigned char>(one) & 15];
  }
  return out;
}
inline std::string from_hex(const std::string& hex) {
  const auto digit = [](char one) { return one <= '9' ? one - '0' : one - 'a' + 10; };
  std::string out;
  out.reserve(hex.size() / 2);
  for (std::size_t at = 0; at + 1 < hex.size(); at += 2) {
    out += static_cast<char>(digit(hex[at]) * 16 + digit(hex[at + 1]));
  }
  return out;
}

// Threads that are joined with their owner.
class Threads {
 public:
  void start(std::function<void()> run) {
    const std::lock_guard lock(mutex_);
    threads_.emplace_back(std::move(run));
  }
  void join() {
    for (;;) {
      std::vector<std::thread> taken;
      {
        const std::lock_guard lock(mutex_);
        taken.swap(threads_);
      }
      if (taken.empty()) {
        return;
      }
      for (std::thread& thread : taken) {
        thread.join();
      }
    }
  }

 private:
  std::mutex mutex_;
  std::vector<std::thread> threads_;
};

// A server on a free port: one thread accepts, each connection has one of its own. Ends with its owner.
class Server {
 public:
  virtual ~Server() = default;
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] std::string address() const { return text("127.0.0.1:%d", port_); }
  void start() {
    listener_ = listen_anywhere(port_);
    threads_.start([this] { accept_all(); });
  }
  void stop() {
    stopping_ = true;
    ::shutdown(listener_.fd(), SHUT_RDWR);
    {
      const std::lock_guard lock(open_mutex_);
      for (const int fd : open_) {
        ::shutdown(fd, SHUT_RDWR);
      }
    }
    threads_.join();
    while (serves()) {
      sleep_ms(5);
    }
  }

 protected:
  virtual void serve(Socket& socket) = 0;
  [[nodiscard]] bool stopping() const { return stopping_; }

 private:
  void accept_all() {
    while (!stopping_) {
      Socket socket(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
      if (!socket.open()) {
        continue;
      }
      const int on = 1;
      setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(open_mutex_);
        open_.insert(socket.fd());
        ++serving_;
      }
      // Not joined: stop() waits until none is left.
      std::thread([this, held = std::make_shared<Socket>(std::move(socket))] {
        const int fd = held->fd();
        serve(*held);
        const std::lock_guard lock(open_mutex_);
        open_.erase(fd);
        held->reset();
        --serving_;
      }).detach();
    }
  }
  [[nodiscard]] bool serves() {
    const std::lock_guard lock(open_mutex_);
    return serving_ > 0;
  }

  int port_ = 0;
  Socket listener_;
  Threads threads_;
  std::atomic<bool> stopping_{false};
  std::mutex open_mutex_;
  std::set<int> open_;
  int serving_ = 0;
};

// Discovery's agent: tells one list, and nothing new on a watch.
class Discovery : public Server {
 public:
  std::string list;  // of the whole, in discovery's form; set before the start
  int revision = 1;

 protected:
  void serve(Socket& socket) override {
    std::string bytes;
    while (!stopping()) {
      while (bytes.find("\r\n\r\n") == std::string::npos) {
        if (socket.read_some(bytes, now_ms() + 1e6) <= 0) {
          return;
        }
      }
      const std::string head = bytes.substr(0, bytes.find("\r\n\r\n"));
      bytes.erase(0, head.size() + 4);
      std::string body = list;
      if (head.find("since=") != std::string::npos &&
          std::atoi(between(head, "since=", "& ").c_str()) >= revision) {
        const double until = now_ms() + std::atof(between(head, "timeout_ms=", "& ").c_str());
        while (now_ms() < until && !stopping()) {
          sleep_ms(std::min(20.0, until - now_ms()));
        }
        body = text("{\"rev\":%d,\"all\":false,\"targets\":[]}", revision);
      }
      if (!socket.write_all(
              text("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                   body.size()) +
              body)) {
        return;
      }
    }
  }
};

// A store: the protocol. What it holds, and how it answers, is for the case to say.
class Store : public Server {
 public:
  struct Answer {
    std::string bytes;
  };
  // `last_byte` is when the statement's last byte had come.
  std::function<Answer(const std::string& sql, double last_byte)> on_statement;
  std::function<std::string()> on_vitals;    // the report
  std::function<double()> connection_delay;  // ms until a new connection comes up
  std::function<double()> idle_limit;        // ms after which an idle connection is closed
  std::atomic<int> connections{0}, late_connections{0};
  // Of the connection that the present statement came on: how late it came up, in ms.
  static double delay_of_connection() { return delay_; }

 protected:
  void serve(Socket& socket) override {
    ++connections;
    delay_ = connection_delay ? connection_delay() : 0;
    late_connections += delay_ > 0 ? 1 : 0;
    sleep_ms(delay_);
    std::string bytes;
    while (bytes.size() < 4 || bytes.size() < number_at(bytes, 0, 4)) {
      if (socket.read_some(bytes, now_ms() + 1e6) <= 0) {
        return;
      }
    }
    bytes.erase(0, number_at(bytes, 0, 4));
    if (!socket.write_all(message('R', big_endian(0, 4)) + parameter("server_version", "15.0") + ready())) {
      return;
    }
    while (!stopping()) {
      std::optional<Message> next = take_message(bytes);
      if (!next) {
        const double idle = bytes.empty() && idle_limit ? idle_limit() : 1e6;
        if (socket.read_some(bytes, now_ms() + idle) <= 0) {
          return;  // ended, or idle for too long
        }
        continue;
      }
      const double last_byte = now_ms();
      if (next->type != 'Q') {
        return;
      }
      const std::string sql = next->body.substr(0, next->body.find('\0'));
      Answer answer;
      if (sql.empty()) {
        answer.bytes = message('I', "") + ready();
      } else if (sql == "SHOW vitals") {
        answer.bytes = row(on_vitals(), "SHOW") + ready();
      } else if (sql.starts_with("SELECT v") || sql.starts_with("INSERT")) {
        answer = on_statement(sql, last_byte);
      } else {
        answer.bytes = message('C', std::string("SET") + '\0') + ready();
      }
      if (!socket.write_all(answer.bytes)) {
        return;
      }
    }
  }

 private:
  inline static thread_local double delay_ = 0;
};

// What a client got for one statement.
struct Reply {
  enum class Kind { served, refused, failed, closed, late } kind = Kind::late;
  std::string value, code;
};
inline const char* name_of(Reply::Kind kind) {
  constexpr const char* names[] = {"served", "refused", "failed", "closed without an answer",
                                   "no answer in time"};
  return names[static_cast<int>(kind)];
}

// One connection of a client to the proxy.
class Session {
 public:
  explicit Session(int port) : socket_(connect_to(port)) {}
  [[nodiscard]] bool open() const { return socket_.open(); }
  void close() { socket_.reset(); }

  // Sends the statement (behind the startup message, if it is the first) and waits for its answer until
  // `until`. A client whose time is over closes its connection.
  Reply ask(const std::string& sql, double until) {
    if (!socket_.open()) {
      return {Reply::Kind::closed, "", ""};
    }
    const std::string sent = (started_ ? "" : startup_message()) + query_message(sql);
    const bool skip_startup = !std::exchange(started_, true);
    whole_sent_ = socket_.write_all(sent);
    return read_reply(skip_startup, until);
  }
  // Whether the last statement's last byte was written.
  [[nodiscard]] bool whole_sent() const { return whole_sent_; }
  // How many statements were answered on this connection.
  [[nodiscard]] int answers() const { return answers_; }
  // Whether anything came on this connection since the statement was sent.
  [[nodiscard]] bool saw_bytes() const { return saw_bytes_; }

 private:
  Reply read_reply(bool skip_startup, double until) {
    Reply reply;
    bool answered = false;
    saw_bytes_ = false;
    for (;;) {
      if (const auto next = take_message(bytes_)) {
        if (next->type == 'Z' && std::exchange(skip_startup, false)) {
          continue;
        }
        if (next->type == 'D') {
          reply.value = next->body.substr(6);
        }
        if (next->type == 'C' || next->type == 'I') {
          reply.kind = Reply::Kind::served;
          answered = true;
        }
        if (next->type == 'E') {
          reply.code = next->body.substr(next->body.find(std::string("\0C", 2)) + 2, 5);
          const bool refused = reply.code == "53300" || reply.code == "57P03";
          reply.kind = refused ? Reply::Kind::refused : Reply::Kind::failed;
          answered = true;
        }
        if (next->type == 'Z' && answered) {
          ++answers_;
          return reply;
        }
        continue;
      }
      const int count = socket_.read_some(bytes_, until);
      saw_bytes_ = saw_bytes_ || count > 0;
      if (count > 0) {
        continue;
      }
      socket_.reset();
      if (!answered) {
        reply.kind = count == 0 ? Reply::Kind::closed : Reply::Kind::late;
      }
      return reply;
    }
  }

  Socket socket_;
  std::string bytes_;
  bool started_ = false, whole_sent_ = false, saw_bytes_ = false;
  int answers_ = 0;
};

// The repository's root, from the folder of the case.
inline std::filesystem::path root_of(const std::filesystem::path& folder) {
  return std::filesystem::absolute(folder).parent_path().parent_path();
}

// The command that the deploy file states for `run`.
inline std::string run_command(const std::filesystem::path& root) {
  std::ifstream file(root / "deploy" / "balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("run = \"")) {
      return line.substr(7, line.rfind('"') - 7);
    }
  }
  throw NotRun("deploy/balancer.toml states no run");
}

// One proxy, started by the deploy file's command from the root. Killed with its owner, or if this process
// ends.
class Proxy {
 public:
  Proxy(const std::filesystem::path& case_folder, std::string name)
      : root_(root_of(case_folder)), name_(std::move(name)), port_(free_port()) {
    const char* base = std::getenv("TMPDIR");
    std::string pattern = std::string(base && *base ? base : "/tmp") + "/review-XXXXXX";
    if (!mkdtemp(pattern.data())) {
      throw NotRun("no temporary folder");
    }
    folder_ = pattern;
  }
  ~Proxy() {
    end(SIGKILL);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  Proxy(const Proxy&) = delete;

  [[nodiscard]] int port() const { return port_; }

  // `rest` are the further keys of the configuration, without braces.
  void start(const Discovery& discovery, const std::string& rest) {
    const std::string config = (folder_ / "config.json").string();
    std::ofstream(config) << text("{\"name\":\"%s\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"%s\",",
                                  name_.c_str(), port_, discovery.address().c_str())
                          << "\"known\":" << discovery.list << "," << rest << "}\n";
    const std::string command = run_command(root_);
    const std::string temporary = (folder_ / "tmp").string();
    std::filesystem::create_directory(temporary);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent || chdir(root_.c_str()) != 0) {
        _exit(127);
      }
      const int log = ::open((folder_ / "log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, STDERR_FILENO);
      dup2(log, STDOUT_FILENO);
      setenv("ROUTER_CONFIG", config.c_str(), 1);
      setenv("TMPDIR", temporary.c_str(), 1);
      unsetenv("ROUTER_NAME");
      unsetenv("ROUTER_LISTEN");
      unsetenv("ROUTER_DISCOVERY");
      execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      _exit(127);
    }
    for (const double until = now_ms() + 15000; now_ms() < until; sleep_ms(20)) {
      if (!running()) {
        throw NotRun("the proxy has ended at its start: " + log());
      }
      Session session(port_);
      if (session.open() && session.ask("", now_ms() + 2000).kind == Reply::Kind::served) {
        return;
      }
    }
    throw NotRun("the proxy is not ready: " + log());
  }

  [[nodiscard]] bool running() {
    if (pid_ <= 0) {
      return false;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = 0;
      return false;
    }
    return true;
  }
  void end(int signal) {
    if (pid_ > 0) {
      kill(pid_, signal);
      waitpid(std::exchange(pid_, 0), nullptr, 0);
    }
  }
  [[nodiscard]] std::string log() const {
    std::ifstream file(folder_ / "log");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  [[nodiscard]] long peak_kb() const {
    std::ifstream file(text("/proc/%d/status", pid_));
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::atol(line.c_str() + 6);
      }
    }
    return 0;
  }

 private:
  const std::filesystem::path root_;
  const std::string name_;
  const int port_;
  std::filesystem::path folder_;
  pid_t pid_ = 0;
};

// Whether the run has its disruption.
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// Runs a case: 2 if it can't be run.
inline int run_case(int count, char** arguments,
                    const std::function<int(const std::filesystem::path& folder, Record& record)>& run) {
  if (count != 2) {
    std::cerr << "usage: " << arguments[0] << " FOLDER" << std::endl;
    return kNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const std::filesystem::path folder = std::filesystem::absolute(arguments[1]);
  Record record((folder / "record.txt").string());
  record.say(trouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
  try {
    const int code = run(folder, record);
    record.say(code == kBroken ? "BROKEN" : code == kHeld ? "HELD" : "NOT RUN");
    return code;
  } catch (const std::exception& error) {
    record.say(std::string("NOT RUN: ") + error.what());
    return kNotRun;
  }
}

}  // namespace rig
