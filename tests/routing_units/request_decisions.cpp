// Tests the router's decisions on a request: start an attempt, wait, reject or fail.
#include "routing/request_decisions.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "routing_units/builders.hpp"

namespace reedspindle::routing::tests {
namespace {

// A router with one request class, of writes, and at most two attempts per request.
class TestRouter {
 public:
  explicit TestRouter(const std::string& effect) {
    router_ = make_router({{"op_types", 1.0},
                           {"op_type.0.needs", std::string("write")},
                           {"op_type.0.effect", effect},
                           {"op_type.0.latency_target", 1000.0},
                           {"op_type.0.op_timeout", 1000.0},
                           {"op_type.0.token_memory", 10000.0},
                           {"allow.sends_per_op", 2.0}},
                          1);
  }

  // Plays the events and returns the last decision on a request: "start", "reject" or "fail", or "wait" if
  // there is none.
  std::string play(const std::vector<Event>& events, Millis now) {
    for (const Event& event : events) {
      router_->enqueue(event);
    }
    std::string last = "wait";
    for (const Decision& decision : router_->process(now)) {
      if (std::holds_alternative<StartAttempt>(decision)) {
        last = "start";
      } else if (std::holds_alternative<RejectRequest>(decision)) {
        last = "reject";
      } else if (std::holds_alternative<FailRequest>(decision)) {
        last = "fail";
      }
    }
    return last;
  }

 private:
  std::unique_ptr<Router> router_;
};

const RequestReceived kRequest = {
    .request = {1}, .request_class = {}, .group = {}, .session = "a", .remaining = 1000};

// Returns a list of one server, the primary.
EndpointListReceived list_with_primary() {
  ServerEntry entry;
  entry.id = {"primary"};
  entry.primary = true;
  return {EndpointListKind::complete, {entry}};
}

// Returns the decision that follows a first attempt with the given outcome, completed at the given time.
std::string decision_after_first_attempt(const std::string& effect, AttemptOutcome outcome, Millis at) {
  TestRouter router(effect);
  if (router.play({list_with_primary(), kRequest}, kNow) != "start") {
    return "not started";
  }
  return router.play({AttemptCompleted{{1}, {0}, {"primary"}, outcome, 10, false, {}}}, at);
}

}  // namespace

void request_decisions() {
  using std::string;
  TestRouter without_servers("retryable");
  expect("a request waits while no server can take it", without_servers.play({kRequest}, kNow),
         string("wait"));
  expect("a request still waits before half of its time is over", without_servers.play({}, kNow + 480),
         string("wait"));
  expect("a request without an attempt is rejected at half of its time", without_servers.play({}, kNow + 501),
         string("reject"));

  const AttemptOutcome failed = AttemptOutcome::failed;
  expect("a retryable request that failed is sent again",
         decision_after_first_attempt("retryable", failed, kNow + 10), string("start"));
  expect("a request that may have run and must not run twice fails",
         decision_after_first_attempt("once", failed, kNow + 10), string("fail"));
  expect("a request that has not run is sent again even if it must not run twice",
         decision_after_first_attempt("once", AttemptOutcome::not_sent, kNow + 10), string("start"));
  expect("a request with a token of its group that may have run fails when its time is over",
         decision_after_first_attempt("tokened", failed, kNow + 1001), string("fail"));
  expect("a retryable request is rejected when its time is over",
         decision_after_first_attempt("retryable", failed, kNow + 1001), string("reject"));
}

}  // namespace reedspindle::routing::tests
