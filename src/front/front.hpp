// The front: events from all parties go to the decision module, one settle a turn of the loop, and its
// decisions are carried out. It owns the ops.
#pragma once

#include <asio.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "discovery/client.hpp"
#include "front/arrival_bound.hpp"
#include "front/clients.hpp"
#include "front/orders.hpp"
#include "front/peers.hpp"
#include "front/tier.hpp"
#include "front/turn_gauge.hpp"
#include "links/clock.hpp"
#include "links/log.hpp"
#include "links/members.hpp"
#include "links/pgwire.hpp"
#include "links/placement.hpp"
#include "logic.hpp"

namespace reedspindle::front {

using namespace links;

class Front : private Clients::RequestOwner {
 public:
  // Throws Malformed where the placement is faulty.
  explicit Front(Environment environment, const Orders& orders = {});

  // Runs until it has been told to stop and nothing is open.
  void run();

 private:
  struct Op {
    std::shared_ptr<const std::string> text;
    std::string id;  // as the client names it
    pgwire::Place patience;
    int sends = 0;
    Millis arrived = 0;
  };
  // What happened, in order. An op's times are counted back from the clock of the settle that tells of it.
  struct Noted {
    Event event;
    Millis arrived = 0, position = 0;
  };

  std::optional<pgwire::Fault> request_arrived(OpId op, std::string_view text,
                                               const pgwire::Statement& statement) override;
  void request_abandoned(OpId op) override;
  void list_read(ServerList list);
  void send_ended(SendEnded ended, std::string row);
  void sleep();
  void run_callbacks();
  void note(Event event);
  void tell_turn();
  void settle();
  // Why: for the log. No answer: nobody waits for it.
  void end_op(OpId op, std::string answer, std::string_view why);
  void hear_signals();
  void read_again();

  void carry_out(const Send& decision);
  void carry_out(const CallOff& decision);
  void carry_out(const BusyReply& decision);
  void carry_out(const ErrorReply& decision);
  void carry_out(const Wake& decision);
  void carry_out(const Probe& decision);
  void carry_out(const WatchList& decision);
  void carry_out(const Forget& decision);
  void carry_out(const TellPeers& decision);
  void carry_out(const LogLine& decision);

  const Environment environment_;
  std::string saved_list_;  // of the placement, until it has been read
  const Placement placement_;
  const Clock clock_;
  TurnGauge turns_;
  ArrivalBound arrivals_{clock_.now()};
  Log log_;
  asio::io_context io_;
  Timers timers_;
  asio::signal_set signals_;
  std::unique_ptr<Router> router_;
  std::vector<Noted> noted_;
  bool settle_wanted_ = false;  // for what was noted; what peers say alone can wait for a while
  bool turn_is_full_ = false;   // a part of a list is enough work for one
  std::optional<Timers::Handle> gathered_;
  Millis settled_ = 0;
  std::map<OpId, Op> ops_;
  std::set<std::string, std::less<>> ids_;  // of the open ops
  std::set<GroupId> groups_;                // that discovery has named
  Allowance texts_;                         // of the open ops
  Members members_;
  Clients clients_;
  discovery::Client list_;
  Peers peers_;
  std::optional<Tier> tier_;  // none: nothing of the fleet is on
};

}  // namespace reedspindle::front
