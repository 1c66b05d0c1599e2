// The membership, the shares and the accord on the peers' socket: their datagrams, timers, words in the log,
// and the status file.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "accord/account.hpp"
#include "front/orders.hpp"
#include "front/peers.hpp"
#include "links/clock.hpp"
#include "links/log.hpp"
#include "links/members.hpp"
#include "links/server_list.hpp"
#include "shares/use.hpp"

namespace reedspindle::front {

class Tier {
 public:
  using Among = std::function<void(AmongPeers)>;
  using Listed = std::function<void(ListRead)>;
  using Steered = std::function<std::vector<MemberView>()>;  // what the decision module holds true

  // Throws Malformed.
  Tier(Timers& timers, const Clock& clock, Log& log, const Placement& placement, const Fleet& fleet,
       Peers& peers, Members& members, Among among, Listed listed, Steered steered);

  void listed(int places);
  // Discovery's list, as it came.
  void list_read(const ServerList& list);
  // Before anything is sent: what this front was given may have ended while it stood still.
  void look();
  // Told to the fellows at once; the front may take a while to end.
  void leave();
  void stop();

 private:
  // One that decides, with its timer.
  template <typename Core>
  struct Driven {
    std::unique_ptr<Core> core;  // none: it is off
    std::optional<Timers::Handle> wake;
  };
  template <typename Core>
  void turn(Driven<Core>& driven);
  void settle(std::optional<membership::Event> event);
  void carry_out(const membership::Change& decision);
  void carry_out(const membership::Found& decision);
  void share(std::optional<shares::Event> event);
  void carry_out(const shares::Found& decision);
  void carry_out(const shares::Changed& decision);
  void compare(accord::Event event);
  void carry_out(const accord::Found& decision);
  void carry_out(const accord::Allowed& decision);
  void carry_out(const accord::Doubted& decision);
  std::set<membership::Place> there() const;
  void tell_need();
  void tell_acts();
  void tell_fellows();
  void tell_who_counts();
  void tell_module();
  void write_later();
  void write_status();
  std::string status() const;

  Timers& timers_;
  const Clock& clock_;
  Log& log_;
  Peers& peers_;
  Members& members_;
  const std::string path_;
  const membership::Charge charge_;
  Driven<membership::Membership> membership_;
  std::optional<shares::Charge> sharing_;  // none: each store may be used as it comes
  const int connections_;
  Driven<shares::Shares> shares_;
  std::optional<shares::Use> use_;
  shares::Part part_;
  shares::Connections limit_;
  Driven<accord::Accord> accord_;
  const Millis acts_pace_;
  const Among among_;
  const Listed listed_;
  const Steered steered_;
  accord::ListHeld list_;
  std::vector<ListedMember> parts_;  // of the list that is being read
  std::set<std::uint32_t> doubted_;  // marks of members
  int places_;
  AmongPeers told_;  // the module
  std::optional<Timers::Handle> write_, need_, acts_;
  Millis written_ = 0;
  bool changed_ = false;  // the membership's view, within a turn
};

}  // namespace reedspindle::front
