// Tests the session tokens that an instance remembers, and their greatest number.
#include "routing/session_tokens.hpp"

#include "routing_units/builders.hpp"

namespace reedspindle::routing::tests {

void session_tokens() {
  const Components components({{"tokens", std::string("remembered")}});
  const RequestClass write = request_class(Consistency::write);
  SessionTokens tokens(components.context);
  tokens.record_acknowledged("a", request_class(Consistency::session), 500);
  expect("a read does not set a token", tokens.token_of("a"), kNever);
  tokens.record_acknowledged("a", write, 500);
  expect("the position of a write becomes the session's token", tokens.token_of("a"), 500);
  tokens.record_acknowledged("a", write, 400);
  expect("an earlier write that is acknowledged later does not lower the token", tokens.token_of("a"), 500);
  expect("a token applies to its own session only", tokens.token_of("b"), kNever);

  for (int number = 1; number < 10000; ++number) {
    tokens.record_acknowledged(std::to_string(number), write, 600);
  }
  expect("tokens of 10,000 sessions are kept", tokens.token_of("a"), 500);
  tokens.record_acknowledged("one more", write, 600);
  expect("with one session more a single token applies to all", tokens.token_of("b"), kNow);

  SessionTokens unstated(components.context);
  unstated.record_acknowledged("a", write, -1);
  expect("the time of the acknowledgement takes the place of a commit that is not stated, and 10 ms more",
         unstated.token_of("a"), kNow + 10);

  const Components carried({{"tokens", std::string("carried")}});
  SessionTokens without_memory(carried.context);
  without_memory.record_acknowledged("a", write, 500);
  expect("no token is remembered where clients carry tokens", without_memory.token_of("a"), kNever);
}

}  // namespace reedspindle::routing::tests
