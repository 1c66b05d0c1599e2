#include "control/subscriptions.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "control/request_handler.hpp"
#include "control/response_builder.hpp"

namespace reedspindle::control {
namespace {

// Responses returned by one call of collect_actions. The others follow in later calls, so that probes don't
// wait until a thousand clients have been served.
constexpr std::size_t kMaxResponsesPerTurn = 64;
// Time for a reconnecting client to send all of its subscriptions, which takes a few round trips.
constexpr Millis kReconnectGrace = 50;

}  // namespace

Subscriptions::Subscriptions(Bounds bounds, std::string service, std::uint64_t epoch)
    : bounds_(bounds), service_(std::move(service)), epoch_(epoch) {}

bool Subscriptions::open_stream(StreamId id, ProtocolVariant variant, ClientCapabilities capabilities,
                                Millis now) {
  if (streams_.size() >= bounds_.streams) {
    return false;
  }
  ClientStream& stream = streams_[id];
  stream.variant = variant;
  stream.declared_capabilities = capabilities;
  stream.capabilities = capabilities;
  stream.opened_at = now;
  return true;
}

void Subscriptions::close_stream(StreamId id) {
  if (streams_.erase(id) > 0) {
    ++counts_.ended;
  }
}

void Subscriptions::on_response_sent(StreamId id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return;
  }
  found->second.response_in_flight = false;
  found->second.needs_check = true;
}

void Subscriptions::on_request(StreamId id, const SubscriptionRequest& request, Millis now) {
  const auto found = streams_.find(id);
  if (found == streams_.end() || found->second.close_reason) {
    return;
  }
  ClientStream& stream = found->second;
  const SnapshotHistory* history = snapshot_for(stream);
  const ResourceSnapshot* snapshot = history ? history->snapshot().get() : nullptr;
  RequestHandler(context(), id, stream, snapshot, now).handle(request);
}

std::set<ClientCapabilities> Subscriptions::capabilities() const {
  std::set<ClientCapabilities> all;
  for (const auto& [id, stream] : streams_) {
    all.insert(stream.capabilities);
  }
  return all;
}

// Marks only those streams for a comparison whose snapshot has changed.
void Subscriptions::update_snapshots(
    std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> snapshots) {
  std::erase_if(snapshots_, [&snapshots](const auto& item) { return !snapshots.contains(item.first); });
  for (auto& [capabilities, snapshot] : snapshots) {
    if (!snapshots_[capabilities].update(std::move(snapshot), last_serial_ + 1)) {
      continue;
    }
    ++last_serial_;
    for (auto& [id, stream] : streams_) {
      stream.needs_check |= stream.capabilities == capabilities;
    }
  }
}

// Returns the history of the stream's snapshot; null if no snapshot is ready for its capabilities.
const SnapshotHistory* Subscriptions::snapshot_for(const ClientStream& stream) const {
  const auto found = snapshots_.find(stream.capabilities);
  return found == snapshots_.end() || !found->second.snapshot()->ready ? nullptr : &found->second;
}

// Withholds leases from a client for as long as RequestHandler::check_response_delay has suspended them, and
// restores them afterwards. Resources are compared anew after each change.
void Subscriptions::update_capabilities(StreamId id, ClientStream& stream, Millis now) {
  const bool leases_allowed = now >= stream.leases_disabled_until;
  ClientCapabilities capabilities = stream.declared_capabilities;
  if (!leases_allowed) {
    capabilities.expiry = Expiry::none;
    capabilities.checks_session_tokens = false;
  }
  if (capabilities != stream.capabilities) {
    notices_.push_back({id, leases_allowed ? "leases restored" : "leases suspended",
                        leases_allowed ? "" : "acknowledgements arrive too late"});
    stream.capabilities = capabilities;
    for (TypeSubscription& type : stream.types) {
      type.complete_as_of = 0;
    }
    stream.schedule_check(now);
  }
  if (!leases_allowed) {
    stream.schedule_check(stream.leases_disabled_until);
  }
}

// Returns whether the client has resources from a newer endpoint list than this service has, and so must not
// be sent any. Such a client was connected to another instance of the service, or to this one before a crash.
// It keeps its resources until the list here is as new, so that a draining server is not brought back, but no
// longer than SubscriptionBounds::behind after the stream was opened.
bool Subscriptions::has_newer_list(StreamId id, ClientStream& stream, long long revision, Millis now) {
  if (revision >= stream.required_revision) {
    return false;
  }
  const Millis until = stream.opened_at + bounds_.behind;
  if (now < until) {
    stream.schedule_check(until);
    return true;
  }
  notices_.push_back(
      {id, "sending an older endpoint list",
       fmt::format("service revision {}, client revision {}", revision, stream.required_revision)});
  stream.required_revision = 0;
  return false;
}

// Returns the next response for the stream; none if nothing can be sent now.
std::optional<ResponseToSend> Subscriptions::next_response(StreamId id, ClientStream& stream,
                                                           bool urgent_only, Millis now) {
  update_capabilities(id, stream, now);
  const SnapshotHistory* history = snapshot_for(stream);
  if (!history || has_newer_list(id, stream, history->snapshot()->revision, now)) {
    return std::nullopt;
  }
  ResponseBuilder builder(context(), id, stream, *history, urgent_only, now);
  // A reconnecting client has clusters and routes already. The most urgent news for it is which endpoints
  // have been removed in the meantime, so endpoints are sent first. Other types wait a short time for the
  // client to subscribe to endpoints.
  const bool endpoints_first = stream.is_reconnecting &&
                               stream.of(ResourceType::endpoints).last_nonce.empty() &&
                               now < stream.opened_at + kReconnectGrace;
  if (endpoints_first) {
    stream.schedule_check(stream.opened_at + kReconnectGrace);
  }
  if (urgent_only || endpoints_first) {
    return builder.build(ResourceType::endpoints);
  }
  for (const ResourceType type :
       {ResourceType::clusters, ResourceType::endpoints, ResourceType::listeners, ResourceType::routes}) {
    if (auto response = builder.build(type)) {
      return response;
    }
  }
  return std::nullopt;
}

// Marks streams for a comparison whose time for it has come.
void Subscriptions::mark_due_streams(Millis now) {
  for (auto& [id, stream] : streams_) {
    stream.needs_check |= stream.next_check && now >= *stream.next_check;
    if (stream.needs_check) {
      stream.next_check.reset();
    }
  }
}

// Collects the responses that remove an endpoint, for all clients, before any other.
void Subscriptions::collect_responses(std::vector<StreamAction>& actions, Millis now) {
  std::size_t sent = 0;
  for (const bool urgent : {true, false}) {
    for (auto& [id, stream] : streams_) {
      if (stream.close_reason || stream.response_in_flight || !stream.needs_check) {
        continue;
      }
      if (sent >= kMaxResponsesPerTurn) {
        stream.schedule_check(now);
        continue;
      }
      auto response = next_response(id, stream, urgent, now);
      if (!response) {
        stream.needs_check = urgent;
        continue;
      }
      ++sent;
      ++counts_.responses;
      counts_.urgent += urgent ? 1 : 0;
      stream.response_in_flight = true;
      stream.response_started_at = now;
      actions.emplace_back(std::in_place_type<ResponseToSend>, std::move(*response));
    }
  }
}

// Collects each stream to close once, and computes next_deadline_ from those that stay open.
void Subscriptions::collect_closures(std::vector<StreamAction>& actions, Millis now) {
  next_deadline_.reset();
  for (auto& [id, stream] : streams_) {
    if (!stream.close_reason) {
      stream.check_responsiveness(now, bounds_.unread);
    }
    if (stream.close_reason) {
      if (!std::exchange(stream.close_reported, true)) {
        actions.emplace_back(std::in_place_type<StreamToClose>, StreamToClose{id, *stream.close_reason});
      }
    } else if (stream.next_check) {
      next_deadline_ = next_deadline_ ? std::min(*next_deadline_, *stream.next_check) : *stream.next_check;
    }
  }
}

std::vector<StreamAction> Subscriptions::collect_actions(Millis now) {
  std::vector<StreamAction> actions;
  actions.reserve(2 * streams_.size() + notices_.size() + 8);
  mark_due_streams(now);
  collect_responses(actions, now);
  collect_closures(actions, now);
  for (OperatorNotice& notice : std::exchange(notices_, {})) {
    actions.emplace_back(std::in_place_type<OperatorNotice>, std::move(notice));
  }
  return actions;
}

}  // namespace reedspindle::control
