#include "testservers/test_environment.hpp"

#include <fmt/format.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>

#include "config/instance_config.hpp"

namespace reedspindle::testservers {

namespace {

const asio::ip::tcp::endpoint kAnyPort(asio::ip::make_address("127.0.0.1"), 0);

}  // namespace

double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

TestEnvironment::TestEnvironment(int stores)
    : timers_(io_, clock_),
      stores_(io_, timers_, clock_,
              std::vector<asio::ip::tcp::endpoint>(static_cast<std::size_t>(stores), kAnyPort), {}, 1),
      discovery_(io_, timers_, clock_, kAnyPort, [this](long long) { return endpoint_list(); }) {
  thread_ = std::thread([this] {
    const auto work = asio::make_work_guard(io_);
    io_.run();
  });
}

TestEnvironment::~TestEnvironment() {
  io_.stop();
  thread_.join();
}

void TestEnvironment::run_on_loop(const std::function<void()>& action) const {
  std::promise<void> finished;
  asio::post(io_, [&] {
    action();
    finished.set_value();
  });
  finished.get_future().wait();
}

std::string TestEnvironment::discovery_address() const { return config::format_endpoint(discovery_.at()); }
std::string TestEnvironment::name_of(int store) const { return fmt::format("s-{:03}", store); }
std::string TestEnvironment::address_of(int store) const {
  return config::format_endpoint(stores_.at(store));
}
int TestEnvironment::store_at(const std::string& address) const {
  for (int store = 0; store < size(); ++store) {
    if (address_of(store) == address) {
      return store;
    }
  }
  return -1;
}

void TestEnvironment::apply_change(const std::function<void(std::vector<StoreState>&)>& change) {
  std::vector<StoreState> states;
  for (int store = 0; store < size(); ++store) {
    states.push_back(stores_.state(store));
  }
  change(states);
  for (int store = 0; store < size(); ++store) {
    stores_.state(store) = states[static_cast<std::size_t>(store)];
  }
}

double TestEnvironment::update(const std::function<void(std::vector<StoreState>&)>& change) {
  double at = 0;
  run_on_loop([&] {
    apply_change(change);
    ++revision_;
    discovery_.notify_watchers();
    at = now_ms();
  });
  return at;
}

void TestEnvironment::update_unpublished(const std::function<void(std::vector<StoreState>&)>& change) {
  run_on_loop([&] { apply_change(change); });
}
void TestEnvironment::pass_http2(int store, int port) {
  run_on_loop([&] { stores_.forward_http2(store, port); });
}

void TestEnvironment::set_discovery_mode(DiscoveryMode mode) {
  run_on_loop([&] {
    discovery_mode_ = mode;
    discovery_.set_failure(mode == DiscoveryMode::silent ? faulttest::DiscoveryFailure::silent
                                                         : faulttest::DiscoveryFailure::none);
  });
}
void TestEnvironment::set_revision(long long revision) {
  run_on_loop([&] { revision_ = revision; });
}
std::vector<double> TestEnvironment::positions() const {
  std::vector<double> positions;
  run_on_loop([&] {
    for (int store = 0; store < size(); ++store) {
      positions.push_back(stores_.position(store));
    }
  });
  return positions;
}
StoreState TestEnvironment::state(int store) const {
  StoreState state;
  run_on_loop([&] { state = stores_.state(store); });
  return state;
}
long long TestEnvironment::probes() const {
  std::uint64_t probes = 0;
  run_on_loop([&] { probes = stores_.probes(); });
  return static_cast<long long>(probes);
}

faulttest::TestDiscovery::ListUpdate TestEnvironment::endpoint_list() const {
  nlohmann::json targets = nlohmann::json::array();
  for (int store = 0; discovery_mode_ != DiscoveryMode::empty_list && store < size(); ++store) {
    const StoreState& state = stores_.state(store);
    if (!state.listed) {
      continue;
    }
    targets.push_back({{"uid", name_of(store)},
                       {"endpoint", address_of(store)},
                       {"az", "a"},
                       {"pod_group", state.group},
                       {"state", state.draining ? "leaving" : "active"},
                       {"boot_ms", state.booted}});
  }
  return {revision_, nlohmann::json{{"rev", revision_}, {"all", true}, {"targets", targets}}.dump()};
}

}  // namespace reedspindle::testservers
