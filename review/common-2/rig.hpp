// Stand-ins for the cases of the second review: stores and clients that speak the platform's form of
// PostgreSQL's protocol, a discovery agent, and the front as a child process. Plain POSIX sockets and one
// thread a connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

// ---- time and the record ----

inline double now_ms() {  // Unix time in ms, as the positions on sockets
  using namespace std::chrono;
  return duration<double, std::milli>(system_clock::now().time_since_epoch()).count();
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

struct Record {
  std::mutex mutex;
  FILE* file = nullptr;
  double start = now_ms();
  void open(const std::string& path) { file = std::fopen(path.c_str(), "w"); }
};
inline Record& record_file() {
  static Record record;
  return record;
}
__attribute__((format(printf, 1, 2))) inline void rec(const char* form, ...) {
  Record& r = record_file();
  std::lock_guard lock(r.mutex);
  if (!r.file) return;
  std::fprintf(r.file, "%9.1f ", now_ms() - r.start);
  va_list args;
  va_start(args, form);
  std::vfprintf(r.file, form, args);
  va_end(args);
  std::fputc('\n', r.file);
  std::fflush(r.file);
}

inline bool trouble() {
  const char* word = std::getenv("TROUBLE");
  return !(word && std::string(word) == "0");
}

// A case that can't run ends with 2. Children are ended by their parent-death signal.
[[noreturn]] inline void cannot_run(const std::string& why) {
  rec("case cannot run: %s", why.c_str());
  std::fprintf(stderr, "case cannot run: %s\n", why.c_str());
  std::_Exit(2);
}

// ---- sockets ----

inline std::string loopback() {  // a loopback address of this process's own
  const int pid = getpid();
  return "127." + std::to_string(30 + (pid >> 16 & 31)) + "." + std::to_string(pid >> 8 & 255) + "." +
         std::to_string(std::max(1, pid & 255));
}
inline sockaddr_in address_of(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}
inline int listen_on(const std::string& host, int port, int* chosen) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address = address_of(host, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
    cannot_run("no listener on " + host);
  }
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  if (chosen) *chosen = ntohs(address.sin_port);
  return fd;
}
inline int free_port(const std::string& host) {
  int port = 0;
  close(listen_on(host, 0, &port));
  return port;
}
inline bool write_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) return false;
    done += static_cast<std::size_t>(count);
  }
  return true;
}
// Reads what is there within the time; 0: closed, -1: error, -2: nothing came.
inline int read_some(int fd, std::string& into, double wait_ms) {
  pollfd item{fd, POLLIN, 0};
  const int ready = poll(&item, 1, wait_ms < 0 ? -1 : static_cast<int>(wait_ms + 0.999));
  if (ready == 0) return -2;
  char bytes[65536];
  const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
  if (count > 0) into.append(bytes, static_cast<std::size_t>(count));
  return static_cast<int>(count < 0 ? -1 : count);
}
inline void reset_close(int fd) {
  const linger off{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &off, sizeof off);
  close(fd);
}

// ---- messages of the protocol ----

inline std::string be32(uint32_t n) {
  return {static_cast<char>(n >> 24), static_cast<char>(n >> 16), static_cast<char>(n >> 8),
          static_cast<char>(n)};
}
inline std::string message(char type, const std::string& body) {
  return std::string(1, type) + be32(static_cast<uint32_t>(body.size() + 4)) + body;
}
inline std::string z_string(const std::string& text) { return text + std::string(1, '\0'); }
inline std::string ready() { return message('Z', "I"); }
inline std::string parameter(const std::string& name, const std::string& value) {
  return message('S', z_string(name) + z_string(value));
}
inline std::string row_of(const std::string& value, const std::string& tag) {
  const std::string column = z_string("v") + be32(0) + std::string("\0\0", 2) + be32(17) +
                             std::string("\377\377", 2) + be32(0xffffffffU) + std::string("\0\1", 2);
  return message('T', std::string("\0\1", 2) + column) +
         message('D', std::string("\0\1", 2) + be32(static_cast<uint32_t>(value.size())) + value) +
         message('C', z_string(tag));
}
inline std::string error_of(const std::string& code) {
  return message('E', z_string("SERROR") + z_string("VERROR") + z_string("C" + code) + z_string("Mno") +
                          std::string(1, '\0'));
}
inline std::string startup() {
  const std::string body = be32(196608) + z_string("user") + z_string("svc") + z_string("database") +
                           z_string("main") + std::string(1, '\0');
  return be32(static_cast<uint32_t>(body.size() + 4)) + body;
}
inline std::string query(const std::string& text) { return message('Q', z_string(text)); }
// Takes the first whole message from the buffer. Returns false if there is none.
inline bool take_message(std::string& buffer, char& type, std::string& body) {
  if (buffer.size() < 5) return false;
  const auto at = [&](int i) { return static_cast<uint32_t>(static_cast<unsigned char>(buffer[i])); };
  const std::size_t length = at(1) << 24 | at(2) << 16 | at(3) << 8 | at(4);
  if (buffer.size() < length + 1) return false;
  type = buffer[0];
  body = buffer.substr(5, length - 4);
  buffer.erase(0, length + 1);
  return true;
}

// ---- statements ----

struct Statement {
  bool write = false;
  std::string key, id, type, token;
  double left = 0, after = 0;
  int group = 0;
};
inline std::optional<Statement> parse_statement(const std::string& text) {
  Statement s;
  s.write = text.rfind("INSERT", 0) == 0;
  const std::size_t quote = text.find('\'');
  const std::size_t comment = text.find("/* ");
  const std::size_t end = text.rfind(" */");
  if (quote == std::string::npos || comment == std::string::npos || end == std::string::npos) return {};
  s.key = text.substr(quote + 1, text.find('\'', quote + 1) - quote - 1);
  std::istringstream items(text.substr(comment + 3, end - comment - 3));
  for (std::string item; std::getline(items, item, ',');) {
    const std::size_t equals = item.find('=');
    const std::string name = item.substr(0, equals), value = item.substr(equals + 1);
    if (name == "id") s.id = value;
    if (name == "c") s.type = value;
    if (name == "k") s.token = value;
    if (name == "d") s.left = std::atof(value.c_str());
    if (name == "after") s.after = std::atof(value.c_str());
    if (name == "cluster") s.group = std::atoi(value.c_str());
  }
  return s;
}
inline std::string new_id() {
  static std::atomic<unsigned> last{0};
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(getpid()), ++last);
  return text;
}
inline std::string select_text(const std::string& key, const std::string& id, const std::string& type,
                               double d, int group, double after = 0) {
  char tail[64] = "";
  if (after > 0) std::snprintf(tail, sizeof tail, ",after=%.0f", after);
  return "SELECT v FROM records WHERE k = '" + key + "' /* id=" + id + ",c=" + type +
         ",d=" + std::to_string(static_cast<long>(d)) + ",cluster=" + std::to_string(group) + tail + " */";
}
inline std::string insert_text(const std::string& key, const std::string& hex, const std::string& id,
                               const std::string& type, double d, int group, const std::string& token = "") {
  return "INSERT INTO records (k, v) VALUES ('" + key + "', '\\x" + hex + "') RETURNING v /* id=" + id +
         ",c=" + type + ",d=" + std::to_string(static_cast<long>(d)) + (token.empty() ? "" : ",k=" + token) +
         ",cluster=" + std::to_string(group) + " */";
}

// ---- a store ----

// What a store sees on one connection. The handler of a query writes the whole answer itself.
struct StoreConnection {
  int fd = -1;
  std::atomic<bool> broken{false};
  bool send(const std::string& bytes) { return write_all(fd, bytes); }
};

class Store {
 public:
  std::string uid, host;
  int port = 0;
  std::atomic<bool> primary{false};
  std::atomic<long> connections{0};  // accepted so far
  std::atomic<bool> silent{false};   // takes everything and answers nothing
  // Position that the store states in its load report, in ms.
  std::function<double()> position = [] { return now_ms(); };
  // Answers a statement. Runs on the connection's own thread.
  std::function<void(Store&, StoreConnection&, const Statement&, const std::string&)> on_statement;
  // Called for each probe and each new connection; may be empty.
  std::function<std::string(Store&)> report = [](Store& s) {
    char text[96];
    std::snprintf(text, sizeof text, "x0=%.3f,x1=%d,util=0.2", s.position() / 1000, s.primary ? 1 : 0);
    return std::string(text);
  };

  explicit Store(std::string name) : uid(std::move(name)) {}
  void start(int fixed_port = 0) {
    if (host.empty()) host = loopback();
    listener_ = listen_on(host, fixed_port, &port);
    running_ = true;
    std::thread([this, fd = listener_] { accept_loop(fd); }).detach();
  }
  // The process dies: connections are reset, new ones refused.
  void die() {
    running_ = false;
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    std::lock_guard lock(mutex_);
    for (StoreConnection* one : open_) {
      one->broken = true;
      const linger off{1, 0};
      setsockopt(one->fd, SOL_SOCKET, SO_LINGER, &off, sizeof off);
      shutdown(one->fd, SHUT_RDWR);
    }
  }
  std::string endpoint() const { return host + ":" + std::to_string(port); }

 private:
  void accept_loop(int fd) {
    for (;;) {
      const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) {
        if (!running_) return;
        sleep_ms(1);
        continue;
      }
      ++connections;
      const int one = 1;
      setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, client] { serve(client); }).detach();
    }
  }
  void serve(int fd) {
    StoreConnection connection;
    connection.fd = fd;
    {
      std::lock_guard lock(mutex_);
      open_.insert(&connection);
    }
    serve(connection);
    {
      std::lock_guard lock(mutex_);
      open_.erase(&connection);
    }
    close(fd);
  }
  void serve(StoreConnection& c) {
    std::string buffer;
    while (buffer.size() < 8) {
      if (read_some(c.fd, buffer, -1) <= 0) return;
    }
    while (silent) sleep_ms(5);
    const auto at = [&](int i) { return static_cast<uint32_t>(static_cast<unsigned char>(buffer[i])); };
    const std::size_t length = at(0) << 24 | at(1) << 16 | at(2) << 8 | at(3);
    while (buffer.size() < length) {
      if (read_some(c.fd, buffer, -1) <= 0) return;
    }
    buffer.erase(0, length);
    if (!c.send(message('R', be32(0)) + message('K', be32(1) + be32(2)) + ready())) return;
    for (;;) {
      char type = 0;
      std::string body;
      while (!take_message(buffer, type, body)) {
        if (read_some(c.fd, buffer, -1) <= 0) return;
      }
      while (silent && !c.broken) sleep_ms(5);
      if (type == 'X' || c.broken) return;
      if (type != 'Q') return;
      const std::string text = body.substr(0, body.size() - 1);
      if (text.empty()) {
        if (!c.send(message('I', "") + ready())) return;
      } else if (text == "SHOW vitals") {
        if (!c.send(row_of(report(*this), "SHOW") + ready())) return;
      } else if (const auto statement = parse_statement(text)) {
        on_statement(*this, c, *statement, text);
        if (c.broken) return;
      } else {
        c.send(error_of("08P01") + ready());
        return;
      }
    }
  }

  int listener_ = -1;
  std::atomic<bool> running_{false};
  std::mutex mutex_;
  std::set<StoreConnection*> open_;
};

// ---- discovery ----

struct Target {
  std::string uid, endpoint, state = "active";
  int group = 0;
  double boot_ms = 0;
  long changed = 0;  // revision of its last change
};

class Discovery {
 public:
  std::string host;
  int port = 0;
  void start() {
    host = loopback();
    listener_ = listen_on(host, 0, &port);
    std::thread([this] {
      for (;;) {
        const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) return;
        std::thread([this, client] {
          serve(client);
          close(client);
        }).detach();
      }
    }).detach();
  }
  // Changes entries under a new revision.
  void update(const std::function<void(std::map<std::string, Target>&)>& change) {
    std::lock_guard lock(mutex_);
    ++revision_;
    const auto before = targets_;
    change(targets_);
    for (auto& [uid, target] : targets_) {
      const auto was = before.find(uid);
      if (was == before.end() || was->second.state != target.state ||
          was->second.endpoint != target.endpoint || was->second.boot_ms != target.boot_ms) {
        target.changed = revision_;
      }
    }
    changed_.notify_all();
  }
  std::string full_list() {
    std::lock_guard lock(mutex_);
    return list(0, true);
  }
  std::string endpoint() const { return host + ":" + std::to_string(port); }

 private:
  std::string list(long since, bool all) {
    std::string text =
        "{\"rev\":" + std::to_string(revision_) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[";
    bool first = true;
    for (const auto& [uid, t] : targets_) {
      if (all ? t.state == "left" : t.changed <= since) continue;
      char boot[32];
      std::snprintf(boot, sizeof boot, "%.0f", t.boot_ms);
      text += std::string(first ? "" : ",") + "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + t.endpoint +
              "\",\"az\":\"z\",\"model\":\"m\",\"pod_group\":" + std::to_string(t.group) + ",\"state\":\"" +
              t.state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + boot + "}";
      first = false;
    }
    return text + "]}";
  }
  void serve(int fd) {
    std::string buffer;
    for (;;) {
      std::size_t end;
      while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (read_some(fd, buffer, -1) <= 0) return;
      }
      const std::string line = buffer.substr(0, buffer.find("\r\n"));
      buffer.erase(0, end + 4);
      const std::size_t since_at = line.find("since=");
      std::string body;
      {
        std::unique_lock lock(mutex_);
        if (since_at == std::string::npos) {
          body = list(0, true);
        } else {
          const long since = std::atol(line.c_str() + since_at + 6);
          const std::size_t wait_at = line.find("timeout_ms=");
          const double wait = wait_at == std::string::npos ? 0 : std::atof(line.c_str() + wait_at + 11);
          changed_.wait_for(lock, std::chrono::duration<double, std::milli>(wait),
                            [&] { return revision_ > since; });
          body = list(since, false);
        }
      }
      if (!write_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable changed_;
  long revision_ = 1;
  std::map<std::string, Target> targets_;
};

// ---- the front ----

// The command under `run` in the deploy file, which the script hands over.
inline std::string run_command() {
  const char* command = std::getenv("FRONT_RUN");
  if (!command || !*command) cannot_run("FRONT_RUN is not set");
  return command;
}

class Front {
 public:
  std::string name, host, folder;
  int port = 0;
  pid_t pid = 0;

  Front(std::string of, std::string in) : name(std::move(of)), host(loopback()), folder(std::move(in)) {
    port = free_port(host);
  }
  ~Front() { stop(SIGKILL); }
  std::string endpoint() const { return host + ":" + std::to_string(port); }
  std::string config_path() const { return folder + "/" + name + ".json"; }
  // `more`: further keys of the configuration, each with a comma behind it.
  void write_config(const std::string& discovery, const std::string& settings,
                    const std::string& more) const {
    std::ofstream(config_path() + ".new")
        << "{\"name\":\"" << name << "\",\"listen\":\"" << endpoint() << "\",\"discovery\":\"" << discovery
        << "\",\"seed\":\"8c1f30d27a5be964\"," << more << "\"settings\":" << settings << "}\n";
    std::rename((config_path() + ".new").c_str(), config_path().c_str());
  }
  void start(const std::string& discovery) {
    const std::string command = run_command();
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("ROUTER_NAME", name.c_str(), 1);
      setenv("ROUTER_LISTEN", endpoint().c_str(), 1);
      setenv("ROUTER_DISCOVERY", discovery.c_str(), 1);
      setenv("ROUTER_CONFIG", config_path().c_str(), 1);
      setenv("TMPDIR", folder.c_str(), 1);
      const int log = open((folder + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, 1);
      dup2(log, 2);
      execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      _exit(127);
    }
    rec("front %s started, listens on %s", name.c_str(), endpoint().c_str());
  }
  // True if the process has ended by itself.
  bool ended(int* status = nullptr) {
    if (pid <= 0) return true;
    int got = 0;
    if (waitpid(pid, &got, WNOHANG) != pid) return false;
    pid = 0;
    if (status) *status = got;
    return true;
  }
  void stop(int signal) {
    if (pid <= 0) return;
    kill(pid, signal);
    waitpid(pid, nullptr, 0);
    pid = 0;
  }
  void wait_ready(double limit_ms = 20000);
};

// ---- a client ----

struct Reply {
  enum class Kind { served, refused, failed, closed, none } kind = Kind::none;
  std::string value, code;
  double at = 0;  // Unix ms of its last byte
};
inline const char* word_of(Reply::Kind kind) {
  constexpr const char* words[] = {"served", "refused", "failed", "closed", "none"};
  return words[static_cast<int>(kind)];
}

class Client {
 public:
  int fd = -1;
  ~Client() { end(); }
  Client() = default;
  Client(const Client&) = delete;
  bool connect_to(const Front& front, const std::string& behind = "") {
    end();
    fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const sockaddr_in address = address_of(front.host, front.port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      end();
      return false;
    }
    return write_all(fd, startup() + behind);
  }
  // Connects and reads the answer to the startup message.
  bool open(const Front& front, double limit_ms = 2000) {
    if (!connect_to(front)) return false;
    return read_until_ready(limit_ms).kind != Reply::Kind::closed;
  }
  bool send_query(const std::string& text) { return write_all(fd, query(text)); }
  // Reads one answer, up to ReadyForQuery or the end of the connection.
  Reply read_until_ready(double limit_ms) {
    Reply reply;
    const double until = now_ms() + limit_ms;
    bool row = false, complete = false;
    for (;;) {
      char type = 0;
      std::string body;
      while (!take_message(buffer_, type, body)) {
        const int got = read_some(fd, buffer_, std::max(0.0, until - now_ms()));
        if (got == -2) {
          return reply;
        }
        if (got <= 0) {
          if (reply.kind == Reply::Kind::none) reply.kind = Reply::Kind::closed;
          reply.at = now_ms();
          return reply;
        }
      }
      reply.at = now_ms();
      if (type == 'D') row = true, reply.value = body.substr(std::min<std::size_t>(6, body.size()));
      if (type == 'C') complete = true;
      if (type == 'E') {
        const std::size_t at = body.find(std::string(1, '\0') + "C");
        reply.code = at == std::string::npos ? "" : body.substr(at + 2, 5);
        const bool refused = reply.code == "53300" || reply.code == "57P03";
        reply.kind = refused ? Reply::Kind::refused : Reply::Kind::failed;
      }
      if (type == 'Z') {
        if (row && complete && reply.kind == Reply::Kind::none) reply.kind = Reply::Kind::served;
        return reply;
      }
    }
  }
  Reply ask(const std::string& text, double limit_ms) {
    if (!send_query(text)) {
      Reply reply;
      reply.kind = Reply::Kind::closed;
      reply.at = now_ms();
      return reply;
    }
    return read_until_ready(limit_ms);
  }
  void end() {
    if (fd >= 0) close(fd);
    fd = -1;
    buffer_.clear();
  }

 private:
  std::string buffer_;
};

inline void Front::wait_ready(double limit_ms) {
  const double until = now_ms() + limit_ms;
  while (now_ms() < until) {
    if (ended()) cannot_run("the front ended at its start");
    Client client;
    if (client.open(*this, 500) && client.send_query("")) {
      std::string got;
      while (read_some(client.fd, got, 500) > 0) {
        if (got.find('I') != std::string::npos) return;
      }
    }
    sleep_ms(20);
  }
  cannot_run("the front was not ready in time");
}

// Bytes of this connection that the kernel holds for the front and that the front has not read; -1 if the
// front's end of the connection is gone. Seen from outside, in the kernel's own table.
inline long unread_by_front(const Client& client, const Front& front) {
  sockaddr_in own{};
  socklen_t size = sizeof own;
  if (getsockname(client.fd, reinterpret_cast<sockaddr*>(&own), &size) != 0) return -1;
  const sockaddr_in far = address_of(front.host, front.port);
  char local[32], remote[32];
  std::snprintf(local, sizeof local, "%08X:%04X", far.sin_addr.s_addr, static_cast<unsigned>(front.port));
  std::snprintf(remote, sizeof remote, "%08X:%04X", own.sin_addr.s_addr,
                static_cast<unsigned>(ntohs(own.sin_port)));
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number, at, to, state, queues;
    fields >> number >> at >> to >> state >> queues;
    if (at != local || to != remote) continue;
    const std::size_t colon = queues.find(':');
    return colon == std::string::npos ? -1 : std::strtol(queues.c_str() + colon + 1, nullptr, 16);
  }
  return -1;
}
// True if the front has read all that the client has written: within the time, nothing of it is left unread
// in the kernel while the front's end of the connection still exists.
inline bool read_whole_by_front(const Client& client, const Front& front, double limit_ms) {
  for (const double until = now_ms() + limit_ms; now_ms() < until; sleep_ms(5)) {
    const long unread = unread_by_front(client, front);
    if (unread == 0) return true;
    if (unread < 0) return false;
  }
  return false;
}

// ---- a small deployment's settings ----

struct ClassSpec {
  const char *name, *effect, *needs;
  double target_ms, deadline_ms, window_ms, bound_ms, late;
};
struct SettingsSpec {
  std::vector<ClassSpec> classes;
  const char* behind = "silent";
  const char* tokens = "client";
  bool positions = true;
  const char* discovery = "push";
  double grace_ms = 500, warm_ms = 14000, cold_from = 0.15, fall_multiple = 2, fall_ms = 3000,
         connect_ms = 250;
  int attempts = 6, instances = 1;
  bool second_copies = true, only_draining_binds = false, probes = true, cancel = true;
  double zero_ms = 0;
};
inline std::string settings_of(const SettingsSpec& s) {
  std::ostringstream o;
  o.precision(17);
  const auto ns = [](double ms) { return static_cast<long long>(ms * 1e6); };
  o << "{\"az\":0,\"ceilings\":{\"cancel\":" << (s.cancel ? "true" : "false")
    << ",\"connIdle\":30000000000,\"connectTimeout\":" << ns(s.connect_ms)
    << ",\"maxAttempts\":" << s.attempts
    << ",\"maxOpen\":36571,\"maxRetryAfter\":1000000000,\"mayTell\":false,\"probes\":"
    << (s.probes ? "true" : "false")
    << ",\"retryAfter\":true,\"secondCopies\":" << (s.second_copies ? "true" : "false")
    << ",\"streamsPerConn\":1},\"clients\":{\"marksRetry\":true},\"countedBy\":\"request\",\"discovery\":\""
    << s.discovery << "\",\"familyInfo\":{\"behind\":\"" << s.behind
    << "\",\"commitWaits\":false,\"needsByClass\":[";
  for (std::size_t i = 0; i < s.classes.size(); ++i) o << (i ? "," : "") << '"' << s.classes[i].needs << '"';
  o << "],\"oldestData\":[";
  for (std::size_t i = 0; i < s.classes.size(); ++i) o << (i ? "," : "") << ns(s.classes[i].bound_ms);
  o << "],\"positionZero\":0,\"positions\":" << (s.positions ? "true" : "false")
    << ",\"roleListed\":\"silent\",\"tokens\":\"" << s.tokens
    << "\",\"wait\":50000000},\"kindOfService\":\"replicas\",\"nInstances\":" << s.instances
    << ",\"quantum\":5000000,\"rank\":0,\"report\":{\"how\":\"pull\",\"names\":[\"x0\",\"x1\",\"cpu\"]},"
       "\"requestClasses\":[";
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const ClassSpec& c = s.classes[i];
    o << (i ? "," : "") << "{\"name\":\"" << c.name << "\",\"effect\":\"" << c.effect
      << "\",\"goalTime\":" << ns(c.target_ms) << ",\"deadline\":" << ns(c.deadline_ms)
      << ",\"dedupWindow\":" << ns(c.window_ms)
      << ",\"keyScope\":\"cell\",\"importance\":1.0,\"lateValue\":" << c.late << ",\"stream\":false}";
  }
  o << "],\"rules\":{\"askWithin\":10000000000,\"coldFrom\":" << s.cold_from << ",\"fall\":" << ns(s.fall_ms)
    << ",\"fallMultiple\":" << s.fall_multiple
    << ",\"graceToAnswer\":20000000,\"stopSendingWithin\":" << ns(s.grace_ms)
    << ",\"warmWithin\":" << ns(s.warm_ms) << (s.only_draining_binds ? ",\"droppedStayOpen\":true" : "")
    << "},\"shapes\":[\"m\"],\"tenants\":[],\"tier\":0,\"tiers\":[\"db\"],\"weights\":\"nominal\",\"zones\":["
       "\"z\"]}";
  return o.str();
}

}  // namespace rig
