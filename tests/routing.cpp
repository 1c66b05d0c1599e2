// Reads a trace, plays its events to a Router and prints each line of the trace, followed by the decisions
// that it leads to. A trace contains the decisions that are expected, in lines that start with two spaces.
// They are skipped on reading, and the output is compared with the trace itself. Lines that start with '#'
// are comments and are printed as they are. Times are in milliseconds.
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "routing/router.hpp"

namespace {
using namespace reedspindle;

Settings default_settings() {
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
  const char* classes[][3] = {{"write", "tokened", "0"},       {"session", "retryable", "0"},
                              {"bounded", "retryable", "300"}, {"current", "retryable", "0"},
                              {"any", "retryable", "0"},       {"write", "non-retryable", "0"}};
  for (int i = 0; i < 6; ++i) {
    const std::string prefix = "op_type." + std::to_string(i) + ".";
    values[prefix + "needs"] = classes[i][0];
    values[prefix + "effect"] = classes[i][1];
    values[prefix + "bound"] = std::stod(classes[i][2]);
    values[prefix + "latency_target"] = i == 4 ? 5000.0 : 400.0;
    values[prefix + "token_memory"] = 1000.0;
  }
  values["op_types"] = 6.0;
  return values;
}

struct Printer {
  void operator()(const StartAttempt& d) const {
    std::cout << "  send request " << d.request.number << " to " << d.server.address;
    if (d.start_within) {
      std::cout << ", start within " << *d.start_within;
    }
    std::cout << '\n';
  }
  void operator()(const CancelAttempt& d) const {
    std::cout << "  cancel attempt " << d.request.number << '/' << d.attempt.number << '\n';
  }
  void operator()(const RejectRequest& d) const {
    std::cout << "  reject request " << d.request.number << (d.retry_after > 0 ? ", retry later" : "")
              << '\n';
  }
  void operator()(const FailRequest& d) const { std::cout << "  fail request " << d.request.number << '\n'; }
  void operator()(const SetTimer& /*unused*/) const {}
  void operator()(const StartProbe& d) const { std::cout << "  probe " << d.server.address << '\n'; }
  void operator()(const ForgetServer& d) const { std::cout << "  forget " << d.server.address << '\n'; }
  void operator()(const WatchEndpoints& /*unused*/) const { std::cout << "  watch endpoints\n"; }
  void operator()(const BroadcastToPeers& d) const { std::cout << "  broadcast " << d.text << '\n'; }
  void operator()(const LogMessage& d) const { std::cout << "  log " << d.text << '\n'; }
};

// Prints the state of each server as of the last process(), for the line "view".
void print_views(const std::vector<ServerView>& views) {
  const char* const states[] = {"", " draining", " gone", " down", " backing-off"};
  for (const ServerView& view : views) {
    std::cout << "  " << view.entry.id.address << (view.primary ? " primary" : "")
              << states[static_cast<int>(view.unavailability)];
    if (view.slow_start_fraction < 1) {
      std::cout << " slow-start " << view.slow_start_fraction;
    }
    if (view.position >= 0) {
      std::cout << " position " << view.position << " sampled " << view.sampled_at;
    }
    for (const FreshnessWindow& window : view.fresh) {
      std::cout << ", bound " << window.bound << " fresh until " << window.until;
    }
    std::cout << '\n';
  }
}

Role parse_role(const std::string& word) {
  return word == "primary" ? Role::primary : word == "replica" ? Role::replica : Role::unknown;
}

AttemptOutcome parse_outcome(const std::string& word) {
  const char* outcomes[] = {"acknowledged", "failed",         "rejected-overloaded",
                            "timed-out",    "connect-failed", "reset",
                            "cancelled",    "not-sent",       "rejected-not-executed"};
  for (int i = 0; i < 9; ++i) {
    if (word == outcomes[i]) {
      return static_cast<AttemptOutcome>(i);
    }
  }
  throw std::runtime_error("unknown attempt outcome " + word);
}

// Prints whether an attempt may be sent, for the line "may-send 1/0 at 10100".
void print_may_send(const Router& router, std::istream& line) {
  RequestId request;
  AttemptNumber attempt;
  char slash;
  std::string text;
  Millis at = 0;
  line >> request.number >> slash >> attempt.number >> text >> at;
  std::cout << (router.may_send(request, attempt, at) ? "  yes\n" : "  no\n");
}

// Reads an event from the rest of its line. One example of each kind:
//   endpoints complete a:ready b:draining:9000 (address, state, start time)
//   request 1 class 2 remaining 400 token-age 50
//   attempt-completed 1/0 a acknowledged replica 9900 latency 40 (1/0: attempt 0 of request 1; role and
//     position are those of the answer's sample; without one the role is "none" or "unknown", and the
//     position absent or -1)
//   probe-answered b replica 9950 utilization 0.5
//   probe-failed b
//   request-abandoned 1
//   peer-message TEXT
//   fleet-view 1,2 share 0.6 no-primary-only no-reads (live peers or "none", the share of the fleet that
//     takes part in common work, and what this instance may not send)
//   timer-expired
Event parse_event(std::istream& line, const std::string& word) {
  std::string text;
  std::string rest;
  char slash;
  if (word == "endpoints") {
    EndpointListReceived list;
    line >> text;
    list.kind = text == "complete"  ? EndpointListKind::complete
                : text == "changes" ? EndpointListKind::changes
                : text == "saved"   ? EndpointListKind::saved
                                    : EndpointListKind::failed;
    while (line >> text) {
      std::istringstream parts(text);
      ServerEntry server;
      std::getline(parts, server.id.address, ':');
      std::getline(parts, rest, ':');
      server.state = rest == "ready"      ? ServerState::ready
                     : rest == "draining" ? ServerState::draining
                                          : ServerState::gone;
      parts >> server.started_at;
      list.servers.push_back(server);
    }
    return list;
  }
  if (word == "request") {
    RequestReceived received;
    line >> received.request.number >> text >> received.request_class.number >> text >> received.remaining >>
        text >> received.token_age;
    return received;
  }
  if (word == "attempt-completed") {
    AttemptCompleted completed;
    line >> completed.request.number >> slash >> completed.attempt.number >> completed.server.address >>
        text >> rest;
    completed.outcome = parse_outcome(text);
    completed.request_completed = completed.outcome == AttemptOutcome::acknowledged;
    completed.sample.role = parse_role(rest);
    if (!(line >> completed.sample.position)) {
      completed.sample.position = -1;
    }
    if (!(line >> text >> completed.latency)) {
      completed.latency = 40;
    }
    return completed;
  }
  if (word == "probe-answered") {
    ProbeCompleted completed;
    line >> completed.server.address >> text >> completed.report.position;
    if (!(line >> rest >> completed.report.utilization)) {
      completed.report.utilization = -1;
    }
    completed.answered = true;
    completed.report.role = parse_role(text);
    return completed;
  }
  if (word == "probe-failed") {
    ProbeCompleted completed;
    line >> completed.server.address;
    return completed;
  }
  if (word == "request-abandoned") {
    RequestAbandoned abandoned;
    line >> abandoned.request.number;
    return abandoned;
  }
  if (word == "peer-message") {
    PeerMessageReceived message;
    line >> message.text;
    return message;
  }
  if (word == "fleet-view") {
    FleetViewChanged view;
    line >> text >> rest >> view.live_fraction;
    std::istringstream peers(text);
    for (std::string peer; std::getline(peers, peer, ',');) {
      if (peer != "none") {
        view.alive_peers.insert(std::stoi(peer));
      }
    }
    while (line >> text) {
      (text == "no-primary-only" ? view.primary_only_allowed : view.reads_allowed) = false;
    }
    return view;
  }
  if (word == "timer-expired") {
    return TimerExpired{};
  }
  throw std::runtime_error("unknown event " + word);
}
}  // namespace

int main(int /*unused*/, char** argv) {
  std::ifstream file(argv[1]);
  Settings values = default_settings();
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
    if (word == "setting") {  // replaces a default: "setting checks turns_away"
      line >> name >> word;
      if (word.find_first_not_of("0123456789.") == std::string::npos) {
        values[name] = std::stod(word);
      } else {
        values[name] = word;
      }
      continue;
    }
    if (word == "view") {
      print_views(router->view());
      continue;
    }
    if (word == "may-send") {
      print_may_send(*router, line);
      continue;
    }
    if (!router) {
      router = reedspindle::make_router(values, 7);
    }
    if (word == "process") {  // "process 10000" processes, at that time, the events of the lines before it
      double now = 0;
      line >> now;
      for (const auto& decision : router->process(now)) {
        std::visit(Printer{}, decision);
      }
    } else {
      router->enqueue(parse_event(line, word));
    }
  }
}
