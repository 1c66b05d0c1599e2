// The membership on the peers' socket: its datagrams, its timer, its words in the log, and the status file.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "front/orders.hpp"
#include "front/peers.hpp"
#include "links/clock.hpp"
#include "links/log.hpp"

namespace reedspindle::front {

class Tier {
 public:
  // Throws Malformed.
  Tier(Timers& timers, const Clock& clock, Log& log, const Placement& placement, const Fleet& fleet,
       Peers& peers);

  void listed(int places);
  // Told to the fellows at once; the front may take a while to end.
  void leave();
  void stop();

 private:
  void settle(std::optional<membership::Event> event);
  void carry_out(const membership::Tell& decision);
  void carry_out(const membership::WakeAt& decision);
  void carry_out(const membership::Change& decision);
  void carry_out(const membership::Found& decision);
  void write_status();
  std::string status() const;

  Timers& timers_;
  const Clock& clock_;
  Log& log_;
  Peers& peers_;
  const std::string path_;
  const membership::Charge charge_;
  std::unique_ptr<membership::Membership> membership_;
  std::optional<Timers::Handle> wake_, write_;
  Millis written_ = 0;
  bool changed_ = false;  // since the last settle, what the status file says
};

}  // namespace reedspindle::front
