// The streams to proxies: what each has asked for, been sent and taken, and what it is to be sent next. Free
// of I/O and of the protocol's own words. The wanted state is the Offer; difference() alone turns what a
// stream lacks of it into responses. Times in ms.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "control/resource_snapshot.hpp"

namespace reedspindle::control {

struct StreamId {
  std::uint64_t number = 0;
  auto operator<=>(const StreamId&) const = default;
};

// State of the world, or changes alone.
enum class Form { whole, changes };

// A version as it is written in responses and read back from proxies: of which list, of which start of which
// service, and the how manieth change. Rises over restarts; told apart between services by their names.
struct Version {
  long long revision = 0;
  std::uint64_t epoch = 0, change = 0;
  std::string service;
};
std::string text_of(const Version& version);
std::optional<Version> version_in(const std::string& text);
std::string version_of(const Resource& resource, std::uint64_t epoch, const std::string& service);

// What a proxy said, read whole.
struct SubscriptionRequest {
  Kind kind = Kind::clusters;
  std::string nonce;                 // of the response it answers; empty: of none
  std::string version;               // whole: what it took last
  std::vector<std::string> names;    // whole: all that it asks for; changes: what it asks for from now on
  std::vector<std::string> no_more;  // changes
  std::map<std::string, std::string> holds;  // changes: versions it comes with
  std::optional<std::string> turned_down;    // the reason, where it did not take that response
};

struct Write {
  StreamId stream;
  Kind kind = Kind::clusters;
  std::string nonce, version;
  struct Item {
    Held resource;
    Millis time_to_live = -1;  // below 0: none
    bool body = true;          // false: only its time to live goes on
  };
  std::vector<Item> items;
  std::vector<std::string> removed;
  bool urgent = false;
};
struct End {
  StreamId stream;
  std::string why;
};
// Something operators want to know of.
struct Notice {
  StreamId stream;
  std::string event, detail;
};
using Act = std::variant<Write, End, Notice>;

class Subscriptions {
 public:
  struct Bounds {
    std::size_t streams = 2000, names = 4096, name_length = 256;
    Millis unread = 10000;  // that a response may wait for its proxy to read
    Millis behind = 30000;  // that a proxy with a newer list than ours is left with what it has
    Millis transit = 100;   // that a response may take
  };
  struct Counts {
    std::uint64_t responses = 0, urgent = 0, taken = 0, turned_down = 0, stale_nonces = 0, ended = 0;
  };

  Subscriptions(Bounds bounds, std::string service, std::uint64_t epoch);

  // False: there are too many.
  bool open(StreamId id, Form form, Abilities abilities, Millis now);
  void hear(StreamId id, SubscriptionRequest heard, Millis now);
  // The transport can take the next response of that stream.
  void written(StreamId id);
  void close(StreamId id);

  [[nodiscard]] std::set<Abilities> abilities() const;
  void offer(std::map<Abilities, std::shared_ptr<const ResourceSnapshot>> offers);
  std::vector<Act> settle(Millis now);
  // When something is due though nothing happens; below 0: nothing.
  [[nodiscard]] Millis due() const { return due_; }

  [[nodiscard]] std::size_t size() const { return streams_.size(); }
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  // What a proxy has of one resource.
  struct Has {
    Held sent, taken;
    std::uint64_t turned_down = 0;  // the version that it did not take
  };
  struct Response {
    std::string nonce;
    Millis at = 0;
    bool leased = false;
    std::map<std::string, Held> sent;
  };
  struct OfKind {
    bool asked = false, all = false;
    std::set<std::string> names;
    std::map<std::string, Has> has;
    std::set<std::string> told_missing;
    std::deque<Response> out;  // not yet answered
    std::string last_nonce;
    std::uint64_t whole = 0;  // the version of the kind that was sent last
    // The offer of which it lacks nothing but what an answer is owed for; 0: all has to be looked at.
    std::uint64_t clean_at = 0;
    Millis pause_until = 0, pause = 0;
  };
  struct Stream {
    Form form = Form::whole;
    Abilities abilities, can;  // can: what it said it can, abilities: what it is trusted with now
    std::array<OfKind, kKinds> kinds;
    bool writing = false, dirty = true;
    bool returns = false;  // it comes with what this service told it before
    Millis written_at = 0, opened = 0;
    long long must_reach = 0;  // a list that the proxy knows
    Millis distrusted_until = 0;
    std::uint64_t nonces = 0;
    std::size_t name_count = 0;
    Millis again = -1;  // when to look at it though nothing happens; below 0: no need
    std::optional<std::string> end;
  };

  OfKind& of(Stream& stream, Kind kind) { return stream.kinds[static_cast<std::size_t>(kind)]; }
  [[nodiscard]] const OfKind& of(const Stream& stream, Kind kind) const {
    return stream.kinds[static_cast<std::size_t>(kind)];
  }
  // What an offer changed, by kind, of the one before for the same abilities.
  struct Past {
    std::uint64_t serial = 0;
    std::array<std::vector<std::string>, kKinds> names;
  };
  struct Current {
    std::shared_ptr<const ResourceSnapshot> offer;
    std::uint64_t serial = 0;
    std::deque<Past> past;
  };

  [[nodiscard]] const Current* standing_for(const Stream& stream) const;
  void answered(StreamId id, Stream& stream, OfKind& kind, const SubscriptionRequest& heard, Millis now);
  void ask(Stream& stream, OfKind& kind, const SubscriptionRequest& heard);
  void come_with(Stream& stream, OfKind& kind, const SubscriptionRequest& heard);
  void trust(Stream& stream, Millis took, Millis now);
  [[nodiscard]] Held wanted(const Stream& stream, Kind kind, const ResourceSnapshot& offer,
                            const std::string& name) const;
  [[nodiscard]] std::set<std::string> all_names(const Stream& stream, Kind kind,
                                                const ResourceSnapshot& offer) const;
  [[nodiscard]] std::optional<std::set<std::string>> changed(const OfKind& kind, std::size_t place,
                                                             const Current& current) const;
  [[nodiscard]] bool waits_for_clusters(const Stream& stream, const ResourceSnapshot& offer) const;
  std::optional<Write> difference(StreamId id, Stream& stream, Kind kind, const Current& current,
                                  bool urgent_only, Millis now);
  std::optional<Write> difference(StreamId id, Stream& stream, bool urgent_only, Millis now);
  static void look_again(Stream& stream, Millis at) {
    stream.again = stream.again < 0 ? at : std::min(stream.again, at);
  }
  void judge_slow(Stream& stream, Millis now);

  const Bounds bounds_;
  const std::string service_;
  const std::uint64_t epoch_;
  std::map<StreamId, Stream> streams_;
  std::map<Abilities, Current> current_;
  std::uint64_t last_serial_ = 0;
  std::vector<Notice> notices_;
  Counts counts_;
  Millis due_ = -1;
};

}  // namespace reedspindle::control
