// The discovery streams of all clients: decides which responses to send, which streams to close and what to
// report. Free of I/O and of the xDS messages' own types; called from one thread. Times in ms.
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

class Subscriptions {
 public:
  using Bounds = SubscriptionBounds;
  using Counts = SubscriptionCounts;

  // The service's name and the epoch go into the versions of all responses.
  Subscriptions(Bounds bounds, std::string service, std::uint64_t epoch);

  // False: there are too many streams.
  [[nodiscard]] bool open_stream(StreamId id, ProtocolVariant variant, ClientCapabilities capabilities,
                                 Millis now);
  void on_request(StreamId id, const SubscriptionRequest& request, Millis now);
  // The transport can take the next response of that stream.
  void on_response_sent(StreamId id);
  void close_stream(StreamId id);

  // The capabilities for which snapshots are needed.
  [[nodiscard]] std::set<ClientCapabilities> capabilities() const;
  void update_snapshots(std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> snapshots);
  // What is to be done now: urgent responses first, then a bounded number of the others.
  [[nodiscard]] std::vector<StreamAction> collect_actions(Millis now);
  // When collect_actions has to be called though nothing happens; none: no need.
  [[nodiscard]] std::optional<Millis> next_deadline() const { return next_deadline_; }

  // The number of open streams.
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
  std::uint64_t last_serial_ = 0;
  std::vector<OperatorNotice> notices_;
  Counts counts_;
  std::optional<Millis> next_deadline_;
};

}  // namespace reedspindle::control
