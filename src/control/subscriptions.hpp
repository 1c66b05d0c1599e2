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
enum class ProtocolVariant { state_of_the_world, incremental };

// A version as it is written in responses and read back from proxies: of which list, of which start of which
// service, and the how manieth change. Rises over restarts; told apart between services by their names.
struct Version {
  long long revision = 0;
  std::uint64_t epoch = 0, change = 0;
  std::string service;
};
std::string text_of(const Version& version);
std::optional<Version> parse_version(const std::string& text);
std::string resource_version_text(const Resource& resource, std::uint64_t epoch, const std::string& service);

// What a proxy said, read whole.
struct SubscriptionRequest {
  ResourceType kind = ResourceType::clusters;
  std::string nonce;               // of the response it answers; empty: of none
  std::string version;             // whole: what it took last
  std::vector<std::string> names;  // whole: all that it asks for; changes: what it asks for from now on
  std::vector<std::string> unsubscribed;              // changes
  std::map<std::string, std::string> known_versions;  // changes: versions it comes with
  std::optional<std::string> rejection_reason;        // the reason, where it did not take that response
};

struct ResponseToSend {
  StreamId stream;
  ResourceType kind = ResourceType::clusters;
  std::string nonce, version;
  struct Item {
    ResourcePtr resource;
    Millis time_to_live = -1;  // below 0: none
    bool body = true;          // false: only its time to live goes on
  };
  std::vector<Item> items;
  std::vector<std::string> removed;
  bool urgent = false;
};
struct StreamToClose {
  StreamId stream;
  std::string why;
};
// Something operators want to know of.
struct OperatorNotice {
  StreamId stream;
  std::string event, detail;
};
using StreamAction = std::variant<ResponseToSend, StreamToClose, OperatorNotice>;

class Subscriptions {
 public:
  struct Bounds {
    std::size_t streams = 2000, names = 4096, name_length = 256;
    Millis unread = 10000;  // that a response may wait for its proxy to read
    Millis behind = 30000;  // that a proxy with a newer list than ours is left with what it has
    Millis transit = 100;   // that a response may take
  };
  struct Counts {
    std::uint64_t responses = 0, urgent = 0, acknowledged = 0, rejected = 0, stale_nonces = 0, ended = 0;
  };

  Subscriptions(Bounds bounds, std::string service, std::uint64_t epoch);

  // False: there are too many.
  bool open_stream(StreamId id, ProtocolVariant variant, ClientCapabilities capabilities, Millis now);
  void on_request(StreamId id, SubscriptionRequest request, Millis now);
  // The transport can take the next response of that stream.
  void on_response_sent(StreamId id);
  void close_stream(StreamId id);

  [[nodiscard]] std::set<ClientCapabilities> capabilities() const;
  void update_snapshots(std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> snapshots);
  std::vector<StreamAction> collect_actions(Millis now);
  // When something is due though nothing happens; below 0: nothing.
  [[nodiscard]] Millis next_deadline() const { return next_deadline_; }

  [[nodiscard]] std::size_t size() const { return streams_.size(); }
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  // What a proxy has of one resource.
  struct ClientResource {
    ResourcePtr sent, taken;
    std::uint64_t turned_down = 0;  // the version that it did not take
  };
  struct PendingResponse {
    std::string nonce;
    Millis sent_at = 0;
    bool leased = false;
    std::map<std::string, ResourcePtr> sent;
  };
  struct TypeSubscription {
    bool asked = false, all = false;
    std::set<std::string> names;
    std::map<std::string, ClientResource> has;
    std::set<std::string> reported_missing;
    std::deque<PendingResponse> out;  // not yet answered
    std::string last_nonce;
    std::uint64_t whole = 0;  // the version of the kind that was sent last
    // The offer of which it lacks nothing but what an answer is owed for; 0: all has to be looked at.
    std::uint64_t complete_as_of = 0;
    Millis pause_until = 0, pause = 0;
  };
  struct Stream {
    ProtocolVariant variant = ProtocolVariant::state_of_the_world;
    ClientCapabilities capabilities, can;  // can: what it said it can, abilities: what it is trusted with now
    std::array<TypeSubscription, kResourceTypes> kinds;
    bool writing = false, dirty = true;
    bool returns = false;  // it comes with what this service told it before
    Millis written_at = 0, opened = 0;
    long long required_revision = 0;  // a list that the proxy knows
    Millis leases_disabled_until = 0;
    std::uint64_t nonces = 0;
    std::size_t name_count = 0;
    Millis again = -1;  // when to look at it though nothing happens; below 0: no need
    std::optional<std::string> end;
  };

  TypeSubscription& of(Stream& stream, ResourceType kind) {
    return stream.kinds[static_cast<std::size_t>(kind)];
  }
  [[nodiscard]] const TypeSubscription& of(const Stream& stream, ResourceType kind) const {
    return stream.kinds[static_cast<std::size_t>(kind)];
  }
  // What an offer changed, by kind, of the one before for the same abilities.
  struct SnapshotChange {
    std::uint64_t serial = 0;
    std::array<std::vector<std::string>, kResourceTypes> names;
  };
  struct CurrentSnapshot {
    std::shared_ptr<const ResourceSnapshot> snapshot;
    std::uint64_t serial = 0;
    std::deque<SnapshotChange> past;
  };

  [[nodiscard]] const CurrentSnapshot* snapshot_for(const Stream& stream) const;
  void answered(StreamId id, Stream& stream, TypeSubscription& kind, const SubscriptionRequest& request,
                Millis now);
  void ask(Stream& stream, TypeSubscription& kind, const SubscriptionRequest& request);
  void import_known_versions(Stream& stream, TypeSubscription& kind, const SubscriptionRequest& request);
  void trust(Stream& stream, Millis took, Millis now);
  [[nodiscard]] ResourcePtr wanted(const Stream& stream, ResourceType kind, const ResourceSnapshot& snapshot,
                                   const std::string& name) const;
  [[nodiscard]] std::set<std::string> relevant_names(const Stream& stream, ResourceType kind,
                                                     const ResourceSnapshot& snapshot) const;
  [[nodiscard]] std::optional<std::set<std::string>> changed(const TypeSubscription& kind, std::size_t place,
                                                             const CurrentSnapshot& current) const;
  [[nodiscard]] bool must_wait_for_clusters(const Stream& stream, const ResourceSnapshot& snapshot) const;
  std::optional<ResponseToSend> next_response(StreamId id, Stream& stream, ResourceType kind,
                                              const CurrentSnapshot& current, bool urgent_only, Millis now);
  std::optional<ResponseToSend> next_response(StreamId id, Stream& stream, bool urgent_only, Millis now);
  static void schedule_check(Stream& stream, Millis at) {
    stream.again = stream.again < 0 ? at : std::min(stream.again, at);
  }
  void check_responsiveness(Stream& stream, Millis now);

  const Bounds bounds_;
  const std::string service_;
  const std::uint64_t epoch_;
  std::map<StreamId, Stream> streams_;
  std::map<ClientCapabilities, CurrentSnapshot> current_;
  std::uint64_t last_serial_ = 0;
  std::vector<OperatorNotice> notices_;
  Counts counts_;
  Millis next_deadline_ = -1;
};

}  // namespace reedspindle::control
