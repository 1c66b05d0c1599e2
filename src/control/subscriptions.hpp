// The discovery streams of all clients: decides which responses to send, which streams to close and what to
// report to operators. Does no I/O and does not use the xDS message types. Times in ms.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/client_stream.hpp"
#include "control/resource_snapshot.hpp"
#include "control/snapshot_history.hpp"
#include "control/subscription_types.hpp"
#include "control/version_text.hpp"

namespace reedspindle::control {

// Not thread-safe: all calls come from one thread.
class Subscriptions {
 public:
  using Bounds = SubscriptionBounds;
  using Counts = SubscriptionCounts;

  // The service's name and the epoch become part of the versions in all responses.
  Subscriptions(Bounds bounds, std::string service, std::uint64_t epoch);

  // Returns false, and ignores the stream, if the limit on streams is reached.
  [[nodiscard]] bool open_stream(StreamId id, ProtocolVariant variant, ClientCapabilities capabilities,
                                 Millis now);
  // Applies a client's request to its stream. The response comes from a later collect_actions.
  void on_request(StreamId id, const SubscriptionRequest& request, Millis now);
  // Tells that the transport has sent the last response of that stream and can take the next.
  void on_response_sent(StreamId id);
  // Forgets a stream that has ended, whichever side closed it.
  void close_stream(StreamId id);

  // Returns the sets of client capabilities for which snapshots are needed.
  [[nodiscard]] std::set<ClientCapabilities> capabilities() const;
  // Replaces the snapshots that responses are built from, one for each of capabilities().
  void update_snapshots(std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> snapshots);
  // Returns what is to be done now: responses, urgent ones first and a bounded number in all, then streams to
  // close, then notices.
  [[nodiscard]] std::vector<StreamAction> collect_actions(Millis now);
  // Returns when collect_actions must be called even if no event occurs before; none if not needed.
  [[nodiscard]] std::optional<Millis> next_deadline() const { return next_deadline_; }

  // Returns the number of open streams.
  [[nodiscard]] std::size_t size() const { return streams_.size(); }
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  [[nodiscard]] StreamContext context() { return {bounds_, service_, epoch_, counts_, notices_}; }
  [[nodiscard]] const SnapshotHistory* snapshot_for(const ClientStream& stream) const;
  void update_capabilities(StreamId id, ClientStream& stream, Millis now);
  [[nodiscard]] bool has_newer_list(StreamId id, ClientStream& stream, long long revision, Millis now);
  [[nodiscard]] std::optional<ResponseToSend> next_response(StreamId id, ClientStream& stream,
                                                            bool urgent_only, Millis now);
  void mark_due_streams(Millis now);
  void collect_responses(std::vector<StreamAction>& actions, Millis now);
  void collect_closures(std::vector<StreamAction>& actions, Millis now);

  const Bounds bounds_;
  const std::string service_;
  const std::uint64_t epoch_;
  std::map<StreamId, ClientStream> streams_;
  std::map<ClientCapabilities, SnapshotHistory> snapshots_;
  std::uint64_t last_serial_ = 0;        // of the snapshot that changed last, of all capabilities
  std::vector<OperatorNotice> notices_;  // since the last collect_actions
  Counts counts_;
  std::optional<Millis> next_deadline_;
};

}  // namespace reedspindle::control
