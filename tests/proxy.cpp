// Starts the front on loopback between small stand-ins for clients, stores and discovery, plays a case file
// to them and prints each line with what was seen. A case file holds what is expected (lines starting with "
// "), which is skipped on reading: the output is compared with the file itself. Nothing here waits for a
// fixed time: each line waits for what it names, and gives up after half a minute.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "postgres/codec.hpp"

namespace {
using Json = nlohmann::json;
namespace postgres = reedspindle::postgres;

const char* const kPlacement = R"({"name": "n0", "seed": "5", "limits": {"sockets": 1024}, "settings": {
  "nInstances": 1, "quantum": 5000000,
  "ceilings": {"cancel": true, "connIdle": 30000000000, "connectTimeout": 250000000, "maxAttempts": 6,
               "maxRetryAfter": 1000000000, "probes": false, "retryAfter": true},
  "rules": {"stopSendingWithin": 500000000},
  "familyInfo": {"needsByClass": ["loose", "update", "own_writes"], "tokens": "client"},
  "requestClasses": [
    {"name": "look", "deadline": 9000000000, "goalTime": 9000000000, "effect": "repeatable"},
    {"name": "book", "deadline": 9000000000, "goalTime": 9000000000, "effect": "by_key", "keyScope": "cell",
     "dedupWindow": 9000000000},
    {"name": "mine", "deadline": 9000000000, "goalTime": 9000000000, "effect": "repeatable"}]}})";

struct Link {
  int fd = -1;
  std::string held;  // read and not yet taken
  bool started = false, ended = false, greeted = false;
  std::string asked;     // by the front, not yet answered
  std::string key = {};  // by which a request of a client is cancelled
  bool dropped = false;
};

struct Store {
  std::string address;
  int listening = -1;
  std::string manner = "accepts", vitals;
  std::string behind_empty;  // what follows the next answer to an empty query, in the same segment
  std::deque<Link> links;
  std::deque<std::string> gets;
};

[[noreturn]] void give_up(const std::string& why) {
  std::cout << "  gave up: " << why << std::endl;
  std::exit(1);
}

sockaddr_in address_of(const std::string& text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::size_t colon = text.find(':');
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return address;
}

// An address of this process alone, with a port that is free.
int listen_at(std::string& text) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = address_of(text);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 64) != 0) {
    give_up("no port");
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  text = text.substr(0, text.find(':') + 1) + std::to_string(ntohs(address.sin_port));
  return fd;
}

void put(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = write(fd, bytes.data() + done, bytes.size() - done);
    if (count <= 0) {
      return;
    }
    done += static_cast<std::size_t>(count);
  }
}

// Reads what is there. False at the end.
bool fill(Link& link) {
  char bytes[65536];
  const ssize_t count = read(link.fd, bytes, sizeof bytes);
  if (count <= 0) {
    return false;
  }
  link.held.append(bytes, static_cast<std::size_t>(count));
  return true;
}

std::string message(char type, std::string body) {
  const std::size_t length = body.size() + 4;
  std::string out(1, type);
  for (int shift = 24; shift >= 0; shift -= 8) {
    out += static_cast<char>(length >> shift & 0xff);
  }
  return out + body;
}

std::string row_of(const std::string& value) {
  using namespace std::string_literals;
  const auto size = static_cast<char>(value.size());
  return message('T', "\0\1v\0"s + std::string(18, '\0')) + message('D', "\0\1\0\0\0"s + size + value) +
         message('C', "SELECT 1\0"s);
}

std::string unescaped(const std::string& text) {  // "\x00" and the like
  std::string out;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text.compare(at, 2, "\\x") == 0) {
      out += static_cast<char>(std::stoi(text.substr(at + 2, 2), nullptr, 16));
      at += 3;
    } else {
      out += text[at];
    }
  }
  return out;
}

// The next message of the front, which says more kinds than a store does.
postgres::ReadResult from_front(std::string_view held) {
  return held.starts_with("I") && held.size() >= 5 ? postgres::Message{'I', "", held.substr(0, 5)}
                                                   : postgres::read_from_server(held);
}

class Stage {
 public:
  explicit Stage(std::string front) : program_(std::move(front)), config_(Json::parse(kPlacement)) {
    // Each party at an address of its own: the front's port is free again until the front takes it.
    std::string listen = place(64);
    std::string discovery = place(96);
    close(listen_at(listen));
    config_["listen"] = listen_ = listen;
    discovery_listening_ = listen_at(discovery);
    config_["discovery"] = discovery;
    // The front's own datagrams arrive where no other process looks; the other front of the tier is played
    // here.
    std::string other = place(192);
    close(listen_at(other));
    peer_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(other);
    if (bind(peer_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      give_up("no port");
    }
    config_["peer_listen"] = listen;
    config_["peers"] = {listen, other};
    config_["peers_all"] = other;
    // A file in memory: nothing is left behind however this ends.
    file_ = memfd_create("placement", MFD_CLOEXEC);
    path_ = "/proc/" + std::to_string(getpid()) + "/fd/" + std::to_string(file_);
  }
  ~Stage() {
    if (child_ > 0) {
      kill(child_, SIGKILL);
    }
  }

  void play(const std::string& text) {
    std::istringstream line(text);
    std::string who;
    std::string what;
    std::string rest;
    line >> who;
    if (who == "config") {
      line >> what;
      std::getline(line, rest);
      rest == " none" ? void(config_.erase(what))
                      : void(config_[Json::json_pointer(what)] = Json::parse(rest));
    } else if (who == "servers") {
      while (line >> what) {
        add_store(what);
      }
      config_["known"] = Json::parse(list_of(41, true));
    } else if (who == "start") {
      start();
    } else if (who == "start-with-sighup") {  // with a SIGHUP that comes before anything of it runs
      signalled_ = SIGHUP;
      start();
    } else if (who == "start-fails") {
      start_child();
      wait_exit();
    } else if (who == "client") {
      line >> rest >> what;
      client(rest, what, remainder(line));
    } else if (who == "server") {
      line >> rest >> what;
      store(stores_.at(rest), what, line);
    } else if (who == "discovery") {
      line >> what;
      discovery(what, remainder(line));
    } else if (who == "open-clients") {
      int count = 0;
      int turned_away = 0;
      line >> count >> what >> turned_away;
      crowd(count, what, turned_away);
    } else if (who == "peer") {
      line >> what;
      peer(what, remainder(line));
    } else if (who == "stop") {
      kill(child_, SIGTERM);
    } else if (who == "pause") {
      kill(child_, SIGSTOP);
    } else if (who == "resume-after") {  // so many ms from the pause or more: what is due then is due
      int milliseconds = 0;
      line >> milliseconds;
      const auto due = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
      wait_for("the time", [&] { return std::chrono::steady_clock::now() >= due; });
      kill(child_, SIGCONT);
    } else if (who == "reload") {
      write_placement(remainder(line));
      kill(child_, SIGHUP);
    } else if (who == "logs") {
      const std::string wanted = remainder(line);
      wait_for("the log to say so", [&] { return hear_log().find(wanted) != std::string::npos; });
      said_.erase(0, said_.find(wanted) + wanted.size());
    } else if (who == "exits") {
      wait_exit();
    } else {
      give_up("no such line");
    }
  }

 private:
  static std::string remainder(std::istringstream& line) {
    std::string rest;
    std::getline(line >> std::ws, rest);
    return rest;
  }

  static std::string place(int role) {
    const int number = getpid();
    return "127." + std::to_string(role + number / 65536 % 32) + "." + std::to_string(number / 256 % 256) +
           "." + std::to_string(number % 256) + ":0";
  }
  void add_store(const std::string& spec) {  // "a:source", "b:copy"
    const std::string name = spec.substr(0, spec.find(':'));
    Store& store = stores_[name];
    store.address = place(128);
    store.listening = listen_at(store.address);
    rows_[name] = {{"uid", name},
                   {"endpoint", store.address},
                   {"az", "z"},
                   {"model", "m"},
                   {"pod_group", 3},
                   {"state", "active"},
                   {"capacity_hint", 1},
                   {"boot_ms", 0},
                   {"rank", spec.substr(spec.find(':') + 1)}};
  }
  std::string list_of(int rev, bool all, const std::string& only = "") {
    Json targets = Json::array();
    for (const auto& [name, row] : rows_) {
      if (all || name == only) {
        targets.push_back(row);
      }
    }
    return Json{{"rev", rev}, {"all", all}, {"targets", targets}}.dump();
  }

  void write_placement(const std::string& other = "") {
    const std::string text = other.empty() ? config_.dump() : other;
    if (ftruncate(file_, 0) != 0 || pwrite(file_, text.data(), text.size(), 0) < 0) {
      give_up("no file");
    }
  }
  void start_child() {
    write_placement();
    int errors[2];
    if (pipe(errors) != 0) {
      give_up("no pipe");
    }
    child_ = fork();
    if (child_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(errors[1], STDOUT_FILENO);
      dup2(errors[1], STDERR_FILENO);
      close(errors[0]), close(errors[1]);
      setenv("ROUTER_CONFIG", path_.c_str(), 1);
      if (config_.contains("discovery")) {  // as old as the process
        setenv("ROUTER_DISCOVERY", config_["discovery"].get<std::string>().c_str(), 1);
      }
      if (signalled_) {  // pending, and kept over the start of the program
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, signalled_);
        sigprocmask(SIG_BLOCK, &signals, nullptr);
        raise(signalled_);
      }
      execl(program_.c_str(), program_.c_str(), nullptr);
      _exit(127);
    }
    close(errors[1]);
    errors_ = errors[0];
  }
  void start() {
    start_child();
    wait_for("the front to listen", [this] {
      const int fd = connect_to(listen_);
      if (fd >= 0) {
        close(fd);
      }
      return fd >= 0;
    });
  }
  int connect_to(const std::string& text) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(text);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
      return fd;
    }
    close(fd);
    return -1;
  }
  void wait_exit() {
    int status = 0;
    said_.clear();
    wait_for("the front to exit", [&] {
      hear_log();
      return waitpid(child_, &status, WNOHANG) == child_;
    });
    hear_log();
    child_ = 0;
    std::cout << "  exit code " << (WIFEXITED(status) ? WEXITSTATUS(status) : -1) << '\n';
    if (said_.starts_with("reedspindle: ")) {
      std::cout << "  " << said_;
    }
  }
  const std::string& hear_log() {
    char bytes[4096];
    pollfd out{errors_, POLLIN, 0};
    while (poll(&out, 1, 0) == 1) {
      const ssize_t count = read(errors_, bytes, sizeof bytes);
      if (count <= 0) {
        break;
      }
      said_.append(bytes, static_cast<std::size_t>(count));
    }
    return said_;
  }

  // Serves the stores' connections until what is waited for is there.
  void wait_for(const std::string& what, const std::function<bool()>& there) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!there()) {
      for (const int fd : floods_) {
        for (int i = 0; i < 100; ++i) {
          send(fd, kFlood.data(), kFlood.size(), MSG_DONTWAIT);
        }
      }
      if (std::chrono::steady_clock::now() > end) {
        give_up("waited for " + what);
      }
      turn();
    }
  }
  void turn() {
    std::vector<pollfd> fds;
    for (auto& [name, store] : stores_) {
      if (store.listening >= 0) {
        fds.push_back({store.listening, POLLIN, 0});
      }
      for (Link& link : store.links) {
        if (!link.ended) {
          fds.push_back({link.fd, POLLIN, 0});
        }
      }
    }
    for (auto& [name, link] : clients_) {
      if (!link.ended) {
        fds.push_back({link.fd, POLLIN, 0});
      }
    }
    poll(fds.data(), fds.size(), 5);
    const auto readable = [&](int fd) {
      for (const pollfd& at : fds) {
        if (at.fd == fd) {
          return at.revents != 0;
        }
      }
      return false;
    };
    for (auto& [name, link] : clients_) {
      if (!link.ended && readable(link.fd)) {
        link.ended = !fill(link);
      }
    }
    for (auto& [name, store] : stores_) {
      for (Link& link : store.links) {
        if (!link.ended && readable(link.fd)) {
          serve(store, link);
        }
      }
      if (store.listening >= 0 && readable(store.listening)) {
        store.links.push_back(
            {accept4(store.listening, nullptr, nullptr, SOCK_CLOEXEC), "", false, false, false, ""});
      }
    }
  }
  void serve(Store& store, Link& link) {
    if (!fill(link) || link.dropped) {
      link.ended = true;
      close(link.fd);
      return;
    }
    for (;;) {
      const auto read =
          link.started ? postgres::read_from_client(link.held) : postgres::read_startup(link.held);
      const auto* got = std::get_if<postgres::Message>(&read);
      if (!got) {
        return;
      }
      const std::string text(got->body.substr(0, got->body.find('\0')));
      const std::size_t size = got->bytes.size();
      if (!std::exchange(link.started, true)) {
        link.greeted = store.manner == "accepts";
        if (link.greeted) {
          put(link.fd, postgres::startup_response());
        }
        if (store.manner == "rejects-startup") {
          put(link.fd, postgres::error(postgres::Severity::fatal, "53300", "too many connections"));
        }
      } else if (text.empty()) {
        put(link.fd, postgres::empty_query_response() + std::exchange(store.behind_empty, ""));
      } else if (text == "SHOW vitals") {
        put(link.fd, row_of(with_now(store.vitals, true)) + postgres::ready_for_query());
      } else {
        link.asked = text;
        store.gets.push_back(text);
      }
      link.held.erase(0, size);
    }
  }

  static long long now() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  // NOW stands for the time in ms, in vitals in seconds.
  static std::string with_now(std::string text, bool seconds = false) {
    if (const std::size_t at = text.find("NOW"); at != std::string::npos) {
      text.replace(at, 3,
                   seconds ? std::to_string(static_cast<double>(now()) / 1000) : std::to_string(now()));
    }
    return text;
  }

  void client(const std::string& name, const std::string& what, const std::string& rest) {
    if (what == "closes") {
      close(clients_.at(name).fd);
      clients_.erase(name);
      return;
    }
    if (what == "receives") {
      return hears(clients_.at(name));
    }
    if (what == "cancels") {  // what client NAME has asked, on a connection of its own
      Link link;
      link.fd = connect_to(listen_);
      put(link.fd, std::string("\0\0\0\x10\x04\xd2\x16\x2e", 8) + clients_.at(rest).key);
      wait_for("the cancelling to be done", [&] {
        pollfd at{link.fd, POLLIN, 0};
        return poll(&at, 1, 0) == 1 && !fill(link);
      });
      return void(close(link.fd));
    }
    if (what == "is-refused") {  // "finds nobody": the front listens no more
      wait_for("the front to listen no more", [this] {
        const int fd = connect_to(listen_);
        if (fd >= 0) {
          close(fd);
        }
        return fd < 0;
      });
      return;
    }
    if (!clients_.contains(name)) {
      Link& link = clients_[name];
      link.fd = connect_to(listen_);
      if (link.fd < 0) {
        give_up("no connection to the front");
      }
      if (what != "connects") {
        put(link.fd, postgres::startup("svc", "main")), link.started = true;
      }
    }
    if (what == "sends") {
      put(clients_[name].fd, postgres::query(with_now(rest)));
    }
    if (what == "sends-bytes") {
      put(clients_[name].fd, unescaped(rest));
    }
    if (what == "sends-numbered") {  // "asks-many 3 TEXT": a number each in the place of NUMBER
      const std::size_t space = rest.find(' ');
      std::string all;
      for (int i = 0; i < std::stoi(rest); ++i) {
        std::string text = rest.substr(space + 1);
        all += postgres::query(text.replace(text.find("NUMBER"), 6, std::to_string(i)));
      }
      put(clients_[name].fd, all);
    }
    if (what == "shuts-down-write") {
      shutdown(clients_[name].fd, SHUT_WR);
    }
    if (what == "sends-long") {
      put(clients_[name].fd, postgres::query(std::string(std::stoul(rest), 'x')));
    }
    if (what == "sends-repeated") {
      const std::size_t space = rest.find(' ');
      std::string all;
      for (int i = 0; i < std::stoi(rest); ++i) {
        all += postgres::query(rest.substr(space + 1));
      }
      put(clients_[name].fd, all);
    }
    if (what == "floods") {
      floods_.push_back(clients_[name].fd);
    }
    if (what == "connection-closed") {
      wait_for("the end", [&] { return clients_[name].ended; });
    }
    if (what == "connects" && !rest.empty()) {
      put(clients_[name].fd, unescaped(rest));
    }
  }

  // Prints answers up to the next that is whole.
  void hears(Link& link) {
    for (bool whole = false; !whole;) {
      wait_for("an answer", [&] { return !link.held.empty() || link.ended; });
      if (!link.started && link.held.starts_with("N")) {
        std::cout << "  encryption declined\n";
        link.held.erase(0, 1);
        put(link.fd, postgres::startup("svc", "main"));
        return void(link.started = true);
      }
      postgres::ReadResult read = from_front(link.held);
      wait_for("an answer", [&] {
        return !std::holds_alternative<postgres::Partial>(read = from_front(link.held)) || link.ended;
      });
      const auto* got = std::get_if<postgres::Message>(&read);
      if (!got) {
        return void(std::cout << "  connection closed\n");
      }
      if (got->type == 'K') {
        link.key = got->body;
      }
      whole = got->type == 'Z' && link.greeted;
      if (got->type == 'Z') {
        link.greeted = true;
      }
      if (got->type == 'I') {
        std::cout << "  empty query response\n";
      }
      if (got->type == 'D') {
        std::cout << "  row " << *postgres::read_row(got->body) << '\n';
      }
      if (got->type == 'C') {
        std::cout << "  " << got->body.substr(0, got->body.find('\0')) << '\n';
      }
      if (got->type == 'E') {
        const auto fault = *postgres::read_error(got->body);
        const std::size_t detail = got->body.find(std::string("\0D", 2));
        std::cout << "  " << got->body.substr(1, 5) << ' ' << fault.code << ' ' << fault.text;
        if (detail != std::string::npos) {
          std::cout << ", detail " << got->body.data() + detail + 2;
        }
        std::cout << '\n';
      }
      link.held.erase(0, got->bytes.size());
    }
  }

  void store(Store& store, const std::string& what, std::istringstream& line) {
    std::string id;
    std::string text;
    if (what == "receives") {
      wait_for("a send", [&] { return !store.gets.empty(); });
      std::cout << "  " << checked(store.gets.front()) << '\n';
      return store.gets.pop_front();
    }
    if (what == "receives-with-timeout") {  // "gets-within 1300": told at most so many ms to wait
      long most = 0;
      line >> most;
      wait_for("a send", [&] { return !store.gets.empty(); });
      const std::string& got = store.gets.front();
      const long told = std::stol(got.substr(got.find(",d=") + 3));
      std::cout << (told <= most ? "  true\n" : "  but the timeout was " + std::to_string(told) + " ms\n");
      return store.gets.pop_front();
    }
    if (what == "received-nothing") {  // of which all that it could have been sent has come
      std::cout << (store.gets.empty() ? "  true\n" : "  but " + store.gets.front() + "\n");
      return;
    }
    if (what == "receives-many") {  // "gets-many 64": so many sends have come
      std::size_t count = 0;
      line >> count;
      wait_for("so many sends", [&] { return store.gets.size() >= count; });
      store.gets.erase(store.gets.begin(), store.gets.begin() + static_cast<std::ptrdiff_t>(count));
      return;
    }
    if (what == "appends") {
      return void(store.behind_empty = unescaped(remainder(line)));
    }
    if (what == "startup-pending" || what == "completes-startup") {  // those that it let hang, one at least
      const auto hangs = [](const Link& at) { return at.started && !at.ended && !at.greeted; };
      wait_for("a connection that hangs", [&] { return std::ranges::any_of(store.links, hangs); });
      for (Link& at : store.links) {
        if (what == "completes-startup" && hangs(at)) {
          put(at.fd, postgres::startup_response()), at.greeted = true;
        }
      }
      return;
    }
    if (what == "reports-vitals") {
      return void(store.vitals = remainder(line));
    }
    if (what == "drops-connections") {  // every connection, without a word until something is sent there
      for (Link& at : store.links) {
        at.dropped = true;
      }
      return;
    }
    if (what == "refuses-connections") {
      return void(close(std::exchange(store.listening, -1)));
    }
    if (what == "accepts" || what == "rejects-startup" || what == "delays-startup") {
      return void(store.manner = what);
    }
    line >> id;
    Link* link = nullptr;
    for (Link& at : store.links) {
      if (at.asked.find("id=" + id + ",") != std::string::npos) {
        link = &at;
      }
    }
    if (!link) {
      give_up("no send with that id");
    }
    if (what == "responds") {  // "acks 7 VALUE rank copy as_of NOW"
      std::string answer;
      std::string name;
      std::string value;
      line >> text;
      answer = row_of(text);
      while (line >> name >> value) {
        answer += message('S', name + '\0' + with_now(value) + '\0');
      }
      put(link->fd, answer + postgres::ready_for_query());
      link->asked.clear();
    } else if (what == "responds-error") {
      line >> text;
      put(link->fd, postgres::error(postgres::Severity::error, text, "so the store says") +
                        postgres::ready_for_query());
      link->asked.clear();
    } else if (what == "sends-bytes") {
      put(link->fd, unescaped(remainder(line)));
    } else if (what == "closes") {
      close(link->fd);
      link->ended = true;
      link->asked.clear();
    } else if (what == "connection-closed") {
      wait_for("the front to end that connection", [&] { return link->ended; });
      link->asked.clear();
    } else {
      give_up("no such store line");
    }
  }
  // The patience passed on varies by what has gone by: it may only be shorter than the client's. A position
  // is a time.
  static std::string checked(std::string text) {
    const std::size_t at = text.find(",d=") + 3;
    const std::size_t end = text.find_first_not_of("0123456789", at);
    const long patience = std::stol(text.substr(at, end - at));
    text.replace(at, end - at, patience > 0 && patience <= 9000 ? "(remaining)" : "(too long)");
    const std::size_t after = text.find(",after=");
    if (after == std::string::npos) {
      return text;
    }
    const std::size_t digits = after + 7;
    const std::size_t behind = text.find_first_not_of("0123456789", digits);
    const long long age = now() - std::stoll(text.substr(digits, behind - digits));
    return age >= 0 && age < 60000 ? text.replace(digits, behind - digits, "(now)") : text;
  }

  // So many clients at once, who say nothing more, or each ask and stay: how many hear that there are too
  // many.
  void crowd(int count, const std::string& way, int turned_away) {
    std::vector<Link> links;
    for (int i = 0; i < count; ++i) {
      links.push_back({connect_to(listen_), "", true, false, false, ""});
      std::string text = postgres::startup("svc", "main");
      if (way == "idle") {
        text += postgres::query("SET a");
      }
      if (way == "request") {
        text += postgres::query(
            fmt::format("SELECT v FROM records WHERE k = 'k' /* id=c{},c=look,d=9000,cluster=3 */", i));
      }
      put(links.back().fd, text);
    }
    const auto told = [&] {
      return std::ranges::count_if(links, [&](const Link& link) {
        return way == "idle" ? link.ended : link.held.find("53300") != std::string::npos;
      });
    };
    if (turned_away > 0) {
      wait_for("so many to hear it", [&] {
        for (Link& link : links) {
          if (pollfd at{link.fd, POLLIN, 0}; !link.ended && poll(&at, 1, 0) == 1) {
            link.ended = !fill(link);
          }
        }
        return told() >= turned_away;
      });
      std::cout << "  " << told() << " refused\n";
    }
    for (Link& link : links) {
      while (turned_away == 0 && fill(link)) {
        continue;
      }
      close(link.fd);
    }
    if (turned_away == 0) {
      std::cout << "  all closed\n";
    }
  }

  // The other front of the tier: "hears" prints what a message is like, "says" sends one.
  void peer(const std::string& what, const std::string& rest) {
    if (what == "sends") {
      const sockaddr_in to = address_of(listen_);
      const std::string text = rest == "long" ? std::string(400, 'x') : rest;
      sendto(peer_, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
      return;
    }
    char bytes[1024];
    ssize_t count = 0;
    wait_for("a message", [&] { return (count = recv(peer_, bytes, sizeof bytes, MSG_DONTWAIT)) > 0; });
    std::cout << "  " << std::string(bytes, 2) << (count <= 256 ? ", fits" : ", too long");
    bool load = false;  // the last of a member's 7 digits is above '3' where its load is known
    for (ssize_t at = 13; at < count; at += 7) {
      load |= bytes[at] > '3';
    }
    std::cout << (load ? ", with load" : "") << '\n';
  }

  // A front whose watch has heard nothing for its time has asked anew: what is told now goes there.
  void renew_discovery() {
    pollfd at{discovery_.fd, POLLIN, 0};
    if (discovery_.fd < 0 || poll(&at, 1, 0) != 1 || fill(discovery_)) {
      return;
    }
    close(std::exchange(discovery_.fd, -1));
    wait_for("the call anew", [&] { return called(); });
    discovery_.held.clear();
  }
  bool called() {
    pollfd at{discovery_.fd >= 0 ? discovery_.fd : discovery_listening_, POLLIN, 0};
    if (poll(&at, 1, 0) != 1) {
      return false;
    }
    if (discovery_.fd < 0) {
      discovery_.fd = accept4(discovery_listening_, nullptr, nullptr, SOCK_CLOEXEC);
    } else if (!fill(discovery_)) {
      close(std::exchange(discovery_.fd, -1));
    }
    return discovery_.held.find("\r\n\r\n") != std::string::npos;
  }

  // A whole list with many servers of another group before the stage's own, a part at a time. "half" ends it
  // before its last byte, and the connection stays.
  void tell_long(const std::string& rest) {
    std::istringstream line(rest);
    int rev = 0;
    int more = 0;
    int over = 0;
    std::string name;
    std::string state;
    std::string how;
    line >> rev >> more >> over >> name >> state >> how;
    if (!name.empty()) {
      rows_.at(name)["state"] = state;
    }
    Json targets = Json::array();
    for (const auto& [own, row] : rows_) {
      targets.push_back(row);
    }
    for (int number = 0; number < more; ++number) {
      Json row = rows_.begin()->second;
      row["uid"] = fmt::format("long-{:08x}", number);
      row["pod_group"] = 1000 + number / 6;
      targets.push_back(row);
    }
    const std::string body = Json{{"rev", rev}, {"all", true}, {"targets", targets}}.dump(4);
    put(discovery_.fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    constexpr int kParts = 20;
    const std::size_t until = how == "truncated" ? body.size() - 2 : body.size();
    const auto began = std::chrono::steady_clock::now();
    for (int part = 0; part < kParts; ++part) {
      const std::size_t from = until * static_cast<std::size_t>(part) / kParts;
      const std::size_t to = until * static_cast<std::size_t>(part + 1) / kParts;
      put(discovery_.fd, body.substr(from, to - from));
      wait_for("its time", [&] {
        return std::chrono::steady_clock::now() >= began + std::chrono::milliseconds(over) * part / kParts;
      });
    }
  }

  void discovery(const std::string& what, const std::string& rest) {
    if (what == "appends") {
      return void(behind_list_ = unescaped(rest));  // to the next answer, in one segment
    }
    if (what == "responds" || what == "sends-bytes") {
      renew_discovery();
    }
    if (what == "receives") {
      wait_for("a call", [&] { return called(); });
      std::cout << "  " << discovery_.held.substr(0, discovery_.held.find("\r\n")) << '\n';
      discovery_.held.clear();
    } else if (what == "responds") {  // "tells 43 changes b leaving", "tells 43 all"
      std::istringstream line(rest);
      int rev = 0;
      std::string kind;
      std::string name;
      std::string state;
      line >> rev >> kind >> name >> state;
      if (!state.empty()) {
        rows_.at(name)["state"] = state;
      }
      const std::string body = list_of(rev, kind == "complete", name);
      put(discovery_.fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                             body + std::exchange(behind_list_, ""));
    } else if (what ==
               "responds-long") {  // "tells-long 44 4000 0 b leaving": of so many more, indented, over
                                   // so many ms
      tell_long(rest);
    } else if (what == "sends-bytes") {
      put(discovery_.fd, unescaped(rest));
    } else if (what == "moves") {  // the old address takes no new connections, what is open there stays
      moved_ = std::exchange(discovery_, {});
      close(discovery_listening_);
      std::string address = place(96);
      discovery_listening_ = listen_at(address);
      config_["discovery"] = address;
    } else if (what == "connection-closed") {
      wait_for("the front to leave the old address", [&] {
        pollfd at{moved_.fd, POLLIN, 0};
        return poll(&at, 1, 0) == 1 && !fill(moved_);
      });
    } else {
      close(std::exchange(discovery_.fd, -1));
    }
  }

  const std::string program_;
  Json config_;
  std::string listen_, path_, said_;
  std::string behind_list_;
  int discovery_listening_ = -1, errors_ = -1, peer_ = -1, file_ = -1;
  pid_t child_ = 0;
  int signalled_ = 0;
  std::vector<int> floods_;
  const std::string kFlood = postgres::query("SET a") + postgres::query("nonsense");
  Link discovery_, moved_;
  std::map<std::string, Store> stores_;
  std::map<std::string, Json> rows_;
  std::map<std::string, Link> clients_;
};
}  // namespace

int main(int /*unused*/, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::ifstream file(argv[2]);
  Stage stage(argv[1]);
  for (std::string text; std::getline(file, text);) {
    if (text.starts_with("  ")) {
      continue;
    }
    std::cout << text << std::endl;
    if (!text.empty() && text[0] != '#') {
      stage.play(text);
    }
  }
}
