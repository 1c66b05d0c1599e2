// Tests when a replica is fresh enough for a read (docs/design.md, "The ordinary path"), and which lag is
// allowed.
#include "routing/eligibility.hpp"

#include "routing_units/builders.hpp"

namespace reedspindle::routing::tests {
namespace {

bool fresh_for(Consistency consistency, Millis lag, Millis bound = 0) {
  return is_fresh(server_with_sample(kNow - lag, kNow), request_class(consistency, bound), kNever, kNow);
}

bool fresh_at_age(Millis age) {
  return is_fresh(server_with_sample(kNow - age, kNow - age), request_class(Consistency::any), kNever, kNow);
}

bool fresh_for_token(Millis token) {
  return is_fresh(server_with_sample(kNow - 100, kNow), request_class(Consistency::session), token, kNow);
}

}  // namespace

void eligibility() {
  expect("a replica without a sample is not fresh",
         is_fresh(Server(), request_class(Consistency::any), kNever, kNow), false);
  expect("a replica with a sample that is 999 ms old is fresh", fresh_at_age(999), true);
  expect("a replica with a sample that is 1001 ms old is not fresh", fresh_at_age(1001), false);

  expect("a lag 2 ms below the default bound is fresh enough",
         fresh_for(Consistency::any, kDefaultStalenessBound - 2), true);
  expect("a lag equal to the default bound is too large", fresh_for(Consistency::any, kDefaultStalenessBound),
         false);
  expect("a lag 0.5 ms below the default bound is too large",
         fresh_for(Consistency::any, kDefaultStalenessBound - 0.5), false);
  expect("a bounded read accepts a lag below its bound", fresh_for(Consistency::bounded, 298, 300), true);
  expect("a bounded read does not accept a lag equal to its bound", fresh_for(Consistency::bounded, 300, 300),
         false);
  expect("the bound of a class applies to bounded reads only", fresh_for(Consistency::session, 300, 200),
         true);

  expect("a position equal to the session's token is fresh enough", fresh_for_token(kNow - 100), true);
  expect("a position 1 ms before the token is not fresh enough", fresh_for_token(kNow - 99), false);

  expect("a sample proves freshness for a second at most", fresh_until(server_with_sample(kNow, kNow), 5000),
         kNow + kMaxSampleAge);
  expect("a position proves freshness until 1 ms before its lag reaches the bound",
         fresh_until(server_with_sample(kNow - 100, kNow), 300), kNow + 199);

  expect("a read from any replica allows any lag", allowed_lag(request_class(Consistency::any), kNever, kNow),
         kForever);
  expect("a bounded read allows its bound as lag",
         allowed_lag(request_class(Consistency::bounded, 300), kNever, kNow), 300);
  expect("a session read allows the lag back to its token",
         allowed_lag(request_class(Consistency::session), kNow - 70, kNow), 70);

  Server server;
  expect("without samples the smallest lag is 0", smallest_sampled_lag(server), 0);
  server.samples = {{kNow - 90, kNow - 30}, {kNow - 40, kNow - 20}, {kNow - 60, kNow}};
  expect("the smallest lag of all samples is taken", smallest_sampled_lag(server), 20);
}

}  // namespace reedspindle::routing::tests
