#include "control/subscriptions.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace reedspindle::control {
namespace {

// Assignments in one response. Guards against a drain that waits behind one huge response: the largest takes
// about as long as a small one does.
constexpr std::size_t kOfOneResponse = 64;
// Responses of one turn, those that take something away before others: what is left waits for the next turn,
// so that probes are not kept waiting by a thousand proxies.
constexpr std::size_t kOfOneTurn = 64;
// Responses of a kind that a proxy may owe an answer to. One in the ordinary course; more only while each
// takes something away.
constexpr std::size_t kUnanswered = 8;
// After a response was turned down the next ordinary one waits so long, twice as long each time.
constexpr Millis kFirstPause = 1000, kLongestPause = 60000;
// A proxy that took longer than a lease allows for is not trusted with leases for so long.
constexpr Millis kDistrust = 30000;
// Offers of which it is remembered what they changed: more than proxies leave unanswered in the ordinary
// course.
constexpr std::size_t kRemembered = 128;
// In which a proxy that comes back says all that it asks for: some round trips.
constexpr Millis kMoment = 50;
constexpr std::size_t kLongestReason = 512;

bool whole_state(ResourceType kind) {
  return kind == ResourceType::clusters || kind == ResourceType::listeners;
}

std::set<std::string> clusters_in(const Resource& resource) {
  std::set<std::string> names;
  if (const auto* routes = std::get_if<Routes>(&resource.body)) {
    for (const Route& route : routes->routes) {
      names.insert(route.cluster);
    }
  }
  return names;
}

}  // namespace

std::string text_of(const Version& version) {
  return fmt::format("r{}.e{}.c{}.{}", version.revision, version.epoch, version.change, version.service);
}

std::optional<Version> parse_version(const std::string& text) {
  Version version;
  const char* at = text.data();
  const char* const end = at + text.size();
  const auto number = [&](char letter, auto& into) {
    if (at == end || *at++ != letter) {
      return false;
    }
    const auto [next, fault] = std::from_chars(at, end, into);
    if (fault != std::errc() || next == end || *next != '.') {
      return false;
    }
    at = next + 1;
    return true;
  };
  if (!number('r', version.revision) || !number('e', version.epoch) || !number('c', version.change)) {
    return std::nullopt;
  }
  if (at == end || version.revision < 0) {
    return std::nullopt;
  }
  version.service.assign(at, end);
  return version;
}

std::string resource_version_text(const Resource& resource, std::uint64_t epoch, const std::string& service) {
  return text_of({resource.revision, epoch, resource.version, service});
}

Subscriptions::Subscriptions(Bounds bounds, std::string service, std::uint64_t epoch)
    : bounds_(bounds), service_(std::move(service)), epoch_(epoch) {}

bool Subscriptions::open_stream(StreamId id, ProtocolVariant variant, ClientCapabilities capabilities,
                                Millis now) {
  if (streams_.size() >= bounds_.streams) {
    return false;
  }
  Stream& stream = streams_[id];
  stream.variant = variant, stream.capabilities = stream.can = capabilities, stream.opened = now;
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
  found->second.writing = false, found->second.dirty = true;
}

std::set<ClientCapabilities> Subscriptions::capabilities() const {
  std::set<ClientCapabilities> all;
  for (const auto& [id, stream] : streams_) {
    all.insert(stream.capabilities);
  }
  return all;
}

// Only streams for which something has changed are looked at, and only for that.
void Subscriptions::update_snapshots(
    std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> snapshots) {
  std::erase_if(current_, [&snapshots](const auto& item) { return !snapshots.contains(item.first); });
  for (auto& [capabilities, snapshot] : snapshots) {
    CurrentSnapshot& current = current_[capabilities];
    SnapshotChange past{last_serial_ + 1, {}};
    bool differs = !current.snapshot || current.snapshot->ready != snapshot->ready ||
                   current.snapshot->revision != snapshot->revision;
    for (std::size_t kind = 0; current.snapshot && kind < kResourceTypes; ++kind) {
      const auto& before = current.snapshot->resources[kind];
      const auto& now = snapshot->resources[kind];
      for (const auto& [name, held] : now) {
        if (const auto was = before.find(name); was == before.end() || was->second != held) {
          past.names[kind].push_back(name);
        }
      }
      for (const auto& [name, held] : before) {
        if (!now.contains(name)) {
          past.names[kind].push_back(name);
        }
      }
      differs |= !past.names[kind].empty();
    }
    if (current.snapshot && current.snapshot->withheld != snapshot->withheld) {
      auto& names = past.names[static_cast<std::size_t>(ResourceType::endpoints)];
      for (const auto* of : {&current.snapshot->withheld, &snapshot->withheld}) {
        names.insert(names.end(), of->begin(), of->end());
      }
      differs = true;
    }
    if (!differs) {
      continue;
    }
    current.serial = ++last_serial_;
    if (current.snapshot) {
      current.past.push_back(std::move(past));
    }
    if (current.past.size() > kRemembered) {
      current.past.pop_front();
    }
    current.snapshot = std::move(snapshot);
    for (auto& [id, stream] : streams_) {
      if (stream.capabilities == capabilities) {
        stream.dirty = true;
      }
    }
  }
}

const Subscriptions::CurrentSnapshot* Subscriptions::snapshot_for(const Stream& stream) const {
  const auto found = current_.find(stream.capabilities);
  return found == current_.end() || !found->second.snapshot->ready ? nullptr : &found->second;
}

// The names that have changed since the stream lacked nothing; none: that is not known any more.
std::optional<std::set<std::string>> Subscriptions::changed(const TypeSubscription& kind, std::size_t place,
                                                            const CurrentSnapshot& current) const {
  if (kind.complete_as_of == 0) {
    return std::nullopt;
  }
  if (kind.complete_as_of != current.serial &&
      (current.past.empty() || kind.complete_as_of < current.past.front().serial)) {
    return std::nullopt;
  }
  std::set<std::string> names;
  for (auto at = current.past.rbegin(); at != current.past.rend() && at->serial > kind.complete_as_of; ++at) {
    names.insert(at->names[place].begin(), at->names[place].end());
  }
  return names;
}

void Subscriptions::on_request(StreamId id, SubscriptionRequest request, Millis now) {
  const auto found = streams_.find(id);
  if (found == streams_.end() || found->second.end) {
    return;
  }
  Stream& stream = found->second;
  TypeSubscription& kind = of(stream, request.kind);
  stream.dirty = true;
  for (const auto* names : {&request.names, &request.unsubscribed}) {
    for (const std::string& name : *names) {
      if (name.empty() || name.size() > bounds_.name_length) {
        return void(stream.end = fmt::format("a name of {} bytes", name.size()));
      }
    }
  }
  if (!kind.asked || request.nonce.empty()) {
    if (const auto version = parse_version(request.version)) {
      stream.required_revision = std::max(stream.required_revision, version->revision);
      stream.returns |= version->service == service_;
    }
  }
  if (!request.nonce.empty()) {
    const bool out =
        std::ranges::any_of(kind.out, [&](const PendingResponse& r) { return r.nonce == request.nonce; });
    // An answer to what has been answered already, or to another stream's response, says nothing of ours. In
    // the whole form neither does what it asks for: its answer to the newer response will say that again.
    if (!out && request.nonce != kind.last_nonce) {
      ++counts_.stale_nonces;
      if (stream.variant == ProtocolVariant::state_of_the_world) {
        return;
      }
    }
    if (out) {
      answered(id, stream, kind, request, now);
    }
    // Clusters that only older routes led to may go now.
    if (out && request.kind == ResourceType::routes) {
      of(stream, ResourceType::clusters).complete_as_of = 0;
    }
  }
  if (stream.variant == ProtocolVariant::incremental) {
    import_known_versions(stream, kind, request);
  }
  ask(stream, kind, request);
}

// A proxy answers responses in the order they came; an answer stands for those before, too.
void Subscriptions::answered(StreamId id, Stream& stream, TypeSubscription& kind,
                             const SubscriptionRequest& request, Millis now) {
  for (bool last = false; !last && !kind.out.empty(); kind.out.pop_front()) {
    const PendingResponse& pending = kind.out.front();
    last = pending.nonce == request.nonce;
    if (pending.leased) {
      trust(stream, now - pending.sent_at, now);
    }
    const bool taken = !last || !request.rejection_reason;
    taken ? ++counts_.acknowledged : ++counts_.rejected;
    for (const auto& [name, held] : pending.sent) {
      const auto has = kind.has.find(name);
      if (has == kind.has.end()) {
        continue;
      }
      if (taken) {
        has->second.taken = held;
      } else {
        has->second.turned_down = held->version;
        if (has->second.sent == held) {
          has->second.sent = has->second.taken;
        }
      }
    }
    if (taken && !last) {
      continue;
    }
    kind.pause = taken ? 0 : std::clamp(kind.pause * 2, kFirstPause, kLongestPause);
    kind.pause_until = taken ? 0 : now + kind.pause;
    if (!taken) {
      kind.complete_as_of = 0;
    }
    if (!taken) {
      notices_.push_back({id, "turned down", request.rejection_reason->substr(0, kLongestReason)});
    }
  }
}

// Guards against data that grows old on its way: a response that took longer to be answered than leases allow
// for shows a path on which a time to live begins too late. Harm: a proxy that is slow to answer, though it
// reads at once, sends its reads to the primary for a while.
void Subscriptions::trust(Stream& stream, Millis took, Millis now) {
  if (took <= bounds_.transit) {
    return;
  }
  if (stream.can.expiry == Expiry::time_to_live) {
    stream.leases_disabled_until = now + kDistrust;
  }
}

void Subscriptions::ask(Stream& stream, TypeSubscription& kind, const SubscriptionRequest& request) {
  const bool first = !std::exchange(kind.asked, true);
  // Most answers ask for what was asked for before. (One that repeats names is told of more than it asks
  // for.)
  const bool same = stream.variant == ProtocolVariant::incremental
                        ? request.names.empty()
                        : request.names.size() == kind.names.size() &&
                              std::ranges::all_of(request.names, [&kind](const std::string& name) {
                                return kind.names.contains(name);
                              });
  if (!first && same && request.unsubscribed.empty()) {
    return;
  }
  kind.complete_as_of = 0;
  if (stream.variant == ProtocolVariant::state_of_the_world) {
    std::set<std::string> names(request.names.begin(), request.names.end());
    // No names at first: everything, as long as none are named. "*" says so in words.
    kind.all = names.erase("*") > 0 || (names.empty() && (first || kind.all));
    stream.name_count += names.size() - kind.names.size();
    // What is asked for again after it was not is to be sent again.
    std::erase_if(kind.has, [&](const auto& item) { return !kind.all && !names.contains(item.first); });
    kind.names = std::move(names);
  } else {
    if (first && request.names.empty()) {
      kind.all = true;
    }
    for (const std::string& name : request.names) {
      if (name == "*") {
        kind.all = true;
        continue;
      }
      stream.name_count += kind.names.insert(name).second;
      kind.reported_missing.erase(name);
      // Asked for again: it is told again, unless it came with it.
      if (!first) {
        kind.has.erase(name);
      }
    }
    for (const std::string& name : request.unsubscribed) {
      if (name == "*") {
        kind.all = false;
      }
      stream.name_count -= kind.names.erase(name);
      if (!kind.all) {
        kind.has.erase(name), kind.reported_missing.erase(name);
      }
    }
    if (!kind.all) {
      std::erase_if(kind.has, [&](const auto& item) { return !kind.names.contains(item.first); });
    }
  }
  if (stream.name_count > bounds_.names) {
    stream.end = fmt::format("more than {} names", bounds_.names);
  }
}

// What a proxy brings from another stream counts as taken where it is ours and the newest; what we don't know
// is remembered, so that it is told when that is gone.
void Subscriptions::import_known_versions(Stream& stream, TypeSubscription& kind,
                                          const SubscriptionRequest& request) {
  if (kind.asked || request.known_versions.empty()) {
    return;
  }
  const CurrentSnapshot* current = snapshot_for(stream);
  const ResourceSnapshot* snapshot = current ? current->snapshot.get() : nullptr;
  std::size_t counted = 0;
  for (const auto& [name, text] : request.known_versions) {
    if (name.size() > bounds_.name_length || ++counted > bounds_.names) {
      return void(stream.end = "it comes with too much");
    }
    const auto version = parse_version(text);
    if (!version) {
      continue;
    }
    stream.required_revision = std::max(stream.required_revision, version->revision);
    stream.returns |= version->service == service_;
    ClientResource& has = kind.has[name];
    if (!snapshot) {
      continue;
    }
    const auto& resources = snapshot->resources[static_cast<std::size_t>(request.kind)];
    const auto known = resources.find(name);
    if (known != resources.end() && resource_version_text(*known->second, epoch_, service_) == text &&
        known->second->until < 0) {
      has.sent = has.taken = known->second;
    }
  }
}

// What the proxy is to have under a name; null: nothing.
ResourcePtr Subscriptions::wanted(const Stream& stream, ResourceType kind, const ResourceSnapshot& snapshot,
                                  const std::string& name) const {
  const TypeSubscription& of_kind = of(stream, kind);
  if (!of_kind.all && !of_kind.names.contains(name)) {
    return nullptr;
  }
  const auto& resources = snapshot.resources[static_cast<std::size_t>(kind)];
  if (const auto found = resources.find(name); found != resources.end()) {
    return found->second;
  }
  if (kind != ResourceType::clusters || !of_kind.all) {
    return nullptr;
  }
  // Break only after make: a cluster that routes still lead to, as far as the proxy has taken, stays.
  const auto kept = of_kind.has.find(name);
  if (kept == of_kind.has.end() || !kept->second.sent) {
    return nullptr;
  }
  for (const auto& [routes, has] : of(stream, ResourceType::routes).has) {
    for (const ResourcePtr& held : {has.sent, has.taken}) {
      if (held && clusters_in(*held).contains(name)) {
        return kept->second.sent;
      }
    }
  }
  return nullptr;
}

std::set<std::string> Subscriptions::relevant_names(const Stream& stream, ResourceType kind,
                                                    const ResourceSnapshot& snapshot) const {
  const TypeSubscription& of_kind = of(stream, kind);
  std::set<std::string> names = of_kind.names;
  for (const auto& [name, has] : of_kind.has) {
    names.insert(name);
  }
  if (of_kind.all) {
    for (const auto& [name, held] : snapshot.resources[static_cast<std::size_t>(kind)]) {
      names.insert(name);
    }
  }
  return names;
}

// Make before break: routes wait until the proxy has taken the clusters they lead to, and what stands in
// those. Only for proxies that take every cluster there is; others ask for clusters when they have seen the
// routes.
bool Subscriptions::must_wait_for_clusters(const Stream& stream, const ResourceSnapshot& snapshot) const {
  const TypeSubscription& clusters = of(stream, ResourceType::clusters);
  const TypeSubscription& endpoints = of(stream, ResourceType::endpoints);
  if (!clusters.asked || !clusters.all) {
    return false;
  }
  for (const auto& [name, routes] : snapshot.resources[static_cast<std::size_t>(ResourceType::routes)]) {
    for (const std::string& cluster : clusters_in(*routes)) {
      const auto has = clusters.has.find(cluster);
      if (has == clusters.has.end() || !has->second.taken) {
        return true;
      }
      const auto of_cluster = endpoints.has.find(cluster);
      const bool asked = endpoints.names.contains(cluster);
      if (asked && !snapshot.withheld.contains(cluster) &&
          (of_cluster == endpoints.has.end() || !of_cluster->second.taken)) {
        return true;
      }
    }
  }
  return false;
}

std::optional<ResponseToSend> Subscriptions::next_response(StreamId id, Stream& stream, ResourceType kind,
                                                           const CurrentSnapshot& current, bool urgent_only,
                                                           Millis now) {
  const ResourceSnapshot& snapshot = *current.snapshot;
  const std::size_t place = static_cast<std::size_t>(kind);
  TypeSubscription& has = of(stream, kind);
  if (!has.asked || has.out.size() >= (urgent_only ? kUnanswered : 1)) {
    return std::nullopt;
  }
  const bool full = stream.variant == ProtocolVariant::state_of_the_world && whole_state(kind);
  const std::optional<std::set<std::string>> since = changed(has, place, current);
  if (since && since->empty()) {
    if (!urgent_only) {
      has.complete_as_of = current.serial;
    }
    return std::nullopt;
  }
  if (!urgent_only && kind == ResourceType::routes && must_wait_for_clusters(stream, snapshot)) {
    return std::nullopt;
  }
  if (!urgent_only && now < has.pause_until) {
    return schedule_check(stream, has.pause_until), std::nullopt;
  }

  ResponseToSend response{id, kind, {}, {}, {}, {}, false};
  bool differs = false;
  bool renews = false;
  bool cut = false;
  std::vector<std::string> missing;
  for (const std::string& name : since && !full ? *since : relevant_names(stream, kind, snapshot)) {
    const auto found = has.has.find(name);
    const ClientResource* of_name = found == has.has.end() ? nullptr : &found->second;
    const ResourcePtr held = wanted(stream, kind, snapshot, name);
    if (!held) {
      // Asked for and not there: told once, where the form has words for it. What is only withheld is not
      // gone.
      const bool told = stream.variant == ProtocolVariant::incremental &&
                        (has.reported_missing.contains(name) || !has.names.contains(name));
      if (!snapshot.withheld.contains(name) &&
          (of_name || (stream.variant == ProtocolVariant::incremental && !told))) {
        missing.push_back(name);
      }
      continue;
    }
    const ResourcePtr sent = of_name ? of_name->sent : nullptr;
    const bool leased = stream.capabilities.expiry == Expiry::time_to_live && held->until >= 0;
    const Millis time_to_live = leased ? std::max(1.0, held->until - now - bounds_.transit) : -1;
    const bool same = sent && sent->version == held->version;
    const bool renewed = same && leased && held->until > sent->until;
    // What has been turned down is not tried as it is; only another one is.
    const bool again = !full && of_name && of_name->turned_down == held->version;
    if ((same && !renewed && !full) || again) {
      continue;
    }
    const bool urgent = kind == ResourceType::endpoints && sent && held->revoked > sent->version;
    if (urgent_only && !urgent) {
      continue;
    }
    differs |= !same, renews |= renewed, response.urgent |= urgent;
    response.items.push_back({held, time_to_live, full || !renewed});
  }
  if (urgent_only && !response.urgent) {
    return std::nullopt;
  }
  if (!full && response.items.size() > kOfOneResponse) {
    // The last changes first: of what a proxy that comes back lacks, those are the ones it can't know.
    std::ranges::stable_sort(response.items, std::greater(),
                             [](const ResponseToSend::Item& item) { return item.resource->version; });
    response.items.resize(kOfOneResponse);
    cut = true;
  }
  if (!urgent_only) {
    for (const std::string& name : missing) {
      if (stream.variant == ProtocolVariant::incremental && response.removed.size() >= kOfOneResponse) {
        cut = true;
        break;
      }
      if (stream.variant == ProtocolVariant::incremental) {
        response.removed.push_back(name), has.reported_missing.insert(name);
      }
      has.has.erase(name);
    }
    differs |= !response.removed.empty() || (full && !missing.empty());
    // What is written now leaves nothing lacking but for an answer.
    has.complete_as_of = cut ? 0 : current.serial;
  }
  if (!(differs || renews) || (full && response.items.empty())) {
    return std::nullopt;
  }
  // Turned down as it stood, the whole state is sent again only when it has become another.
  if (full && has.whole == snapshot.versions[place] && has.pause > 0) {
    return std::nullopt;
  }
  has.whole = snapshot.versions[place];
  response.version = text_of({snapshot.revision, epoch_, snapshot.versions[place], service_});
  response.nonce = has.last_nonce = fmt::format("{}.{}", id.number, ++stream.nonces);
  PendingResponse pending{response.nonce, now, false, {}};
  for (const ResponseToSend::Item& item : response.items) {
    ClientResource& of_name = has.has[item.resource->name];
    if (item.resource->version != of_name.turned_down) {
      of_name.turned_down = 0;
    }
    of_name.sent = item.resource;
    pending.leased |= item.time_to_live >= 0;
    pending.sent.emplace(item.resource->name, item.resource);
  }
  has.out.push_back(std::move(pending));
  return response;
}

std::optional<ResponseToSend> Subscriptions::next_response(StreamId id, Stream& stream, bool urgent_only,
                                                           Millis now) {
  // Trust is lost when answers come late, and comes back by itself.
  const bool trusted = now >= stream.leases_disabled_until;
  const ClientCapabilities capabilities =
      trusted ? stream.can
              : ClientCapabilities{Expiry::none, stream.can.uses_weights, false, stream.can.legacy_matchers};
  if (capabilities != stream.capabilities) {
    notices_.push_back({id, trusted ? "trusted with leases" : "not trusted with leases",
                        trusted ? "" : "its answers come late"});
    stream.capabilities = capabilities;
    for (TypeSubscription& kind : stream.kinds) {
      kind.complete_as_of = 0;
    }
    schedule_check(stream, now);
  }
  if (!trusted) {
    schedule_check(stream, stream.leases_disabled_until);
  }
  const CurrentSnapshot* current = snapshot_for(stream);
  if (!current) {
    return std::nullopt;
  }
  const ResourceSnapshot* snapshot = current->snapshot.get();
  // Guards against bringing a drained member back: a proxy that comes from another service, or from before a
  // crash, and knows a newer list than ours keeps what it has until we know as much.
  if (snapshot->revision < stream.required_revision) {
    if (now < stream.opened + bounds_.behind) {
      return schedule_check(stream, stream.opened + bounds_.behind), std::nullopt;
    }
    notices_.push_back(
        {id, "older list told",
         fmt::format("ours {}, the proxy's {}", snapshot->revision, stream.required_revision)});
    stream.required_revision = 0;
  }
  // A proxy that comes back has clusters and routes already. What it must hear soonest is who has been taken
  // away since, so its endpoints go first, if it asks for any within a moment.
  const bool endpoints_first = stream.returns && of(stream, ResourceType::endpoints).last_nonce.empty() &&
                               now < stream.opened + kMoment;
  if (endpoints_first) {
    schedule_check(stream, stream.opened + kMoment);
  }
  const bool endpoints_only = urgent_only || endpoints_first;
  for (const ResourceType kind : endpoints_only
                                     ? std::vector{ResourceType::endpoints}
                                     : std::vector{ResourceType::clusters, ResourceType::endpoints,
                                                   ResourceType::listeners, ResourceType::routes}) {
    if (auto response = next_response(id, stream, kind, *current, urgent_only, now)) {
      return response;
    }
  }
  return std::nullopt;
}

// Guards against proxies that don't read, or don't answer: each costs a few responses in hand, and not for
// ever.
void Subscriptions::check_responsiveness(Stream& stream, Millis now) {
  Millis since = stream.writing ? stream.written_at : now;
  for (const TypeSubscription& kind : stream.kinds) {
    if (!kind.out.empty()) {
      since = std::min(since, kind.out.front().sent_at);
    }
  }
  if (since == now) {
    return;
  }
  if (now - since >= bounds_.unread) {
    stream.end = stream.writing ? "it does not read" : "it does not answer";
  } else {
    schedule_check(stream, since + bounds_.unread);
  }
}

// What takes something away goes out first, to every proxy; then a bounded part of the rest.
std::vector<StreamAction> Subscriptions::collect_actions(Millis now) {
  std::vector<StreamAction> acts;
  acts.reserve(2 * streams_.size() + notices_.size() + 8);
  for (auto& [id, stream] : streams_) {
    stream.dirty |= stream.again >= 0 && now >= stream.again;
    if (stream.dirty) {
      stream.again = -1;
    }
  }
  std::size_t written = 0;
  for (const bool urgent : {true, false}) {
    for (auto& [id, stream] : streams_) {
      if (stream.end || stream.writing || !stream.dirty) {
        continue;
      }
      if (written >= kOfOneTurn) {
        schedule_check(stream, now);
        continue;
      }
      auto response = next_response(id, stream, urgent, now);
      if (!response) {
        if (!urgent) {
          stream.dirty = false;
        }
        continue;
      }
      ++written, ++counts_.responses, counts_.urgent += urgent;
      stream.writing = true, stream.written_at = now;
      acts.emplace_back(std::in_place_type<ResponseToSend>, std::move(*response));
    }
  }
  next_deadline_ = -1;
  for (auto& [id, stream] : streams_) {
    if (!stream.end) {
      check_responsiveness(stream, now);
    }
    if (stream.end && !stream.end->empty()) {
      acts.emplace_back(std::in_place_type<StreamToClose>, StreamToClose{id, *stream.end});
      stream.end = "";
    }
    if (!stream.end && stream.again >= 0) {
      next_deadline_ = next_deadline_ < 0 ? stream.again : std::min(next_deadline_, stream.again);
    }
  }
  for (OperatorNotice& notice : std::exchange(notices_, {})) {
    acts.emplace_back(std::in_place_type<OperatorNotice>, std::move(notice));
  }
  return acts;
}

}  // namespace reedspindle::control
