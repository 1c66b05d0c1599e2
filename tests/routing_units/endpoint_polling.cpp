// Tests when discovery is polled, by the settings list and rule.ask_within.
#include "routing/endpoint_polling.hpp"

#include "routing_units/builders.hpp"

namespace reedspindle::routing::tests {

void endpoint_polling() {
  Components pushed({{"list", std::string("push")}});
  expect("discovery that pushes its lists is not polled", EndpointPolling(pushed.context).take_due(), false);

  Components single({{"list", std::string("ask")}});
  EndpointPolling polling(single.context);
  expect("a single instance polls at once", polling.take_due(), true);
  expect("it does not poll again before the call has failed", polling.next_at(), kForever);
  polling.handle_failure();
  expect("it polls again 200 ms after a failed call", polling.next_at(), kNow + 200);

  Components many({{"list", std::string("ask")}, {"instances", 1000.0}, {"rule.ask_within", 4000.0}});
  EndpointPolling spread_polling(many.context);
  bool all_in_range = true;
  for (int count = 0; count < 100; ++count) {
    spread_polling.handle_failure();
    all_in_range = all_in_range && spread_polling.next_at() >= kNow + 200 &&
                   spread_polling.next_at() <= kNow + 200 + 1000;
  }
  expect("polls of many instances are spread over at most a quarter of ask_within", all_in_range, true);
}

}  // namespace reedspindle::routing::tests
