#include "faulttest/scale.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "config/instance_config.hpp"
#include "faulttest/process.hpp"
#include "faulttest/test_discovery.hpp"
#include "faulttest/test_stores.hpp"
#include "net/clock.hpp"
#include "postgres/codec.hpp"
#include "routing/replica_samples.hpp"

namespace reedspindle::faulttest {
namespace {

namespace postgres = postgres;
using Json = nlohmann::json;
using Tcp = asio::ip::tcp;

constexpr int kReplicas = 6;  // of a group, its primary included
constexpr int kReleaseSteps = 8;
constexpr int kOutageFrom = 3, kOutageTo = 7;  // steps that discovery does not tell of until the last of them
constexpr int kClients = 20;
constexpr int kRank = 1;  // of the front; of two that keep the pace of a group the lower rank goes on
constexpr int kFirstPort = 20000;                 // below the range from which the system gives ports
constexpr Millis kPatience = 283;                 // that a client waits for an answer: the report's figure
constexpr Millis kLostAfter = 500;                // beyond its patience: the standing page's slack
constexpr Millis kAttemptSlack = 100;             // an attempt may begin so long after the end of its request
constexpr Millis kDrainGrace = 500, kSlack = 50;  // the protocol's slack on each time limit
constexpr Millis kPing = 4, kWords = 200, kLook = 100;
constexpr Millis kReadyWithin = 30000;
constexpr std::size_t kBreaksTold = 10;
constexpr double kNanoseconds = 1e6;  // in a millisecond

// An address of this process' own for each role.
std::string own_address(int role) {
  const int pid = getpid();
  return fmt::format("127.{}.{}.{}", role + (pid >> 16 & 31), pid >> 8 & 255, pid & 255);
}

Tcp::endpoint own_endpoint(int role, int number) {
  return {asio::ip::make_address(own_address(role)), static_cast<std::uint16_t>(kFirstPort + number)};
}

enum AddressRole { kFrontRole = 160, kServerRole = 128, kDiscoveryRole = 96, kPeerRole = 192 };

Json settings_of(const ScaleDay& day) {
  const auto request_class = [](const char* name, const char* effect) {
    return Json{{"name", name},
                {"effect", effect},
                {"goalTime", 200 * kNanoseconds},
                {"deadline", kPatience * kNanoseconds},
                {"keyScope", "cell"},
                {"dedupWindow", 1200 * kNanoseconds},
                {"importance", 1}};
  };
  return {{"nInstances", day.fronts},
          {"rank", kRank},
          {"quantum", 5 * kNanoseconds},
          {"discovery", "push"},
          {"requestClasses",
           {request_class("look", "repeatable"), request_class("recent", "repeatable"),
            request_class("book", "by_key")}},
          {"familyInfo",
           {{"needsByClass", {"loose", "recent", "update"}},
            {"oldestData", {0, 300 * kNanoseconds, 0}},
            {"behind", "silent"},
            {"positions", true},
            {"roleListed", "silent"},
            {"tokens", "client"}}},
          {"report", {{"how", "pull"}}},
          {"ceilings",
           {{"cancel", true},
            {"connIdle", 30000 * kNanoseconds},
            {"connectTimeout", 250 * kNanoseconds},
            {"maxAttempts", 6},
            {"maxOpen", 20000},
            {"maxRetryAfter", 1000 * kNanoseconds},
            {"mayTell", day.fronts > 1},
            {"probes", true},
            {"retryAfter", true}}},
          {"rules",
           {{"stopSendingWithin", kDrainGrace * kNanoseconds},
            {"graceToAnswer", 20 * kNanoseconds},
            {"coldFrom", 0.3},
            {"warmWithin", 8000 * kNanoseconds},
            {"fallMultiple", 2},
            {"fall", 3000 * kNanoseconds}}}};
}

class Day {
 public:
  Day(const ScaleDay& day, const std::string& folder);
  ScaleCost play();

 private:
  struct Request {
    Millis sent = 0;
    std::optional<Millis> answered;
  };
  struct Client {
    explicit Client(asio::io_context& io) : socket(io) {}
    Tcp::socket socket;
    std::array<char, 8192> bytes;
    std::string held, out, request;  // request: the id of the one that is open; empty: none
    bool welcomed = false, has_row = false;
    std::string error_code;
    std::uint64_t life = 0;  // counts connections: callbacks of an earlier one are none of this one's
  };

  TestDiscovery::ListUpdate list_since(long long since);
  [[nodiscard]] std::string row_of(int server) const;
  void publish(const std::vector<int>& servers, bool whole);
  void release_step(int step);
  void connect(Client& client);
  void read(Client& client);
  void take(Client& client, const postgres::Message& message);
  void ask(Client& client);
  void ask_later(Client& client);
  void answered(Client& client);
  void ping();
  void ping_read();
  void speak_of_all();
  void attempt_came(int server, const std::string& request);
  void look_at_front();
  void broken(std::string line);
  void run_for(Millis span);
  double draw() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  const ScaleDay day_;
  const int total_, groups_;
  asio::io_context io_{1};
  const net::Clock clock_;
  net::Timers timers_{io_, clock_};
  std::minstd_rand random_{11};
  TestStores servers_;
  long long revision_ = 1;
  std::vector<long long> changed_at_;                  // the revision in which each server's row changed last
  std::vector<std::optional<Millis>> unwanted_since_;  // told draining or gone
  enum class Listing { absent, active, leaving, left };
  std::vector<Listing> listed_;
  bool whole_next_ = false;
  TestDiscovery discovery_;
  Process front_;
  const Tcp::endpoint front_at_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::map<std::string, Request> requests_;
  std::uint64_t last_request_ = 0;
  std::unique_ptr<Client> pinger_;
  Millis pinged_ = 0;
  bool resting_ = false;
  bool ready_ = false;  // the front has answered
  std::vector<double> pings_;
  asio::ip::udp::socket peer_{io_};
  std::size_t next_group_ = 0;
  ScaleCost cost_;
};

std::vector<Tcp::endpoint> endpoints_of(int count) {
  std::vector<Tcp::endpoint> endpoints;
  for (int server = 0; server < count; ++server) {
    endpoints.push_back(own_endpoint(kServerRole, server));
  }
  return endpoints;
}

StoreWork work_of_a_server() {
  StoreWork work;
  work.work = 10;
  work.workers = 16;
  return work;
}

Day::Day(const ScaleDay& day, const std::string& folder)
    : day_(day),
      total_(day.servers + day.servers / 2),
      groups_(std::max(1, day.servers / kReplicas)),
      servers_(io_, timers_, clock_, endpoints_of(total_), work_of_a_server(), 1),
      changed_at_(static_cast<std::size_t>(total_), 1),
      unwanted_since_(static_cast<std::size_t>(total_)),
      listed_(static_cast<std::size_t>(total_), Listing::absent),
      discovery_(io_, timers_, clock_, own_endpoint(kDiscoveryRole, 0),
                 [this](long long since) { return list_since(since); }),
      front_(day.program, folder, fmt::format("front-{}", day.servers)),
      front_at_(own_endpoint(kFrontRole, 0)) {
  cost_.servers = day.servers;
  for (int server = 0; server < total_; ++server) {
    // A server of the second half is replaced by the one half the number of servers behind it, in its group.
    const int place = server < day.servers ? server : server - day.servers / 2;
    servers_.state(server).group = place % groups_;
    servers_.state(server).primary = server < groups_;
    if (server < day.servers) {
      listed_[static_cast<std::size_t>(server)] = Listing::active;
    }
  }
  servers_.set_callbacks({}, [this](int server, const std::string& request, const Tcp::endpoint&) {
    attempt_came(server, request);
  });
}

std::string Day::row_of(int server) const {
  const char* state = "active";
  if (listed_[static_cast<std::size_t>(server)] == Listing::leaving) {
    state = "leaving";
  }
  if (listed_[static_cast<std::size_t>(server)] == Listing::left) {
    state = "left";
  }
  const char* form =
      day_.indented
          ? "    {{\n      \"uid\": \"s-{:08x}\",\n      \"endpoint\": \"{}\",\n      \"az\": \"a\",\n"
            "      \"model\": \"m\",\n      \"pod_group\": {},\n      \"state\": \"{}\",\n"
            "      \"capacity_hint\": 1.0,\n      \"boot_ms\": {:.0f}\n    }}"
          : R"({{"uid":"s-{:08x}","endpoint":"{}","az":"a","model":"m","pod_group":{},)"
            R"("state":"{}","capacity_hint":1.0,"boot_ms":{:.0f}}})";
  return fmt::format(fmt::runtime(form), server, config::format_endpoint(servers_.at(server)),
                     servers_.state(server).group, state, servers_.state(server).booted);
}

TestDiscovery::ListUpdate Day::list_since(long long since) {
  const bool whole = since < 0 || std::exchange(whole_next_, false);
  std::string rows;
  for (int server = 0; server < total_; ++server) {
    const auto at = static_cast<std::size_t>(server);
    const bool present = listed_[at] == Listing::active || listed_[at] == Listing::leaving;
    if (whole ? !present : listed_[at] == Listing::absent || changed_at_[at] <= since) {
      continue;
    }
    if (!rows.empty()) {
      rows += ',';
    }
    if (day_.indented) {
      rows += '\n';
    }
    rows += row_of(server);
  }
  TestDiscovery::ListUpdate now{
      revision_, fmt::format(R"({{"rev":{},"all":{},"targets":[{}]}})", revision_, whole, rows)};
  cost_.list_bytes += now.list.size();
  // What is written here counts as told.
  for (int server = 0; server < total_; ++server) {
    const auto at = static_cast<std::size_t>(server);
    const bool wanted = listed_[at] == Listing::active;
    if (wanted || listed_[at] == Listing::absent) {
      unwanted_since_[at].reset();
    } else if (!unwanted_since_[at]) {
      unwanted_since_[at] = clock_.now();
    }
  }
  return now;
}

void Day::publish(const std::vector<int>& servers, bool whole) {
  ++revision_;
  for (const int server : servers) {
    changed_at_[static_cast<std::size_t>(server)] = revision_;
  }
  whole_next_ = whole;
  discovery_.notify_watchers();
}

// A part of the new servers comes, that part's old ones drain, the part before goes. In the middle discovery
// falls silent for some steps, and then tells of all of them in one whole list.
void Day::release_step(int step) {
  const int replaced = day_.servers / 2;
  std::vector<int> changed;
  const auto part = [&](int number, auto each) {
    if (number < 0 || number >= kReleaseSteps) {
      return;
    }
    for (int at = replaced * number / kReleaseSteps; at < replaced * (number + 1) / kReleaseSteps; ++at) {
      each(at);
    }
  };
  part(step, [&](int at) {
    const int fresh = day_.servers + at;
    const int old = replaced + at;
    servers_.state(fresh).booted = clock_.now();
    listed_[static_cast<std::size_t>(fresh)] = Listing::active;
    listed_[static_cast<std::size_t>(old)] = Listing::leaving;
    changed.push_back(fresh);
    changed.push_back(old);
  });
  part(step - 1, [&](int at) {
    listed_[static_cast<std::size_t>(replaced + at)] = Listing::left;
    changed.push_back(replaced + at);
  });
  if (step == kReleaseSteps / 2) {  // hand-overs in an eighth of the groups
    for (int group = 0; group < groups_; group += kReleaseSteps) {
      const int next = group + groups_;
      servers_.state(next).min_position = servers_.position(next);
      servers_.state(group).min_position = servers_.position(group);
      servers_.state(group).primary = false;
      servers_.state(next).primary = true;
    }
  }
  if (step == kOutageFrom) {
    discovery_.set_silent(true);
  }
  if (step == kOutageTo) {
    discovery_.set_silent(false);
  }
  publish(changed, step == kOutageTo);
}

void Day::connect(Client& client) {
  const std::uint64_t life = ++client.life;
  client.held.clear();
  client.request.clear();
  client.welcomed = false;
  asio::error_code ignored;
  client.socket.close(ignored);
  client.socket = Tcp::socket(io_);
  client.socket.async_connect(front_at_, [this, &client, life](const asio::error_code& fault) {
    if (life != client.life) {
      return;
    }
    if (fault) {
      timers_.set(clock_.now() + kPing, [this, &client] { connect(client); });
      return;
    }
    asio::error_code none;
    client.socket.set_option(Tcp::no_delay(true), none);
    client.out = postgres::startup("svc", "main");
    asio::async_write(client.socket, asio::buffer(client.out), [](const asio::error_code&, std::size_t) {});
    read(client);
  });
}

void Day::read(Client& client) {
  const std::uint64_t life = client.life;
  client.socket.async_read_some(
      asio::buffer(client.bytes), [this, &client, life](const asio::error_code& fault, std::size_t count) {
        if (life != client.life) {
          return;
        }
        if (fault) {
          return connect(client);
        }
        client.held.append(client.bytes.data(), count);
        while (client.held.size() >= 5) {
          // The front says more kinds than servers do; what counts here is the type and the length.
          const auto byte = [&](std::size_t at) {
            return static_cast<std::size_t>(static_cast<unsigned char>(client.held[at]));
          };
          const std::size_t size = 1 + (byte(1) << 24 | byte(2) << 16 | byte(3) << 8 | byte(4));
          if (client.held.size() < size) {
            break;
          }
          const std::string whole = client.held.substr(0, size);
          client.held.erase(0, size);
          take(client, {whole[0], std::string_view(whole).substr(5), whole});
          if (life != client.life) {
            return;
          }
        }
        read(client);
      });
}

void Day::take(Client& client, const postgres::Message& message) {
  if (message.type == 'D') {
    client.has_row = true;
  }
  if (message.type == 'E') {
    if (const auto fields = postgres::read_error(message.body)) {
      client.error_code = fields->code;
    }
  }
  if (message.type != 'Z') {
    return;
  }
  if (!std::exchange(client.welcomed, true)) {
    if (&client == pinger_.get()) {
      return ping();
    }
    return ask_later(client);
  }
  if (&client == pinger_.get()) {
    return ping_read();
  }
  answered(client);
}

void Day::ask_later(Client& client) {
  const Millis pause = 1000.0 * kClients / day_.requests_per_second;
  timers_.set(clock_.now() + pause * (0.5 + draw()), [this, &client, life = client.life] {
    if (life == client.life && !resting_) {
      ask(client);
    }
  });
}

void Day::ask(Client& client) {
  client.request = fmt::format("{:016x}", ++last_request_);
  client.has_row = false;
  client.error_code.clear();
  const int group = static_cast<int>(random_() % static_cast<unsigned>(groups_));
  const double kind = draw();
  if (kind < 0.1) {
    client.out =
        postgres::query(fmt::format("INSERT INTO records (k, v) VALUES ('k{}', '\\x01') RETURNING v /* "
                                    "id={},c=book,d={:.0f},k={},cluster={} */",
                                    group, client.request, kPatience, client.request, group));
  } else {
    client.out = postgres::query(
        fmt::format("SELECT v FROM records WHERE k = 'k{}' /* id={},c={},d={:.0f},cluster={} */", group,
                    client.request, kind < 0.5 ? "look" : "recent", kPatience, group));
  }
  requests_[client.request] = {clock_.now(), std::nullopt};
  ++cost_.asked;
  asio::async_write(client.socket, asio::buffer(client.out), [](const asio::error_code&, std::size_t) {});
  timers_.set(clock_.now() + kPatience + kLostAfter, [this, &client, request = client.request] {
    if (client.request != request) {
      return;
    }
    ++cost_.lost;
    broken(fmt::format("lost: request {} got no final answer {:.0f} ms after its time", request, kLostAfter));
    requests_[request].answered = requests_[request].sent + kPatience;
    connect(client);
  });
}

void Day::answered(Client& client) {
  if (client.request.empty()) {
    return;
  }
  Request& request = requests_[std::exchange(client.request, "")];
  request.answered = clock_.now();
  const bool in_time = clock_.now() <= request.sent + kPatience;
  if (client.has_row && in_time) {
    ++cost_.served;
  } else if (client.error_code == "53300" || client.error_code == "57P03") {
    ++cost_.refused;
  } else {
    ++cost_.failed;
  }
  ask_later(client);
}

void Day::attempt_came(int server, const std::string& request) {
  ++cost_.attempts;
  const Millis now = clock_.now();
  if (const auto found = requests_.find(request); found != requests_.end()) {
    const Millis end = std::min(found->second.sent + kPatience, found->second.answered.value_or(now));
    if (now > end + kAttemptSlack) {
      ++cost_.late_attempts;
      broken(fmt::format("lost: request {}, an attempt {:.0f} ms after its end", request, now - end));
    }
  }
  const auto& since = unwanted_since_[static_cast<std::size_t>(server)];
  if (since && now > *since + kDrainGrace + kSlack) {
    ++cost_.drained_attempts;
    broken(fmt::format("drain: request {} at server {} {:.0f} ms after it was told", request, server,
                       now - *since));
  }
}

void Day::ping() {
  pinged_ = clock_.now();
  pinger_->out = postgres::query("");
  asio::async_write(pinger_->socket, asio::buffer(pinger_->out), [](const asio::error_code&, std::size_t) {});
}

void Day::ping_read() {
  pings_.push_back(clock_.now() - pinged_);
  timers_.set(clock_.now() + kPing, [this, life = pinger_->life] {
    if (life == pinger_->life) {
      ping();
    }
  });
}

// One other front keeps the pace of every group: what the whole fleet tells this front. Spread over the pace.
void Day::speak_of_all() {
  constexpr int kSlices = 20;
  const std::size_t part = (static_cast<std::size_t>(groups_) + kSlices - 1) / kSlices;
  const asio::ip::udp::endpoint to(front_at_.address(), front_at_.port());
  for (std::size_t at = 0; at < part; ++at) {
    const int group = static_cast<int>(next_group_++ % static_cast<std::size_t>(groups_));
    std::vector<GossipedSample> samples;
    const auto tell = [&](int server) {
      // The others, too, know of a drain when discovery tells, and keep the pace until then.
      const auto& unwanted = unwanted_since_[static_cast<std::size_t>(server)];
      if (listed_[static_cast<std::size_t>(server)] == Listing::absent || unwanted) {
        return;
      }
      const Role role =
          servers_.state(server).primary ? reedspindle::Role::primary : reedspindle::Role::replica;
      samples.push_back(
          {hash_address({fmt::format("s-{:08x}", server)}), {role, servers_.position(server), 0.3}});
    };
    for (int server = group; server < day_.servers; server += groups_) {
      tell(server);
      if (server >= day_.servers / 2) {
        tell(server + day_.servers / 2);
      }
    }
    const std::string text = encode_samples(clock_.now(), samples);
    asio::error_code ignored;
    if (!samples.empty()) {
      peer_.send_to(asio::buffer(text), to, 0, ignored);
    }
  }
  timers_.set(clock_.now() + kWords / kSlices, [this] { speak_of_all(); });
}

// Processor time, memory and descriptors as the system has them, and the longest turn as the front's log has
// it.
void Day::look_at_front() {
  if (front_.crashed()) {
    cost_.crashed = true;
    return broken("the front has ended by itself");
  }
  const std::string folder = fmt::format("/proc/{}/", front_.pid());
  std::ifstream stat(folder + "stat");
  std::string field;
  double ticks = 0;
  for (int number = 1; number <= 15 && stat >> field; ++number) {
    if (number >= 14) {
      ticks += std::stod(field);
    }
  }
  if (ticks > 0) {
    cost_.processor_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  std::ifstream status(folder + "status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      cost_.peak_memory_mb = std::stod(line.substr(6)) / 1024;
    }
  }
  std::error_code gone;
  const auto descriptors = std::distance(std::filesystem::directory_iterator(folder + "fd", gone), {});
  // Before it is ready it may not have begun yet: a fork still holds what its parent does.
  if (!gone && ready_) {
    cost_.descriptors = std::max(cost_.descriptors, static_cast<std::size_t>(descriptors));
  }
  for (const Json& line : front_.log_lines()) {
    if (line.value("event", "") == "longest event loop turn") {
      cost_.longest_turn_ms = std::max(cost_.longest_turn_ms, line.value("duration_ms", 0.0));
    }
  }
  timers_.set(clock_.now() + kLook, [this] { look_at_front(); });
}

void Day::broken(std::string line) {
  if (cost_.breaks.size() < kBreaksTold) {
    cost_.breaks.push_back(std::move(line));
  }
}

void Day::run_for(Millis span) {
  bool over = false;
  timers_.set(clock_.now() + span, [&over] { over = true; });
  while (!over && !cost_.crashed) {
    io_.run_one();
  }
}

ScaleCost Day::play() {
  const std::string peer_address = own_address(kPeerRole);
  peer_.open(asio::ip::udp::v4());
  peer_.bind({asio::ip::make_address(peer_address), kFirstPort});
  Json peers = {fmt::format("{}:{}", peer_address, kFirstPort), config::format_endpoint(front_at_)};
  for (int other = 2; other < day_.fronts; ++other) {
    peers.push_back(fmt::format("{}:{}", peer_address, kFirstPort + other));
  }
  const Json config = {{"name", "n0"},
                       {"listen", config::format_endpoint(front_at_)},
                       {"discovery", config::format_endpoint(discovery_.at())},
                       {"seed", "7"},
                       {"limits", {{"sockets", 1024}, {"memory_mb", 192}}},
                       {"peer_listen", config::format_endpoint(front_at_)},
                       {"peers", peers},
                       {"peers_all", fmt::format("{}:{}", peer_address, kFirstPort)},
                       {"known", Json::parse(list_since(-1).list)},
                       {"settings", settings_of(day_)}};
  cost_.list_bytes = 0;
  front_.start(
      config.dump(),
      fmt::format("(reedspindle (log (form json) (level {}) (lines-of-a-kind 100000)))\n", day_.log_level));
  pinger_ = std::make_unique<Client>(io_);
  connect(*pinger_);
  look_at_front();
  if (day_.fronts > 1) {
    speak_of_all();
  }
  const Millis ready_by = clock_.now() + kReadyWithin;
  while (pings_.empty() && clock_.now() < ready_by && !cost_.crashed) {
    io_.run_one();
  }
  if (pings_.empty()) {
    throw std::runtime_error("the front was not ready in time");
  }
  pings_.clear();
  ready_ = true;

  for (int client = 0; client < kClients; ++client) {
    clients_.push_back(std::make_unique<Client>(io_));
    connect(*clients_.back());
  }
  std::optional<net::Timers::Handle> hold;
  std::function<void(bool)> alternate = [&](bool run) {
    constexpr Millis kPeriod = 10;
    front_.signal(run ? SIGCONT : SIGSTOP);
    hold = timers_.set(clock_.now() + kPeriod * (run ? day_.cores : 1 - day_.cores),
                       [&alternate, run] { alternate(!run); });
  };
  if (day_.cores < 1) {
    alternate(false);
  }
  run_for(static_cast<Millis>(day_.rest.count()));
  for (int step = 0; step <= kReleaseSteps; ++step) {
    release_step(step);
    run_for(static_cast<Millis>(day_.step.count()));
  }
  run_for(static_cast<Millis>(day_.rest.count()));
  resting_ = true;
  run_for(kPatience + kLostAfter);
  timers_.cancel(hold);

  cost_.connections = servers_.accepted();
  cost_.probes = servers_.probes();
  std::ranges::sort(pings_);
  const auto quantile = [this](double share) {
    return pings_.empty() ? 0
                          : pings_[static_cast<std::size_t>(share * static_cast<double>(pings_.size() - 1))];
  };
  cost_.ping_median_ms = quantile(0.5);
  cost_.ping_p99_ms = quantile(0.99);
  cost_.ping_worst_ms = quantile(1);
  return cost_;
}

}  // namespace

double ScaleCost::served_share() const {
  return asked == 0 ? 0 : static_cast<double>(served) / static_cast<double>(asked);
}

ScaleCost play_scale_day(const ScaleDay& day, const std::string& folder) { return Day(day, folder).play(); }

}  // namespace reedspindle::faulttest
