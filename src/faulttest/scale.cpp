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

constexpr int kReplicas = 6;  // per group, including the primary
constexpr int kReleaseSteps = 8;
// Discovery does not answer from the first of these steps until the last one.
constexpr int kOutageFirstStep = 3, kOutageLastStep = 7;
constexpr int kClients = 20;
// The rank of the instance. Of two instances that probe the same group, the one with the lower rank
// continues.
constexpr int kRank = 1;
constexpr int kFirstPort = 20000;        // below the ephemeral port range of the system
constexpr Millis kRequestTimeout = 283;  // how long a client waits for a response, as in the report
constexpr Millis kLostGrace = 500;  // slack beyond the request timeout, after which a request counts as lost
constexpr Millis kAttemptSlack = 100;  // how long after the end of its request an attempt may begin
constexpr Millis kDrainGrace = 500, kSlack = 50;  // kSlack: of the protocol, on each time limit
constexpr Millis kPingPeriod = 4, kBroadcastPeriod = 200, kInspectionPeriod = 100;
constexpr Millis kStartTimeout = 30000;
constexpr std::size_t kMaxViolations = 10;
constexpr double kNanosecondsPerMillisecond = 1e6;

// Returns a loopback address for the role that is unique to this process.
std::string own_address(int role) {
  const int pid = getpid();
  return fmt::format("127.{}.{}.{}", role + (pid >> 16 & 31), pid >> 8 & 255, pid & 255);
}

Tcp::endpoint own_endpoint(int role, int number) {
  return {asio::ip::make_address(own_address(role)), static_cast<std::uint16_t>(kFirstPort + number)};
}

enum AddressRole { kInstanceRole = 160, kServerRole = 128, kDiscoveryRole = 96, kPeerRole = 192 };

Json instance_settings(const ScaleScenario& scenario) {
  const auto request_class = [](const char* name, const char* effect) {
    return Json{{"name", name},
                {"effect", effect},
                {"goalTime", 200 * kNanosecondsPerMillisecond},
                {"deadline", kRequestTimeout * kNanosecondsPerMillisecond},
                {"keyScope", "cell"},
                {"dedupWindow", 1200 * kNanosecondsPerMillisecond},
                {"importance", 1}};
  };
  return {{"nInstances", scenario.instances},
          {"rank", kRank},
          {"quantum", 5 * kNanosecondsPerMillisecond},
          {"discovery", "push"},
          {"requestClasses",
           {request_class("look", "repeatable"), request_class("recent", "repeatable"),
            request_class("book", "by_key")}},
          {"familyInfo",
           {{"needsByClass", {"loose", "recent", "update"}},
            {"oldestData", {0, 300 * kNanosecondsPerMillisecond, 0}},
            {"behind", "silent"},
            {"positions", true},
            {"roleListed", "silent"},
            {"tokens", "client"}}},
          {"report", {{"how", "pull"}}},
          {"ceilings",
           {{"cancel", true},
            {"connIdle", 30000 * kNanosecondsPerMillisecond},
            {"connectTimeout", 250 * kNanosecondsPerMillisecond},
            {"maxAttempts", 6},
            {"maxOpen", 20000},
            {"maxRetryAfter", 1000 * kNanosecondsPerMillisecond},
            {"mayTell", scenario.instances > 1},
            {"probes", true},
            {"retryAfter", true}}},
          {"rules",
           {{"stopSendingWithin", kDrainGrace * kNanosecondsPerMillisecond},
            {"graceToAnswer", 20 * kNanosecondsPerMillisecond},
            {"coldFrom", 0.3},
            {"warmWithin", 8000 * kNanosecondsPerMillisecond},
            {"fallMultiple", 2},
            {"fall", 3000 * kNanosecondsPerMillisecond}}}};
}

class Simulation {
 public:
  Simulation(const ScaleScenario& scenario, const std::string& folder);
  ScaleReport run();

 private:
  struct ClientRequest {
    Millis sent = 0;
    std::optional<Millis> answered;
  };
  struct Client {
    explicit Client(asio::io_context& io) : socket(io) {}
    Tcp::socket socket;
    std::array<char, 8192> bytes;
    std::string received, outgoing, request;  // request: id of the open request; empty: none
    bool ready = false, has_row = false;
    std::string error_code;
    std::uint64_t generation = 0;  // number of connections; callbacks of an earlier one are ignored
  };

  TestDiscovery::ListUpdate list_since(long long since);
  [[nodiscard]] std::string format_row(int server) const;
  void publish_list(const std::vector<int>& servers, bool complete);
  void release_step(int step);
  void connect(Client& client);
  void read(Client& client);
  void handle_message(Client& client, const postgres::Message& message);
  void send_request(Client& client);
  void schedule_request(Client& client);
  void answered(Client& client);
  void ping();
  void record_ping();
  void broadcast_samples();
  void record_attempt(int server, const std::string& request);
  void inspect_process();
  void report_violation(std::string line);
  void run_for(Millis span);
  double random_fraction() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  const ScaleScenario scenario_;
  const int total_servers_, groups_;
  asio::io_context io_{1};
  const net::Clock clock_;
  net::Timers timers_{io_, clock_};
  std::minstd_rand random_{11};
  TestStores servers_;
  long long revision_ = 1;
  std::vector<long long> changed_at_;  // by server: the revision of the last change of its row
  std::vector<std::optional<Millis>>
      draining_since_;  // by server: since when it is listed as draining or removed
  enum class Listing { absent, active, leaving, left };
  std::vector<Listing> listed_;
  bool next_list_complete_ = false;
  TestDiscovery discovery_;
  Process process_;
  const Tcp::endpoint instance_address_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::map<std::string, ClientRequest> requests_;
  std::uint64_t last_request_ = 0;
  std::unique_ptr<Client> ping_client_;
  Millis ping_sent_at_ = 0;
  bool stopping_ = false;
  bool instance_ready_ = false;  // the instance has answered a query
  std::vector<double> ping_latencies_;
  asio::ip::udp::socket peer_socket_{io_};
  std::size_t next_group_ = 0;
  ScaleReport report_;
};

std::vector<Tcp::endpoint> endpoints_of(int count) {
  std::vector<Tcp::endpoint> endpoints;
  for (int server = 0; server < count; ++server) {
    endpoints.push_back(own_endpoint(kServerRole, server));
  }
  return endpoints;
}

StoreWork server_work() {
  StoreWork work;
  work.work = 10;
  work.workers = 16;
  return work;
}

Simulation::Simulation(const ScaleScenario& scenario, const std::string& folder)
    : scenario_(scenario),
      total_servers_(scenario.servers + scenario.servers / 2),
      groups_(std::max(1, scenario.servers / kReplicas)),
      servers_(io_, timers_, clock_, endpoints_of(total_servers_), server_work(), 1),
      changed_at_(static_cast<std::size_t>(total_servers_), 1),
      draining_since_(static_cast<std::size_t>(total_servers_)),
      listed_(static_cast<std::size_t>(total_servers_), Listing::absent),
      discovery_(io_, timers_, clock_, own_endpoint(kDiscoveryRole, 0),
                 [this](long long since) { return list_since(since); }),
      process_(scenario.program, folder, fmt::format("front-{}", scenario.servers)),
      instance_address_(own_endpoint(kInstanceRole, 0)) {
  report_.servers = scenario.servers;
  for (int server = 0; server < total_servers_; ++server) {
    // Each server of the second half is replaced by the one servers / 2 positions after it, in the same
    // group.
    const int slot = server < scenario.servers ? server : server - scenario.servers / 2;
    servers_.state(server).group = slot % groups_;
    servers_.state(server).primary = server < groups_;
    if (server < scenario.servers) {
      listed_[static_cast<std::size_t>(server)] = Listing::active;
    }
  }
  servers_.set_callbacks({}, [this](int server, const std::string& request, const Tcp::endpoint&) {
    record_attempt(server, request);
  });
}

std::string Simulation::format_row(int server) const {
  const char* state = "active";
  if (listed_[static_cast<std::size_t>(server)] == Listing::leaving) {
    state = "leaving";
  }
  if (listed_[static_cast<std::size_t>(server)] == Listing::left) {
    state = "left";
  }
  const char* format =
      scenario_.indented_lists
          ? "    {{\n      \"uid\": \"s-{:08x}\",\n      \"endpoint\": \"{}\",\n      \"az\": \"a\",\n"
            "      \"model\": \"m\",\n      \"pod_group\": {},\n      \"state\": \"{}\",\n"
            "      \"capacity_hint\": 1.0,\n      \"boot_ms\": {:.0f}\n    }}"
          : R"({{"uid":"s-{:08x}","endpoint":"{}","az":"a","model":"m","pod_group":{},)"
            R"("state":"{}","capacity_hint":1.0,"boot_ms":{:.0f}}})";
  return fmt::format(fmt::runtime(format), server, config::format_endpoint(servers_.at(server)),
                     servers_.state(server).group, state, servers_.state(server).booted);
}

TestDiscovery::ListUpdate Simulation::list_since(long long since) {
  const bool complete = since < 0 || std::exchange(next_list_complete_, false);
  std::string rows;
  for (int server = 0; server < total_servers_; ++server) {
    const auto at = static_cast<std::size_t>(server);
    const bool present = listed_[at] == Listing::active || listed_[at] == Listing::leaving;
    if (complete ? !present : listed_[at] == Listing::absent || changed_at_[at] <= since) {
      continue;
    }
    if (!rows.empty()) {
      rows += ',';
    }
    if (scenario_.indented_lists) {
      rows += '\n';
    }
    rows += format_row(server);
  }
  TestDiscovery::ListUpdate now{
      revision_, fmt::format(R"({{"rev":{},"all":{},"targets":[{}]}})", revision_, complete, rows)};
  report_.list_bytes += now.list.size();
  // The instance counts as informed when the list is written.
  for (int server = 0; server < total_servers_; ++server) {
    const auto at = static_cast<std::size_t>(server);
    const bool active_now = listed_[at] == Listing::active;
    if (active_now || listed_[at] == Listing::absent) {
      draining_since_[at].reset();
    } else if (!draining_since_[at]) {
      draining_since_[at] = clock_.now();
    }
  }
  return now;
}

void Simulation::publish_list(const std::vector<int>& servers, bool complete) {
  ++revision_;
  for (const int server : servers) {
    changed_at_[static_cast<std::size_t>(server)] = revision_;
  }
  next_list_complete_ = complete;
  discovery_.notify_watchers();
}

// Adds a batch of new servers, drains the batch that they replace and removes the batch drained before. In
// the middle discovery does not answer for some steps and then sends all their changes in one complete list.
void Simulation::release_step(int step) {
  const int replaced_count = scenario_.servers / 2;
  std::vector<int> changed_servers;
  const auto for_each_in_batch = [&](int number, auto apply) {
    if (number < 0 || number >= kReleaseSteps) {
      return;
    }
    for (int at = replaced_count * number / kReleaseSteps; at < replaced_count * (number + 1) / kReleaseSteps;
         ++at) {
      apply(at);
    }
  };
  for_each_in_batch(step, [&](int at) {
    const int added = scenario_.servers + at;
    const int removed = replaced_count + at;
    servers_.state(added).booted = clock_.now();
    listed_[static_cast<std::size_t>(added)] = Listing::active;
    listed_[static_cast<std::size_t>(removed)] = Listing::leaving;
    changed_servers.push_back(added);
    changed_servers.push_back(removed);
  });
  for_each_in_batch(step - 1, [&](int at) {
    listed_[static_cast<std::size_t>(replaced_count + at)] = Listing::left;
    changed_servers.push_back(replaced_count + at);
  });
  if (step == kReleaseSteps / 2) {  // changes the primary of an eighth of the groups
    for (int group = 0; group < groups_; group += kReleaseSteps) {
      const int next = group + groups_;
      servers_.state(next).min_position = servers_.position(next);
      servers_.state(group).min_position = servers_.position(group);
      servers_.state(group).primary = false;
      servers_.state(next).primary = true;
    }
  }
  if (step == kOutageFirstStep) {
    discovery_.set_failure(DiscoveryFailure::silent);
  }
  if (step == kOutageLastStep) {
    discovery_.set_failure(DiscoveryFailure::none);
  }
  publish_list(changed_servers, step == kOutageLastStep);
}

void Simulation::connect(Client& client) {
  const std::uint64_t generation = ++client.generation;
  client.received.clear();
  client.request.clear();
  client.ready = false;
  asio::error_code ignored;
  client.socket.close(ignored);
  client.socket = Tcp::socket(io_);
  client.socket.async_connect(instance_address_, [this, &client, generation](const asio::error_code& error) {
    if (generation != client.generation) {
      return;
    }
    if (error) {
      timers_.set(clock_.now() + kPingPeriod, [this, &client] { connect(client); });
      return;
    }
    asio::error_code none;
    client.socket.set_option(Tcp::no_delay(true), none);
    client.outgoing = postgres::startup("svc", "main");
    asio::async_write(client.socket, asio::buffer(client.outgoing),
                      [](const asio::error_code&, std::size_t) {});
    read(client);
  });
}

void Simulation::read(Client& client) {
  const std::uint64_t generation = client.generation;
  client.socket.async_read_some(
      asio::buffer(client.bytes),
      [this, &client, generation](const asio::error_code& error, std::size_t count) {
        if (generation != client.generation) {
          return;
        }
        if (error) {
          return connect(client);
        }
        client.received.append(client.bytes.data(), count);
        while (client.received.size() >= 5) {
          // The proxy sends more kinds of message than servers do; only the type and the length matter here.
          const auto byte = [&](std::size_t at) {
            return static_cast<std::size_t>(static_cast<unsigned char>(client.received[at]));
          };
          const std::size_t size = 1 + (byte(1) << 24 | byte(2) << 16 | byte(3) << 8 | byte(4));
          if (client.received.size() < size) {
            break;
          }
          const std::string complete = client.received.substr(0, size);
          client.received.erase(0, size);
          handle_message(client, {complete[0], std::string_view(complete).substr(5), complete});
          if (generation != client.generation) {
            return;
          }
        }
        read(client);
      });
}

void Simulation::handle_message(Client& client, const postgres::Message& message) {
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
  if (!std::exchange(client.ready, true)) {
    if (&client == ping_client_.get()) {
      return ping();
    }
    return schedule_request(client);
  }
  if (&client == ping_client_.get()) {
    return record_ping();
  }
  answered(client);
}

void Simulation::schedule_request(Client& client) {
  const Millis pause = 1000.0 * kClients / scenario_.requests_per_second;
  timers_.set(clock_.now() + pause * (0.5 + random_fraction()),
              [this, &client, generation = client.generation] {
                if (generation == client.generation && !stopping_) {
                  send_request(client);
                }
              });
}

void Simulation::send_request(Client& client) {
  client.request = fmt::format("{:016x}", ++last_request_);
  client.has_row = false;
  client.error_code.clear();
  const int group = static_cast<int>(random_() % static_cast<unsigned>(groups_));
  const double kind = random_fraction();
  if (kind < 0.1) {
    client.outgoing =
        postgres::query(fmt::format("INSERT INTO records (k, v) VALUES ('k{}', '\\x01') RETURNING v /* "
                                    "id={},c=book,d={:.0f},k={},cluster={} */",
                                    group, client.request, kRequestTimeout, client.request, group));
  } else {
    client.outgoing = postgres::query(
        fmt::format("SELECT v FROM records WHERE k = 'k{}' /* id={},c={},d={:.0f},cluster={} */", group,
                    client.request, kind < 0.5 ? "look" : "recent", kRequestTimeout, group));
  }
  requests_[client.request] = {clock_.now(), std::nullopt};
  ++report_.requests;
  asio::async_write(client.socket, asio::buffer(client.outgoing),
                    [](const asio::error_code&, std::size_t) {});
  timers_.set(clock_.now() + kRequestTimeout + kLostGrace, [this, &client, request = client.request] {
    if (client.request != request) {
      return;
    }
    ++report_.lost;
    report_violation(
        fmt::format("response guarantee: request {} has no final response {:.0f} ms after its deadline",
                    request, kLostGrace));
    requests_[request].answered = requests_[request].sent + kRequestTimeout;
    connect(client);
  });
}

void Simulation::answered(Client& client) {
  if (client.request.empty()) {
    return;
  }
  ClientRequest& request = requests_[std::exchange(client.request, "")];
  request.answered = clock_.now();
  const bool in_time = clock_.now() <= request.sent + kRequestTimeout;
  if (client.has_row && in_time) {
    ++report_.served;
  } else if (client.error_code == "53300" || client.error_code == "57P03") {
    ++report_.refused;
  } else {
    ++report_.failed;
  }
  schedule_request(client);
}

void Simulation::record_attempt(int server, const std::string& request) {
  ++report_.attempts;
  const Millis now = clock_.now();
  if (const auto found = requests_.find(request); found != requests_.end()) {
    const Millis end = std::min(found->second.sent + kRequestTimeout, found->second.answered.value_or(now));
    if (now > end + kAttemptSlack) {
      ++report_.late_attempts;
      report_violation(fmt::format("response guarantee: request {} has an attempt {:.0f} ms after its end",
                                   request, now - end));
    }
  }
  const auto& since = draining_since_[static_cast<std::size_t>(server)];
  if (since && now > *since + kDrainGrace + kSlack) {
    ++report_.drained_attempts;
    report_violation(fmt::format("drain: request {} reached server {} {:.0f} ms after its drain was listed",
                                 request, server, now - *since));
  }
}

void Simulation::ping() {
  ping_sent_at_ = clock_.now();
  ping_client_->outgoing = postgres::query("");
  asio::async_write(ping_client_->socket, asio::buffer(ping_client_->outgoing),
                    [](const asio::error_code&, std::size_t) {});
}

void Simulation::record_ping() {
  ping_latencies_.push_back(clock_.now() - ping_sent_at_);
  timers_.set(clock_.now() + kPingPeriod, [this, generation = ping_client_->generation] {
    if (generation == ping_client_->generation) {
      ping();
    }
  });
}

// Simulates an instance that probes every group and broadcasts the samples, which is all that the fleet tells
// this instance. The broadcasts are spread over the period.
void Simulation::broadcast_samples() {
  constexpr int kSlices = 20;
  const std::size_t slice_size = (static_cast<std::size_t>(groups_) + kSlices - 1) / kSlices;
  const asio::ip::udp::endpoint to(instance_address_.address(), instance_address_.port());
  for (std::size_t at = 0; at < slice_size; ++at) {
    const int group = static_cast<int>(next_group_++ % static_cast<std::size_t>(groups_));
    std::vector<GossipedSample> samples;
    const auto add_sample = [&](int server) {
      // The other instances learn of a drain from discovery too, and probe the server until then.
      const auto& draining_since = draining_since_[static_cast<std::size_t>(server)];
      if (listed_[static_cast<std::size_t>(server)] == Listing::absent || draining_since) {
        return;
      }
      const Role role =
          servers_.state(server).primary ? reedspindle::Role::primary : reedspindle::Role::replica;
      samples.push_back(
          {hash_address({fmt::format("s-{:08x}", server)}), {role, servers_.position(server), 0.3}});
    };
    for (int server = group; server < scenario_.servers; server += groups_) {
      add_sample(server);
      if (server >= scenario_.servers / 2) {
        add_sample(server + scenario_.servers / 2);
      }
    }
    const std::string text = encode_samples(clock_.now(), samples);
    asio::error_code ignored;
    if (!samples.empty()) {
      peer_socket_.send_to(asio::buffer(text), to, 0, ignored);
    }
  }
  timers_.set(clock_.now() + kBroadcastPeriod / kSlices, [this] { broadcast_samples(); });
}

// Reads processor time, memory and descriptors from /proc, and the longest event loop turn from the
// instance's log.
void Simulation::inspect_process() {
  if (process_.crashed()) {
    report_.crashed = true;
    return report_violation("the instance has exited unexpectedly");
  }
  const std::string folder = fmt::format("/proc/{}/", process_.pid());
  std::ifstream stat(folder + "stat");
  std::string field;
  double ticks = 0;
  for (int number = 1; number <= 15 && stat >> field; ++number) {
    if (number >= 14) {
      ticks += std::stod(field);
    }
  }
  if (ticks > 0) {
    report_.processor_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  std::ifstream status(folder + "status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      report_.peak_memory_mb = std::stod(line.substr(6)) / 1024;
    }
  }
  std::error_code error;
  const auto descriptors = std::distance(std::filesystem::directory_iterator(folder + "fd", error), {});
  // Before the instance is ready, the forked process may still hold the descriptors of its parent.
  if (!error && instance_ready_) {
    report_.descriptors = std::max(report_.descriptors, static_cast<std::size_t>(descriptors));
  }
  for (const Json& line : process_.log_lines()) {
    if (line.value("event", "") == "longest event loop turn") {
      report_.longest_loop_turn_ms = std::max(report_.longest_loop_turn_ms, line.value("duration_ms", 0.0));
    }
  }
  timers_.set(clock_.now() + kInspectionPeriod, [this] { inspect_process(); });
}

void Simulation::report_violation(std::string line) {
  if (report_.violations.size() < kMaxViolations) {
    report_.violations.push_back(std::move(line));
  }
}

void Simulation::run_for(Millis span) {
  bool finished = false;
  timers_.set(clock_.now() + span, [&finished] { finished = true; });
  while (!finished && !report_.crashed) {
    io_.run_one();
  }
}

ScaleReport Simulation::run() {
  const std::string peer_address = own_address(kPeerRole);
  peer_socket_.open(asio::ip::udp::v4());
  peer_socket_.bind({asio::ip::make_address(peer_address), kFirstPort});
  Json peers = {fmt::format("{}:{}", peer_address, kFirstPort), config::format_endpoint(instance_address_)};
  for (int other = 2; other < scenario_.instances; ++other) {
    peers.push_back(fmt::format("{}:{}", peer_address, kFirstPort + other));
  }
  const Json config = {{"name", "n0"},
                       {"listen", config::format_endpoint(instance_address_)},
                       {"discovery", config::format_endpoint(discovery_.at())},
                       {"seed", "7"},
                       {"limits", {{"sockets", 1024}, {"memory_mb", 192}}},
                       {"peer_listen", config::format_endpoint(instance_address_)},
                       {"peers", peers},
                       {"peers_all", fmt::format("{}:{}", peer_address, kFirstPort)},
                       {"known", Json::parse(list_since(-1).list)},
                       {"settings", instance_settings(scenario_)}};
  report_.list_bytes = 0;
  process_.start(config.dump(),
                 fmt::format("(reedspindle (log (form json) (level {}) (lines-of-a-kind 100000)))\n",
                             scenario_.log_level));
  ping_client_ = std::make_unique<Client>(io_);
  connect(*ping_client_);
  inspect_process();
  if (scenario_.instances > 1) {
    broadcast_samples();
  }
  const Millis start_deadline = clock_.now() + kStartTimeout;
  while (ping_latencies_.empty() && clock_.now() < start_deadline && !report_.crashed) {
    io_.run_one();
  }
  if (ping_latencies_.empty()) {
    throw std::runtime_error("the instance was not ready in time");
  }
  ping_latencies_.clear();
  instance_ready_ = true;

  for (int client = 0; client < kClients; ++client) {
    clients_.push_back(std::make_unique<Client>(io_));
    connect(*clients_.back());
  }
  std::optional<net::Timers::Handle> duty_cycle_timer;
  std::function<void(bool)> limit_processor_time = [&](bool run) {
    constexpr Millis kDutyCyclePeriod = 10;
    process_.signal(run ? SIGCONT : SIGSTOP);
    duty_cycle_timer =
        timers_.set(clock_.now() + kDutyCyclePeriod * (run ? scenario_.cores : 1 - scenario_.cores),
                    [&limit_processor_time, run] { limit_processor_time(!run); });
  };
  if (scenario_.cores < 1) {
    limit_processor_time(false);
  }
  run_for(static_cast<Millis>(scenario_.idle_time.count()));
  for (int step = 0; step <= kReleaseSteps; ++step) {
    release_step(step);
    run_for(static_cast<Millis>(scenario_.step_time.count()));
  }
  run_for(static_cast<Millis>(scenario_.idle_time.count()));
  stopping_ = true;
  run_for(kRequestTimeout + kLostGrace);
  timers_.cancel(duty_cycle_timer);

  report_.connections = servers_.accepted();
  report_.probes = servers_.probes();
  std::ranges::sort(ping_latencies_);
  const auto quantile = [this](double fraction) {
    return ping_latencies_.empty() ? 0
                                   : ping_latencies_[static_cast<std::size_t>(
                                         fraction * static_cast<double>(ping_latencies_.size() - 1))];
  };
  report_.ping_median_ms = quantile(0.5);
  report_.ping_p99_ms = quantile(0.99);
  report_.ping_worst_ms = quantile(1);
  return report_;
}

}  // namespace

double ScaleReport::served_fraction() const {
  return requests == 0 ? 0 : static_cast<double>(served) / static_cast<double>(requests);
}

ScaleReport run_scale_scenario(const ScaleScenario& scenario, const std::string& folder) {
  return Simulation(scenario, folder).run();
}

}  // namespace reedspindle::faulttest
