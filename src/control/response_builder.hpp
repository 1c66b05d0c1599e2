// Builds the next response for a stream from the difference between the resources that its client has and
// those in the snapshot.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/client_stream.hpp"
#include "control/snapshot_history.hpp"

namespace reedspindle::control {

// Created for one comparison of one stream; the arguments must outlive it.
class ResponseBuilder {
 public:
  // urgent_only: builds only responses that remove an endpoint.
  ResponseBuilder(const StreamContext& context, StreamId id, ClientStream& stream,
                  const SnapshotHistory& history, bool urgent_only, Millis now)
      : context_(context),
        id_(id),
        stream_(stream),
        history_(history),
        snapshot_(*history.snapshot()),
        urgent_only_(urgent_only),
        now_(now) {}

  // Returns the next response of that type and records it in the stream as sent. None if nothing is to be
  // sent now.
  [[nodiscard]] std::optional<ResponseToSend> build(ResourceType type);

 private:
  struct Difference {
    ResponseToSend response;
    std::vector<std::string> missing;  // names that the client has or subscribes to, but that don't exist
    bool changed = false;              // a resource is new or has changed
    bool renewed = false;              // a time to live is extended
    bool truncated = false;            // later responses have to send the rest
  };

  [[nodiscard]] bool sends_full_state(ResourceType type) const;
  [[nodiscard]] bool is_blocked(ResourceType type);
  [[nodiscard]] bool must_wait_for_clusters() const;
  [[nodiscard]] ResourcePtr wanted_resource(ResourceType type, const std::string& name) const;
  [[nodiscard]] ResourcePtr referenced_cluster(const std::string& name) const;
  [[nodiscard]] std::set<std::string> relevant_names(ResourceType type) const;
  [[nodiscard]] bool must_report_missing(const TypeSubscription& subscription, const std::string& name) const;
  void compare(const std::set<std::string>& names, Difference& difference) const;
  void compare_resource(const ResourcePtr& wanted, const ClientResource* client,
                        Difference& difference) const;
  static void truncate(Difference& difference);
  void remove_missing(TypeSubscription& subscription, Difference& difference);
  void record_sent(TypeSubscription& subscription, ResponseToSend& response);

  const StreamContext context_;
  const StreamId id_;
  ClientStream& stream_;
  const SnapshotHistory& history_;
  const ResourceSnapshot& snapshot_;
  const bool urgent_only_;
  const Millis now_;
};

}  // namespace reedspindle::control
