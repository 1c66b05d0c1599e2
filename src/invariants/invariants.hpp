// Checks five invariants of request handling against recorded events: which requests the proxy instances
// received and answered, what they sent to servers, what the servers did with it, and what discovery had
// delivered to the instances. Performs no I/O: events go in, violations come out. The relays and the
// simulated clients, servers and discovery of the fault test record the events, in any order between two
// calls of check().
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "routing/router.hpp"

namespace reedspindle::invariants {

struct InstanceIndex {
  int number = -1;
  auto operator<=>(const InstanceIndex&) const = default;
};
struct ServerIndex {
  int number = -1;
  auto operator<=>(const ServerIndex&) const = default;
};

// The consistency that a request needs.
enum class Needs { any, bounded, session, write };
// Whether a request may be executed again: always, with the same token, or never.
enum class Effect { retryable, tokened, non_retryable };

// Limits of the rules, tolerances of the measurement, and the capacity of a server.
struct CheckerOptions {
  Millis slack = 250;  // on all time limits, since event loops, relays and a busy machine add delay
  Millis reorder_tolerance = 50;  // events that are closer together may have been recorded in reverse order
  Millis drain_grace = 500;
  std::optional<Millis> drain_slack;  // the slack of the rule on draining servers; unset: slack
  double slow_start_multiple = 2;  // a cold server is overloaded beyond this multiple of its current capacity
  Millis overload_window = 3000;   // over which requests to a cold server are counted
  double slow_start_minimum = 1;   // initial fraction of a server's capacity
  Millis slow_start_window = 15000;
  double capacity = 1000;  // of a warm server, in requests per second
};

// Events. All times are of the same clock.
struct RequestArrived {  // the last byte of the request has reached the instance
  std::string request;
  InstanceIndex instance;
  Needs needs = Needs::any;
  Effect effect = Effect::retryable;
  Millis at = 0, timeout = 0;
  Millis max_age = 0, required_position = 0;  // of data that is read; position that the read must see
};
struct RequestSent {  // the instance has sent the request to a server
  std::string request;
  InstanceIndex instance;
  ServerIndex server;
  Millis at = 0;
};
struct RequestProcessed {  // the server has executed the request
  std::string request;
  ServerIndex server;
  std::string token;    // of a write; empty: none
  bool effect = false;  // whether the server wrote something
  Millis sent = 0;      // when the request left the instance
  Millis position = 0;  // up to which the server had applied commits
};
enum class ResponseKind { acknowledged, busy, error };
struct ResponseSent {
  std::string request;
  ResponseKind kind = ResponseKind::acknowledged;
  Millis at = 0;           // when the last byte of the response left the instance
  bool own_result = true;  // whether a server produced the result for this request
};
struct ConnectionClosed {  // the instance has closed the client connection before a complete response
  std::string request;
  Millis at = 0;
};
struct ClientDisconnected {  // the client no longer waits for the response
  std::string request;
};
struct InstanceKilled {  // the process was killed; its open requests are not counted as violations
  InstanceIndex instance;
};
struct InstancePaused {
  InstanceIndex instance;
  Millis at = 0;
};
struct InstanceResumed {
  InstanceIndex instance;
  Millis at = 0;
};
struct ListingDelivered {  // the instance has received the state of a server from discovery
  InstanceIndex instance;
  ServerIndex server;
  bool accepts_requests = true;  // false: the server is draining or no longer listed
  Millis started_at = 0;         // of the server; 0: long ago
  Millis at = 0;
};
struct ServerStarted {
  ServerIndex server;
  Millis at = 0;
};
using Event = std::variant<RequestArrived, RequestSent, RequestProcessed, ResponseSent, ConnectionClosed,
                           ClientDisconnected, InstanceKilled, InstancePaused, InstanceResumed,
                           ListingDelivered, ServerStarted>;

enum class Rule {
  response_guarantee,
  duplicate_effect,
  send_while_draining,
  cold_server_overload,
  stale_read
};
const char* description_of(Rule rule);

struct Violation {
  Rule rule = Rule::response_guarantee;
  std::string request;  // empty: no single request
  InstanceIndex instance;
  ServerIndex server;
  Millis at = 0;
  std::string details;
};

class InvariantChecker {
 public:
  explicit InvariantChecker(const CheckerOptions& options) : options_(options) {}
  void record(Event event) { pending_events_.push_back(std::move(event)); }
  // Applies the recorded events and returns the violations found since the previous call.
  std::vector<Violation> check(Millis now);
  // The number of requests that have no final response yet.
  [[nodiscard]] std::size_t open() const { return open_requests_.size(); }

 private:
  struct RequestState {
    RequestArrived received;
    Millis deadline = 0;
    Millis ended_at = -1;  // below 0: still open
    int responses = 0, effects = 0;
    std::vector<RequestSent> sends;
  };
  struct Listing {
    bool accepts_requests = true;
    Millis since = 0, started_at = 0;  // since: when accepts_requests last changed
  };

  void apply(const RequestArrived& received);
  void apply(const RequestSent& sent);
  void apply(const RequestProcessed& processed);
  void apply(const ResponseSent& response);
  void apply(const ConnectionClosed& closed);
  void apply(const ClientDisconnected& disconnected);
  void apply(const InstanceKilled& killed);
  void apply(const InstancePaused& pause);
  void apply(const InstanceResumed& resumed);
  void apply(const ListingDelivered& delivered);
  void apply(const ServerStarted& started);

  void finish(RequestState& state, Millis at);
  void check_cold_server_load(ServerIndex server, Millis now);
  [[nodiscard]] double slow_start_fraction(Millis since, Millis at) const;
  void report(Rule rule, const std::string& request, InstanceIndex instance, ServerIndex server, Millis at,
              std::string details);

  const CheckerOptions options_;
  Millis now_ = 0;
  std::vector<Event> pending_events_;
  std::vector<Violation> violations_;
  std::map<std::string, RequestState> requests_;
  std::set<std::string> open_requests_;
  std::deque<std::pair<Millis, std::string>> ended_requests_;       // when it ended and its id; oldest first
  std::map<std::string, std::pair<int, Millis>> effects_by_token_;  // number of effects, time of the first
  std::deque<std::pair<Millis, std::string>> tokens_by_age_;        // oldest first
  std::map<InstanceIndex, std::map<ServerIndex, Listing>> listings_;
  std::map<InstanceIndex, Millis> paused_since_;
  std::map<ServerIndex, Millis> started_at_;
  // The time of each send, and whether its instance knew of the server's start.
  std::map<ServerIndex, std::deque<std::pair<Millis, bool>>> cold_sends_;
};

}  // namespace reedspindle::invariants
