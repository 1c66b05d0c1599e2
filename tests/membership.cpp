// Plays a case file to a fleet in virtual time and prints, for each span that is run, who came to stand how
// in whose eyes, the times counted from the span's beginning. Lines starting with two blanks hold what is
// expected and are skipped on reading.
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
  constexpr const char* words[] = {"stood still", "refuted", "contested", "yields", "claims"};
  return words[static_cast<int>(event)];
}

class Play {
 public:
  void line(const std::string& text) {
    std::istringstream words(text);
    std::string word;
    std::string rest;
    int front = 0;
    int other = 0;
    words >> word;
    if (word.empty() || word == "#") {
      return;
    }
    if (word == "fleet") {
      words >> front;
      Options options;
      for (std::string key; words >> key;) {
        key == "forget" ? void(words >> options.forget_after) : give_up(text);
      }
      fleet_ = std::make_unique<VirtualFleet>(front, options, 7);
      fleet_->on([this](Millis at, int by, const PeerChanged& change) { seen(at, by, change); },
                 [this](Millis, int by, const SelfReport& found) {
                   found_[{to_string(found.event), by}]++;
                 });
      fleet_->passes = [this](int from, int to) { return !cut_.contains({from, to}); };
      fleet_->extra_delay = [this](int from, int to) { return std::max(slow_[from], slow_[to]); };
    } else if (word == "start" || word == "kill" || word == "leave" || word == "stop" || word == "wake") {
      while (words >> rest) {
        for (const int each : fronts(rest)) {
          act(word, each);
        }
      }
    } else if (word == "cut" || word == "mend") {  // "cut 1>2" one way, "cut 0-2 3-5" both ways
      words >> word >> rest;
      const bool one_way = word.find('>') != std::string::npos;
      const std::size_t sign = word.find('>');
      const auto from = fronts(one_way ? word.substr(0, sign) : word);
      const auto to = fronts(one_way ? word.substr(sign + 1) : rest);
      for (const int a : from) {
        for (const int b : to) {
          cut_.insert({a, b}), one_way ? void() : void(cut_.insert({b, a}));
        }
      }
    } else if (word == "healed") {
      cut_.clear();
    } else if (word == "loss") {
      words >> fleet_->network.loss;
    } else if (word == "doubled") {
      words >> fleet_->network.doubled;
    } else if (word == "slow") {
      words >> front >> slow_[front];
    } else if (word == "clock") {
      Millis apart = 0;
      words >> front >> apart;
      fleet_->clock(front, apart);
    } else if (word == "name") {
      words >> front >> rest;
      fleet_->name(front, rest);
    } else if (word == "keep") {
      words >> front;
      kept_ = fleet_->last_heard(front);
    } else if (word == "replay") {  // what was kept, to a front as if from another
      words >> front >> other;
      fleet_->hear(front, other, kept_);
    } else if (word == "garbage") {
      words >> front >> other >> rest;
      for (int turn = 0; turn < std::stoi(rest); ++turn) {
        fleet_->hear(front, other,
                     kept_.substr(0, kept_.size() / 2) + std::string(1, static_cast<char>(turn)));
      }
    } else if (word == "dropped") {
      words >> front;
      const Dropped dropped = fleet_->view(front).dropped;
      std::cout << fmt::format("  unread {} strange {} flood {}\n", dropped.malformed,
                               dropped.unexpected_sender, dropped.rate_limited);
    } else if (word == "view") {
      words >> front;
      std::cout << (fleet_->view(front).peers.empty() ? "  nobody" : " ");
      for (const PeerView& peer : fleet_->view(front).peers) {
        std::cout << fmt::format(" {}@{}{}", peer.name, peer.slot.number,
                                 std::string(static_cast<std::size_t>(peer.state), '?'));
      }
      std::cout << '\n';
    } else if (word == "run") {
      Millis span = 0;
      words >> span;
      run(span);
    } else {
      give_up(text);
    }
  }

 private:
  struct Sight {
    Millis first = 0, last = 0;
    int by = 0;
    std::set<int> all;
  };

  [[noreturn]] static void give_up(const std::string& text) {
    throw std::runtime_error("no such line: " + text);
  }

  static std::vector<int> fronts(const std::string& text) {  // "3" or "0-4"
    const std::size_t dash = text.find('-');
    const int from = std::stoi(text);
    const int to = dash == std::string::npos ? from : std::stoi(text.substr(dash + 1));
    std::vector<int> all;
    for (int front = from; front <= to; ++front) {
      all.push_back(front);
    }
    return all;
  }

  void act(const std::string& word, int front) {
    if (word == "start") {
      fleet_->start(front);
    }
    if (word == "kill") {
      fleet_->kill(front);
    }
    if (word == "leave") {
      fleet_->leave(front);
    }
    if (word == "stop") {
      fleet_->stop(front);
    }
    if (word == "wake") {
      fleet_->wake(front);
    }
  }

  void seen(Millis at, int by, const PeerChanged& change) {
    const std::pair key(fmt::format("{} {}", change.name, to_string(change.event)), change.slot.number);
    const auto [sight, first] = sights_.try_emplace(key, Sight{at, at, by, {}});
    if (first) {
      order_.push_back(key);
    }
    sight->second.last = at, sight->second.all.insert(by);
  }

  // Times to the tenth of a second: what chance makes of less is of no interest.
  void run(Millis span) {
    const Millis from = fleet_->now();
    fleet_->run(span);
    for (const auto& key : order_) {
      const Sight& sight = sights_.at(key);
      std::cout << fmt::format("  {} in the eyes of {}, at {:.1f} to {:.1f} s\n", key.first, sight.all.size(),
                               (sight.first - from) / 1000, (sight.last - from) / 1000);
    }
    for (const auto& [event, times] : found_) {
      std::cout << fmt::format("  n{} {}\n", event.second, event.first);
    }
    if (fleet_->agreed()) {
      std::cout << "  all agree\n";
    }
    sights_.clear(), order_.clear(), found_.clear();
  }

  std::unique_ptr<VirtualFleet> fleet_;
  std::set<std::pair<int, int>> cut_;
  std::map<int, Millis> slow_;
  std::string kept_;
  std::map<std::pair<std::string, int>, Sight> sights_;
  std::vector<std::pair<std::string, int>> order_;
  std::map<std::pair<std::string, int>, int> found_;
};

}  // namespace

int main(int /*unused*/, char** words) {
  std::ifstream file(words[1]);
  Play play;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("  ")) {
      continue;
    }
    std::cout << line << '\n';
    play.line(line);
  }
}
