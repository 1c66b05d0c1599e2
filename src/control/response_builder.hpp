// The difference between what a stream has and what the snapshot wants it to have, as the next response.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/client_stream.hpp"
#include "control/snapshot_history.hpp"

namespace reedspindle::control {

// Lives for one look at one stream; holds references alone.
class ResponseBuilder {
 public:
  // urgent_only: nothing but responses that take an endpoint away.
  ResponseBuilder(const StreamContext& context, StreamId id, ClientStream& stream,
                  const SnapshotHistory& history, bool urgent_only, Millis now)
      : context_(context),
        id_(id),
        stream_(stream),
        history_(history),
        snapshot_(*history.snapshot()),
        urgent_only_(urgent_only),
        now_(now) {}

  // The next response of that type, recorded in the stream as sent; none where nothing is to be sent now.
  [[nodiscard]] std::optional<ResponseToSend> build(ResourceType type);

 private:
  struct Difference {
    ResponseToSend response;
    std::vector<std::string> missing;  // names that the client has or asks for and that don't exist
    bool changed = false;              // a resource is new or another
    bool renewed = false;              // a time to live is longer
    bool truncated = false;            // more is left for later responses
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
