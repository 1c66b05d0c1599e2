// Reads a case file, plays its event lines to a Router and prints each line with the decisions taken after
// it. A case file holds its own expected decisions (lines starting with "  "), which are skipped on reading:
// the output is compared with the file itself. Lines starting with '#' are echoed. Times are in ms.
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "routing/router.hpp"

namespace {
using namespace reedspindle;

Settings usual() {
  Settings values{{"instances", 1.0},
                  {"tick", 5.0},
                  {"op_types", 0.0},
                  {"list", "push"},
                  {"checks", "none"},
                  {"allow.call_off", 1.0},
                  {"allow.probes", 1.0},
                  {"allow.come_back", 1.0},
                  {"allow.longest_come_back", 1000.0},
                  {"allow.sends_per_op", 4.0},
                  {"rule.cold_from", 0.2},
                  {"rule.warm_within", 10000.0},
                  {"rule.fall_multiple", 2.0},
                  {"rule.fall", 1000.0}};
  const char* types[][3] = {{"write", "tokened", "0"},       {"session", "retryable", "0"},
                            {"bounded", "retryable", "300"}, {"current", "retryable", "0"},
                            {"any", "retryable", "0"},       {"write", "non-retryable", "0"}};
  for (int i = 0; i < 6; ++i) {
    const std::string at = "op_type." + std::to_string(i) + ".";
    values[at + "needs"] = types[i][0];
    values[at + "effect"] = types[i][1];
    values[at + "bound"] = std::stod(types[i][2]);
    values[at + "latency_target"] = i == 4 ? 5000.0 : 400.0;
    values[at + "token_memory"] = 1000.0;
  }
  values["op_types"] = 6.0;
  return values;
}

struct Printer {
  void operator()(const StartAttempt& d) const {
    std::cout << "  send " << d.request.number << " to " << d.server.address;
    if (d.start_within) {
      std::cout << ", begun within " << *d.start_within;
    }
    std::cout << '\n';
  }
  void operator()(const CancelAttempt& d) const {
    std::cout << "  call off " << d.request.number << '/' << d.attempt.number << '\n';
  }
  void operator()(const RejectRequest& d) const {
    std::cout << "  busy-reply " << d.request.number << (d.retry_after > 0 ? ", come back later" : "")
              << '\n';
  }
  void operator()(const FailRequest& d) const { std::cout << "  error reply " << d.request.number << '\n'; }
  void operator()(const SetTimer& /*unused*/) const {}
  void operator()(const StartProbe& d) const { std::cout << "  probe " << d.server.address << '\n'; }
  void operator()(const ForgetServer& d) const { std::cout << "  forget " << d.server.address << '\n'; }
  void operator()(const WatchEndpoints& /*unused*/) const { std::cout << "  watch the list\n"; }
  void operator()(const BroadcastToPeers& d) const { std::cout << "  tell " << d.text << '\n'; }
  void operator()(const LogMessage& d) const { std::cout << "  log " << d.text << '\n'; }
};

// What the module holds true as of the last settle: "view" prints it.
void print(const std::vector<ServerView>& views) {
  const char* const words[] = {"", " drains", " gone", " down", " resting"};
  for (const ServerView& view : views) {
    std::cout << "  " << view.entry.id.address << (view.primary ? " primary" : "")
              << words[static_cast<int>(view.unavailability)];
    if (view.slow_start_fraction < 1) {
      std::cout << " warm " << view.slow_start_fraction;
    }
    if (view.position >= 0) {
      std::cout << " at " << view.position << " seen " << view.sampled_at;
    }
    for (const FreshnessWindow& fresh : view.fresh) {
      std::cout << ", for " << fresh.bound << " until " << fresh.until;
    }
    std::cout << '\n';
  }
}

Role role_of(const std::string& word) {
  return word == "primary" ? Role::primary : word == "replica" ? Role::replica : Role::unknown;
}

AttemptOutcome ending_of(const std::string& word) {
  const char* words[] = {"acked", "errored",    "full",       "timed-out", "unconnected",
                         "reset", "called-off", "never-sent", "untouched"};
  for (int i = 0; i < 9; ++i) {
    if (word == words[i]) {
      return static_cast<AttemptOutcome>(i);
    }
  }
  throw std::runtime_error("unknown ending " + word);
}

// "list complete a:ready b:draining:9000" (address, state, up since), "op 1 type 2 patience 400 token 50",
// "ended 1/0 a acked replica 9900 took 40", "probed b replica 9950 busy 0.5", "unprobed b", "gone 1", "among
// 1,2 of 0.6 no-writes no-reads", "wake".
Event event_of(std::istream& line, const std::string& word) {
  std::string text;
  std::string rest;
  char slash;
  if (word == "list") {
    EndpointListReceived read;
    line >> text;
    read.kind = text == "complete"  ? EndpointListKind::complete
                : text == "changes" ? EndpointListKind::changes
                : text == "saved"   ? EndpointListKind::saved
                                    : EndpointListKind::failed;
    while (line >> text) {
      std::istringstream parts(text);
      ServerEntry member;
      std::getline(parts, member.id.address, ':');
      std::getline(parts, rest, ':');
      member.state = rest == "ready"      ? ServerState::ready
                     : rest == "draining" ? ServerState::draining
                                          : ServerState::gone;
      parts >> member.started_at;
      read.servers.push_back(member);
    }
    return read;
  }
  if (word == "op") {
    RequestReceived op;
    line >> op.request.number >> text >> op.request_class.number >> text >> op.remaining >> text >>
        op.token_age;
    return op;
  }
  if (word == "ended") {
    AttemptCompleted ended;
    line >> ended.request.number >> slash >> ended.attempt.number >> ended.server.address >> text >> rest;
    ended.outcome = ending_of(text);
    ended.request_completed = ended.outcome == AttemptOutcome::acknowledged;
    ended.sample.role = role_of(rest);
    if (!(line >> ended.sample.position)) {
      ended.sample.position = -1;
    }
    if (!(line >> text >> ended.latency)) {
      ended.latency = 40;
    }
    return ended;
  }
  if (word == "probed") {
    ProbeCompleted ended;
    line >> ended.server.address >> text >> ended.sample.position;
    if (!(line >> rest >> ended.sample.utilization)) {
      ended.sample.utilization = -1;
    }
    ended.answered = true;
    ended.sample.role = role_of(text);
    return ended;
  }
  if (word == "unprobed") {
    ProbeCompleted ended;
    line >> ended.server.address;
    return ended;
  }
  if (word == "gone") {
    RequestAbandoned gone;
    line >> gone.request.number;
    return gone;
  }
  if (word == "told") {
    PeerMessageReceived spoke;
    line >> spoke.text;
    return spoke;
  }
  if (word == "among") {
    FleetViewChanged among;
    line >> text >> rest >> among.live_fraction;
    std::istringstream peers(text);
    for (std::string peer; std::getline(peers, peer, ',');) {
      if (peer != "none") {
        among.alive_peers.insert(std::stoi(peer));
      }
    }
    while (line >> text) {
      (text == "no-writes" ? among.primary_only_allowed : among.reads_allowed) = false;
    }
    return among;
  }
  if (word == "wake") {
    return TimerExpired{};
  }
  throw std::runtime_error("unknown event " + word);
}
}  // namespace

int main(int /*unused*/, char** argv) {
  std::ifstream file(argv[1]);
  Settings values = usual();
  std::unique_ptr<reedspindle::Router> router;
  for (std::string text; std::getline(file, text);) {
    if (text.starts_with("  ")) {
      continue;
    }
    std::cout << text << '\n';
    std::istringstream line(text);
    std::string word;
    std::string name;
    line >> word;
    if (word.empty() || word == "#") {
      continue;
    }
    if (word == "given") {  // a value that differs from the usual: "given checks turns_away"
      line >> name >> word;
      if (word.find_first_not_of("0123456789.") == std::string::npos) {
        values[name] = std::stod(word);
      } else {
        values[name] = word;
      }
      continue;
    }
    if (word == "view") {
      print(router->view());
      continue;
    }
    if (!router) {
      router = reedspindle::make_router(values, 7);
    }
    if (word == "at") {  // "at 10000" settles what came before; events may follow on later lines
      double now = 0;
      line >> now;
      for (const auto& decision : router->process(now)) {
        std::visit(Printer{}, decision);
      }
    } else {
      router->enqueue(event_of(line, word));
    }
  }
}
