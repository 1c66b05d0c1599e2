#include "control/request_handler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace reedspindle::control {
namespace {

// Delay of the next non-urgent response after a rejection. Doubles with each further one, up to the maximum.
constexpr Millis kInitialBackoff = 1000;
constexpr Millis kMaxBackoff = 60000;
// For how long a client that acknowledged a lease too late gets no leases.
constexpr Millis kLeaseSuspension = 30000;
constexpr std::size_t kMaxReasonLength = 512;  // bytes of a rejection's reason that are logged

// Returns whether the request leaves the subscribed names as they are, apart from any that it unsubscribes.
bool repeats_names(const ClientStream& stream, const TypeSubscription& subscription,
                   const SubscriptionRequest& request) {
  if (stream.variant == ProtocolVariant::incremental) {
    return request.names.empty();
  }
  return request.names.size() == subscription.names.size() &&
         std::ranges::all_of(request.names, [&subscription](const std::string& name) {
           return subscription.names.contains(name);
         });
}

}  // namespace

void RequestHandler::handle(const SubscriptionRequest& request) {
  TypeSubscription& subscription = stream_.of(request.type);
  stream_.needs_check = true;
  if (!check_names(request)) {
    return;
  }
  if (!subscription.requested || request.nonce.empty()) {
    if (const auto version = parse_version(request.version)) {
      note_known_version(*version);
    }
  }
  if (!request.nonce.empty() && !handle_nonce(subscription, request)) {
    return;
  }
  if (stream_.variant == ProtocolVariant::incremental) {
    import_known_versions(subscription, request);
  }
  subscribe(subscription, request);
}

// Returns false, and closes the stream, if a name is empty or too long.
bool RequestHandler::check_names(const SubscriptionRequest& request) {
  for (const auto* names : {&request.names, &request.unsubscribed}) {
    for (const std::string& name : *names) {
      if (name.empty() || name.size() > context_.bounds.name_length) {
        stream_.close_reason = fmt::format("a name of {} bytes", name.size());
        return false;
      }
    }
  }
  return true;
}

// Returns false if the request has to be ignored. A nonce of a response that was answered already, or that
// was sent on another stream, acknowledges nothing. In the state-of-the-world variant the names of such a
// request are ignored too: the answer to the newer response repeats them.
bool RequestHandler::handle_nonce(TypeSubscription& subscription, const SubscriptionRequest& request) {
  const bool pending = std::ranges::any_of(
      subscription.unacknowledged,
      [&request](const PendingResponse& response) { return response.nonce == request.nonce; });
  if (!pending && request.nonce != subscription.last_nonce) {
    ++context_.counts.stale_nonces;
    if (stream_.variant == ProtocolVariant::state_of_the_world) {
      return false;
    }
  }
  if (pending) {
    acknowledge(subscription, request);
  }
  // Clusters to which only earlier routes referred may be removed now.
  if (pending && request.type == ResourceType::routes) {
    stream_.of(ResourceType::clusters).complete_as_of = 0;
  }
  return true;
}

// A client answers responses in the order in which they were sent, so an answer also acknowledges all
// responses before it.
void RequestHandler::acknowledge(TypeSubscription& subscription, const SubscriptionRequest& request) {
  bool last = false;
  while (!last && !subscription.unacknowledged.empty()) {
    const PendingResponse& response = subscription.unacknowledged.front();
    last = response.nonce == request.nonce;
    if (response.leased) {
      check_response_delay(now_ - response.sent_at);
    }
    const bool accepted = !last || !request.rejection_reason;
    ++(accepted ? context_.counts.acknowledged : context_.counts.rejected);
    record_answer(subscription, response, accepted);
    if (!accepted) {
      subscription.backoff = std::clamp(subscription.backoff * 2, kInitialBackoff, kMaxBackoff);
      subscription.backoff_until = now_ + subscription.backoff;
      subscription.complete_as_of = 0;
      context_.notices.push_back(
          {id_, "response rejected", request.rejection_reason->substr(0, kMaxReasonLength)});
    } else if (last) {
      subscription.backoff = 0;
      subscription.backoff_until = 0;
    }
    subscription.unacknowledged.pop_front();
  }
}

// Records for each resource of the response that the client has accepted or rejected it.
void RequestHandler::record_answer(TypeSubscription& subscription, const PendingResponse& response,
                                   bool accepted) {
  for (const auto& [name, resource] : response.sent) {
    const auto found = subscription.resources.find(name);
    if (found == subscription.resources.end()) {
      continue;
    }
    ClientResource& client = found->second;
    if (accepted) {
      client.acknowledged = resource;
      continue;
    }
    client.rejected_version = resource->version;
    if (client.sent == resource) {
      client.sent = client.acknowledged;
    }
  }
}

// Suspends leases for a client that took longer to acknowledge a lease than the leases allow for. On such a
// path the client's time to live starts too late, so it would use a replica whose data is older than the
// bound. The cost: a client that reads responses at once but is slow to acknowledge them sends its reads to
// the primary until the suspension ends.
void RequestHandler::check_response_delay(Millis delay) {
  if (delay > context_.bounds.transit && stream_.declared_capabilities.expiry == Expiry::time_to_live) {
    stream_.leases_disabled_until = now_ + kLeaseSuspension;
  }
}

// Records which endpoint list the client is known to have, and whether it got it from this service.
void RequestHandler::note_known_version(const Version& version) {
  stream_.required_revision = std::max(stream_.required_revision, version.revision);
  stream_.is_reconnecting |= version.service == context_.service;
}

// Imports the versions that a client has from an earlier stream. A resource counts as acknowledged if the
// client has this service's newest version of it. Names that the service does not know are recorded, so that
// the client is notified of their removal.
void RequestHandler::import_known_versions(TypeSubscription& subscription,
                                           const SubscriptionRequest& request) {
  if (subscription.requested) {
    return;
  }
  std::size_t count = 0;
  for (const auto& [name, text] : request.known_versions) {
    ++count;
    if (name.size() > context_.bounds.name_length || count > context_.bounds.names) {
      stream_.close_reason = "it comes with too much";
      return;
    }
    const auto version = parse_version(text);
    if (!version) {
      continue;
    }
    note_known_version(*version);
    ClientResource& client = subscription.resources[name];
    if (!snapshot_) {
      continue;
    }
    const auto& resources = snapshot_->resources[static_cast<std::size_t>(request.type)];
    const auto known = resources.find(name);
    if (known != resources.end() && known->second->valid_until < 0 &&
        resource_version_text(*known->second, context_.epoch, context_.service) == text) {
      client.sent = known->second;
      client.acknowledged = known->second;
    }
  }
}

// Changes the subscribed names; closes the stream if there are too many.
void RequestHandler::subscribe(TypeSubscription& subscription, const SubscriptionRequest& request) {
  const bool first = !std::exchange(subscription.requested, true);
  if (!first && request.unsubscribed.empty() && repeats_names(stream_, subscription, request)) {
    return;
  }
  subscription.complete_as_of = 0;
  if (stream_.variant == ProtocolVariant::state_of_the_world) {
    replace_names(subscription, request, first);
  } else {
    change_names(subscription, request, first);
  }
  if (stream_.subscribed_names > context_.bounds.names) {
    stream_.close_reason = fmt::format("more than {} names", context_.bounds.names);
  }
}

// Handles the names of a state-of-the-world request, which lists all subscribed names.
void RequestHandler::replace_names(TypeSubscription& subscription, const SubscriptionRequest& request,
                                   bool first) {
  std::set<std::string> names(request.names.begin(), request.names.end());
  // The client subscribes to every resource with "*", or with no names in its first request and none since.
  const bool star = names.erase("*") > 0;
  subscription.wildcard = star || (names.empty() && (first || subscription.wildcard));
  stream_.subscribed_names += names.size() - subscription.names.size();
  // Resources that are no longer subscribed are forgotten, so that they are sent again if the client
  // subscribes again.
  if (!subscription.wildcard) {
    std::erase_if(subscription.resources, [&names](const auto& item) { return !names.contains(item.first); });
  }
  subscription.names = std::move(names);
}

// Handles the names of an incremental request, which lists names to add and names to remove.
void RequestHandler::change_names(TypeSubscription& subscription, const SubscriptionRequest& request,
                                  bool first) {
  if (first && request.names.empty()) {
    subscription.wildcard = true;
  }
  for (const std::string& name : request.names) {
    if (name == "*") {
      subscription.wildcard = true;
      continue;
    }
    stream_.subscribed_names += subscription.names.insert(name).second ? 1 : 0;
    subscription.reported_missing.erase(name);
    // A resource is sent again if the client subscribes again. The first request on the stream is different:
    // the client may have the resource from an earlier stream.
    if (!first) {
      subscription.resources.erase(name);
    }
  }
  for (const std::string& name : request.unsubscribed) {
    if (name == "*") {
      subscription.wildcard = false;
    }
    stream_.subscribed_names -= subscription.names.erase(name);
    if (!subscription.wildcard) {
      subscription.resources.erase(name);
      subscription.reported_missing.erase(name);
    }
  }
  if (!subscription.wildcard) {
    std::erase_if(subscription.resources,
                  [&subscription](const auto& item) { return !subscription.names.contains(item.first); });
  }
}

}  // namespace reedspindle::control
