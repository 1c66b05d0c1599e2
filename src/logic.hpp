// The interface of the decision module: what happened goes in, what to do comes out.
// One Router is one instance. Note the events of a batch in order, then call settle once with the batch's
// clock. The simulator's adapter (src/simhost) calls it today; the front and a control service are to call
// the same.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace reedspindle {

using Millis = double;

struct MemberId {
  std::string address;
  auto operator<=>(const MemberId&) const = default;
};
struct OpId {
  std::uint64_t number = 0;
  auto operator<=>(const OpId&) const = default;
};
struct GroupId {
  int number = 0;
  auto operator<=>(const GroupId&) const = default;
};
struct OpTypeId {
  int number = 0;
  auto operator<=>(const OpTypeId&) const = default;
};
struct ZoneId {
  int number = 0;
  auto operator<=>(const ZoneId&) const = default;
};
struct TimerId {
  std::int64_t number = 0;
  auto operator<=>(const TimerId&) const = default;
};
struct SendNumber {
  int number = 0;
  auto operator<=>(const SendNumber&) const = default;
};

// What is handed over at start: names (docs/settings.md lists them) to numbers or words.
using Values = std::map<std::string, std::variant<double, std::string>>;

enum class MemberState { ready, draining, gone };
enum class ListKind { changes, complete, saved, failed };
enum class Ending {
  acked,
  errored,
  turned_away_full,
  timed_out,
  connect_failed,
  reset,
  called_off,
  never_sent,
  turned_away_untouched
};
enum class Role { unknown, primary, replica };

struct ListedMember {
  MemberId member;
  ZoneId zone;
  int kind = 0;
  GroupId group;
  MemberState state = MemberState::ready;
  double size = 1;
  Millis up_since = 0;  // 0: long ago
  bool primary = false;
  bool operator==(const ListedMember&) const = default;
};

// Positions are batch-clock times up to which a member has applied all commits; below 0: none given.
struct Sighting {
  Role role = Role::unknown;
  Millis position = -1;
  double busy = -1;  // share of its processors in use, below 0: none given
};

// Events.
struct ListRead {
  ListKind kind = ListKind::complete;
  std::vector<ListedMember> members;
};
struct OpArrived {
  OpId op;
  OpTypeId type;
  GroupId group;
  std::string session;
  Millis patience = 0;
  // Since the commit of the session's last write; 0: none. Below 0: the clock here is behind that commit's.
  Millis token_age = 0;
  bool repeat = false;  // the client says that it has asked before
};
struct SendEnded {
  OpId op;
  SendNumber send;
  MemberId member;
  Ending ending = Ending::acked;
  Millis took = 0;
  bool op_ended = false;
  Sighting seen;
};
struct ProbeEnded {
  MemberId member;
  bool answered = false;
  Millis took = 0;
  Sighting seen;
};
struct OpGone {
  OpId op;
};
struct TimerDue {
  TimerId timer;
};
struct PeerSpoke {
  int peer = 0;
  std::string text;
};
// What the fleet holds of this instance among the others. Where nobody tells it, `instances` and the words
// that are heard decide.
struct AmongPeers {
  std::set<int> there;  // the others that are there, by their numbers as peers
  double of_all = 1;    // what is for all is shared by this part of all instances: the others are known dead
  bool writes = true;   // false: cut off for too long to send what only a primary may answer
  bool reads = true;    // false: or anything else
  bool operator==(const AmongPeers&) const = default;
};
using Event =
    std::variant<ListRead, OpArrived, SendEnded, ProbeEnded, OpGone, TimerDue, PeerSpoke, AmongPeers>;

// Decisions.
struct Send {
  OpId op;
  MemberId member;
  Millis time_out = 0;
  // Not to be begun later than that, for as long as it takes to connect; none: up to time_out.
  std::optional<Millis> start_within = std::nullopt;
};
struct CallOff {
  OpId op;
  SendNumber send;
};
struct BusyReply {
  OpId op;
  Millis come_back = 0;  // 0: no word on when
};
struct ErrorReply {
  OpId op;
};
struct Wake {
  TimerId timer;
  Millis at = 0;
};
struct Probe {
  MemberId member;
  Millis time_out = 0;
};
struct WatchList {};
// The member is gone for good: no decision names it again unless a list does.
struct Forget {
  MemberId member;
};
struct TellPeers {
  std::string text;  // to every other instance
};
struct LogLine {
  std::string text;
};
using Decision =
    std::variant<Send, CallOff, BusyReply, ErrorReply, Wake, Probe, WatchList, Forget, TellPeers, LogLine>;

// What the module holds true of the members, for whoever hands its judgement on instead of sending by it.
enum class Hindrance { none, drains, gone, down, resting };
struct FreshFor {
  Millis bound = 0;  // of the age of data
  Millis until = 0;  // the member passes up to here, if nothing more is heard of it
};
struct MemberView {
  ListedMember entry;  // as the list said last
  bool primary = false;
  Hindrance hindrance = Hindrance::none;
  double warmth = 1;                   // the share of its capacity that it has at least
  Millis position = -1, sampled = -1;  // the last sample; below 0: none
  std::vector<FreshFor> fresh;  // for the bounds of the op types and for reads without one, smallest first
};

class Router {
 public:
  virtual ~Router() = default;
  virtual void note(const Event& event) = 0;
  virtual std::vector<Decision> settle(Millis now) = 0;
  // As of the last settle; changes nothing. Members in the order of their ids.
  virtual std::vector<MemberView> view() const = 0;
};

std::unique_ptr<Router> make_router(const Values& values, std::uint64_t seed);

}  // namespace reedspindle
