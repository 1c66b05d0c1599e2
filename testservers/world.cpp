#include "testservers/world.hpp"

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

World::World(int stores)
    : timers_(io_, clock_),
      stores_(io_, timers_, clock_,
              std::vector<asio::ip::tcp::endpoint>(static_cast<std::size_t>(stores), kAnyPort), {}, 1),
      discovery_(io_, timers_, clock_, kAnyPort, [this](long long) { return list(); }) {
  thread_ = std::thread([this] {
    const auto work = asio::make_work_guard(io_);
    io_.run();
  });
}

World::~World() {
  io_.stop();
  thread_.join();
}

void World::on_loop(const std::function<void()>& done) const {
  std::promise<void> over;
  asio::post(io_, [&] {
    done();
    over.set_value();
  });
  over.get_future().wait();
}

std::string World::discovery_address() const { return config::format_endpoint(discovery_.at()); }
std::string World::name_of(int store) const { return fmt::format("s-{:03}", store); }
std::string World::address_of(int store) const { return config::format_endpoint(stores_.at(store)); }
int World::store_at(const std::string& address) const {
  for (int store = 0; store < size(); ++store) {
    if (address_of(store) == address) {
      return store;
    }
  }
  return -1;
}

void World::apply(const std::function<void(std::vector<StoreState>&)>& by) {
  std::vector<StoreState> states;
  for (int store = 0; store < size(); ++store) {
    states.push_back(stores_.state(store));
  }
  by(states);
  for (int store = 0; store < size(); ++store) {
    stores_.state(store) = states[static_cast<std::size_t>(store)];
  }
}

double World::change(const std::function<void(std::vector<StoreState>&)>& by) {
  double at = 0;
  on_loop([&] {
    apply(by);
    ++revision_;
    discovery_.notify_watchers();
    at = now_ms();
  });
  return at;
}

void World::quietly(const std::function<void(std::vector<StoreState>&)>& by) {
  on_loop([&] { apply(by); });
}
void World::pass_http2(int store, int port) {
  on_loop([&] { stores_.forward_http2(store, port); });
}

void World::discovery(Manner manner) {
  on_loop([&] {
    manner_ = manner;
    discovery_.set_silent(manner == Manner::silent);
  });
}
void World::revision(long long to) {
  on_loop([&] { revision_ = to; });
}
std::vector<double> World::positions() const {
  std::vector<double> positions;
  on_loop([&] {
    for (int store = 0; store < size(); ++store) {
      positions.push_back(stores_.position(store));
    }
  });
  return positions;
}
StoreState World::state(int store) const {
  StoreState state;
  on_loop([&] { state = stores_.state(store); });
  return state;
}
long long World::probes() const {
  std::uint64_t probes = 0;
  on_loop([&] { probes = stores_.probes(); });
  return static_cast<long long>(probes);
}

faulttest::TestDiscovery::ListUpdate World::list() const {
  nlohmann::json targets = nlohmann::json::array();
  for (int store = 0; manner_ != Manner::empty_list && store < size(); ++store) {
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
