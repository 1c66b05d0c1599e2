// Replays a trace file to a fleet in virtual time and prints, for each "run", the membership events, the
// number of instances that saw each and the times of the first and the last, relative to the start of the
// run. Lines that start with two spaces are the expected output and are skipped on reading.
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "faulttest/virtual_fleet.hpp"

namespace {
using namespace reedspindle::membership;
using reedspindle::Millis;
using reedspindle::faulttest::VirtualFleet;

const char* to_string(SelfEvent event) {
  constexpr const char* texts[] = {"was paused", "refuted", "name contested", "name yielded", "name claimed"};
  return texts[static_cast<int>(event)];
}

class TraceReplay {
 public:
  void line(const std::string& text) {
    std::istringstream input(text);
    std::string word;
    std::string argument;
    int instance = 0;
    int other = 0;
    input >> word;
    if (word.empty() || word == "#") {
      return;
    }
    if (word == "fleet") {
      input >> instance;
      Options options;
      for (std::string key; input >> key;) {
        key == "forget-after" ? void(input >> options.forget_after) : reject(text);
      }
      fleet_ = std::make_unique<VirtualFleet>(instance, options, 7);
      fleet_->set_listeners(
          [this](Millis at, int by, const PeerChanged& change) { on_peer_changed(at, by, change); },
          [this](Millis, int by, const SelfReport& report) {
            self_reports_[{to_string(report.event), by}]++;
          });
      fleet_->link_up = [this](int from, int to) { return !blocked_.contains({from, to}); };
      fleet_->extra_delay = [this](int from, int to) {
        return std::max(extra_delay_[from], extra_delay_[to]);
      };
    } else if (word == "start" || word == "kill" || word == "leave" || word == "pause" || word == "resume") {
      while (input >> argument) {
        for (const int each : instances(argument)) {
          act(word, each);
        }
      }
    } else if (word == "partition" || word == "block") {  // "partition 0-2 3-5", one way: "block 1>2"
      input >> word >> argument;
      const bool one_way = word.find('>') != std::string::npos;
      const std::size_t separator = word.find('>');
      const auto from = instances(one_way ? word.substr(0, separator) : word);
      const auto to = instances(one_way ? word.substr(separator + 1) : argument);
      for (const int a : from) {
        for (const int b : to) {
          blocked_.insert({a, b}), one_way ? void() : void(blocked_.insert({b, a}));
        }
      }
    } else if (word == "heal") {
      blocked_.clear();
    } else if (word == "loss") {
      input >> fleet_->network.loss;
    } else if (word == "duplication") {
      input >> fleet_->network.duplication;
    } else if (word == "delay") {
      input >> instance >> extra_delay_[instance];
    } else if (word == "clock-offset") {
      Millis offset = 0;
      input >> instance >> offset;
      fleet_->set_clock_offset(instance, offset);
    } else if (word == "name") {
      input >> instance >> argument;
      fleet_->set_name(instance, argument);
    } else if (word == "record") {
      input >> instance;
      recorded_ = fleet_->last_datagram(instance);
    } else if (word == "replay") {  // delivers the recorded datagram to an instance as if from another
      input >> instance >> other;
      fleet_->deliver(instance, other, recorded_);
    } else if (word == "garbage") {
      input >> instance >> other >> argument;
      for (int turn = 0; turn < std::stoi(argument); ++turn) {
        fleet_->deliver(instance, other,
                        recorded_.substr(0, recorded_.size() / 2) + std::string(1, static_cast<char>(turn)));
      }
    } else if (word == "dropped") {
      input >> instance;
      const Dropped dropped = fleet_->view(instance).dropped;
      std::cout << fmt::format("  malformed {} unexpected-sender {} rate-limited {}\n", dropped.malformed,
                               dropped.unexpected_sender, dropped.rate_limited);
    } else if (word == "view") {
      input >> instance;
      std::cout << (fleet_->view(instance).peers.empty() ? "  no peers" : " ");
      for (const PeerView& peer : fleet_->view(instance).peers) {
        std::cout << fmt::format(" {}@{}{}", peer.name, peer.slot.number,
                                 std::string(static_cast<std::size_t>(peer.state), '?'));
      }
      std::cout << '\n';
    } else if (word == "run") {
      Millis duration = 0;
      input >> duration;
      run(duration);
    } else {
      reject(text);
    }
  }

 private:
  struct Observation {
    Millis first = 0, last = 0;
    int by = 0;
    std::set<int> all;
  };

  [[noreturn]] static void reject(const std::string& text) {
    throw std::runtime_error("unknown statement: " + text);
  }

  static std::vector<int> instances(const std::string& text) {  // "3" or "0-4"
    const std::size_t dash = text.find('-');
    const int from = std::stoi(text);
    const int to = dash == std::string::npos ? from : std::stoi(text.substr(dash + 1));
    std::vector<int> all;
    for (int instance = from; instance <= to; ++instance) {
      all.push_back(instance);
    }
    return all;
  }

  void act(const std::string& word, int instance) {
    if (word == "start") {
      fleet_->start(instance);
    }
    if (word == "kill") {
      fleet_->kill(instance);
    }
    if (word == "leave") {
      fleet_->leave(instance);
    }
    if (word == "pause") {
      fleet_->pause(instance);
    }
    if (word == "resume") {
      fleet_->resume(instance);
    }
  }

  void on_peer_changed(Millis at, int by, const PeerChanged& change) {
    const std::pair key(fmt::format("{1}: {0}", change.name, to_string(change.event)), change.slot.number);
    const auto [observation, first] = observations_.try_emplace(key, Observation{at, at, by, {}});
    if (first) {
      order_.push_back(key);
    }
    observation->second.last = at, observation->second.all.insert(by);
  }

  // Prints times in tenths of a second; smaller differences are random.
  void run(Millis duration) {
    const Millis from = fleet_->now();
    fleet_->run(duration);
    for (const auto& key : order_) {
      const Observation& observation = observations_.at(key);
      std::cout << fmt::format("  {}, seen by {}, at {:.1f} to {:.1f} s\n", key.first, observation.all.size(),
                               (observation.first - from) / 1000, (observation.last - from) / 1000);
    }
    for (const auto& [event, times] : self_reports_) {
      std::cout << fmt::format("  n{}: {}\n", event.second, event.first);
    }
    if (fleet_->converged()) {
      std::cout << "  views agree\n";
    }
    observations_.clear(), order_.clear(), self_reports_.clear();
  }

  std::unique_ptr<VirtualFleet> fleet_;
  std::set<std::pair<int, int>> blocked_;
  std::map<int, Millis> extra_delay_;
  std::string recorded_;
  std::map<std::pair<std::string, int>, Observation> observations_;
  std::vector<std::pair<std::string, int>> order_;
  std::map<std::pair<std::string, int>, int> self_reports_;
};

}  // namespace

int main(int /*unused*/, char** argv) {
  std::ifstream file(argv[1]);
  TraceReplay replay;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("  ")) {
      continue;
    }
    std::cout << line << '\n';
    replay.line(line);
  }
}
