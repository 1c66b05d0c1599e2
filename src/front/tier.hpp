// The membership and the shares on the peers' socket: their datagrams, timers, words in the log, and the
// status file.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "front/orders.hpp"
#include "front/peers.hpp"
#include "links/clock.hpp"
#include "links/log.hpp"
#include "links/members.hpp"
#include "shares/use.hpp"

namespace reedspindle::front {

class Tier {
 public:
  // Throws Malformed.
  Tier(Timers& timers, const Clock& clock, Log& log, const Placement& placement, const Fleet& fleet,
       Peers& peers, Members& members);

  void listed(int places);
  // Before anything is sent: what this front was given may have ended while it stood still.
  void look();
  // Told to the fellows at once; the front may take a while to end.
  void leave();
  void stop();

 private:
  void settle(std::optional<membership::Event> event);
  void carry_out(const membership::Tell& decision);
  void carry_out(const membership::WakeAt& decision);
  void carry_out(const membership::Change& decision);
  void carry_out(const membership::Found& decision);
  void share(std::optional<shares::Event> event);
  void carry_out(const shares::Tell& decision);
  void carry_out(const shares::WakeAt& decision);
  void carry_out(const shares::Found& decision);
  void carry_out(const shares::Changed& decision);
  void tell_need();
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
  std::unique_ptr<membership::Membership> membership_;
  std::optional<shares::Charge> sharing_;  // none: each store may be used as it comes
  const int connections_;
  std::unique_ptr<shares::Shares> shares_;
  std::optional<shares::Use> use_;
  shares::Connections limit_;
  std::optional<Timers::Handle> wake_, write_, shares_wake_, need_;
  Millis written_ = 0;
  bool changed_ = false;  // since the last settle, what the status file says
};

}  // namespace reedspindle::front
