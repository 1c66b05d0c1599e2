// Tests which instance probes a group on behalf of all (docs/design.md, "Many instances").
#include "routing/probe_leadership.hpp"

#include "routing_units/builders.hpp"

namespace reedspindle::routing::tests {

void probe_leadership() {
  Components components({{"instances", 3.0}, {"allow.peers", 1.0}, {"rank", 1.0}});
  ProbeLeadership& leadership = components.leadership;
  components.context.now = kNow + 449;
  expect("peers count as heard for the first 450 ms", leadership.hears_peers(), true);
  components.context.now = kNow + 450;
  expect("peers count as silent after 450 ms without a message", leadership.hears_peers(), false);
  Group group;
  group.leads_probing = true;
  leadership.update(group);
  expect("an instance that hears no peer gives up the lead", group.leads_probing, false);
  leadership.record_peer_message();
  expect("a message makes peers count as heard again", leadership.heard_again_at(), kNow + 450);
  expect("without a fleet view the instance with the lower rank keeps the lead",
         leadership.precedes(group, 2), true);
  expect("without a fleet view the instance with the higher rank gives up the lead",
         leadership.precedes(group, 0), false);
}

}  // namespace reedspindle::routing::tests
