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

bool whole_state(Kind kind) { return kind == Kind::clusters || kind == Kind::listeners; }

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

std::optional<Version> version_in(const std::string& text) {
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

std::string version_of(const Resource& resource, std::uint64_t epoch, const std::string& service) {
  return text_of({resource.revision, epoch, resource.version, service});
}

Subscriptions::Subscriptions(Bounds bounds, std::string service, std::uint64_t epoch)
    : bounds_(bounds), service_(std::move(service)), epoch_(epoch) {}

bool Subscriptions::open(StreamId id, Form form, Abilities abilities, Millis now) {
  if (streams_.size() >= bounds_.streams) {
    return false;
  }
  Stream& stream = streams_[id];
  stream.form = form, stream.abilities = stream.can = abilities, stream.opened = now;
  return true;
}

void Subscriptions::close(StreamId id) {
  if (streams_.erase(id) > 0) {
    ++counts_.ended;
  }
}

void Subscriptions::written(StreamId id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return;
  }
  found->second.writing = false, found->second.dirty = true;
}

std::set<Abilities> Subscriptions::abilities() const {
  std::set<Abilities> all;
  for (const auto& [id, stream] : streams_) {
    all.insert(stream.abilities);
  }
  return all;
}

// Only streams for which something has changed are looked at, and only for that.
void Subscriptions::offer(std::map<Abilities, std::shared_ptr<const ResourceSnapshot>> offers) {
  std::erase_if(current_, [&offers](const auto& item) { return !offers.contains(item.first); });
  for (auto& [abilities, offer] : offers) {
    Current& current = current_[abilities];
    Past past{last_serial_ + 1, {}};
    bool differs =
        !current.offer || current.offer->ready != offer->ready || current.offer->revision != offer->revision;
    for (std::size_t kind = 0; current.offer && kind < kKinds; ++kind) {
      const auto& before = current.offer->resources[kind];
      const auto& now = offer->resources[kind];
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
    if (current.offer && current.offer->withheld != offer->withheld) {
      auto& names = past.names[static_cast<std::size_t>(Kind::endpoints)];
      for (const auto* of : {&current.offer->withheld, &offer->withheld}) {
        names.insert(names.end(), of->begin(), of->end());
      }
      differs = true;
    }
    if (!differs) {
      continue;
    }
    current.serial = ++last_serial_;
    if (current.offer) {
      current.past.push_back(std::move(past));
    }
    if (current.past.size() > kRemembered) {
      current.past.pop_front();
    }
    current.offer = std::move(offer);
    for (auto& [id, stream] : streams_) {
      if (stream.abilities == abilities) {
        stream.dirty = true;
      }
    }
  }
}

const Subscriptions::Current* Subscriptions::standing_for(const Stream& stream) const {
  const auto found = current_.find(stream.abilities);
  return found == current_.end() || !found->second.offer->ready ? nullptr : &found->second;
}

// The names that have changed since the stream lacked nothing; none: that is not known any more.
std::optional<std::set<std::string>> Subscriptions::changed(const OfKind& kind, std::size_t place,
                                                            const Current& current) const {
  if (kind.clean_at == 0) {
    return std::nullopt;
  }
  if (kind.clean_at != current.serial &&
      (current.past.empty() || kind.clean_at < current.past.front().serial)) {
    return std::nullopt;
  }
  std::set<std::string> names;
  for (auto at = current.past.rbegin(); at != current.past.rend() && at->serial > kind.clean_at; ++at) {
    names.insert(at->names[place].begin(), at->names[place].end());
  }
  return names;
}

void Subscriptions::hear(StreamId id, SubscriptionRequest heard, Millis now) {
  const auto found = streams_.find(id);
  if (found == streams_.end() || found->second.end) {
    return;
  }
  Stream& stream = found->second;
  OfKind& kind = of(stream, heard.kind);
  stream.dirty = true;
  for (const auto* names : {&heard.names, &heard.no_more}) {
    for (const std::string& name : *names) {
      if (name.empty() || name.size() > bounds_.name_length) {
        return void(stream.end = fmt::format("a name of {} bytes", name.size()));
      }
    }
  }
  if (!kind.asked || heard.nonce.empty()) {
    if (const auto version = version_in(heard.version)) {
      stream.must_reach = std::max(stream.must_reach, version->revision);
      stream.returns |= version->service == service_;
    }
  }
  if (!heard.nonce.empty()) {
    const bool out = std::ranges::any_of(kind.out, [&](const Response& r) { return r.nonce == heard.nonce; });
    // An answer to what has been answered already, or to another stream's response, says nothing of ours. In
    // the whole form neither does what it asks for: its answer to the newer response will say that again.
    if (!out && heard.nonce != kind.last_nonce) {
      ++counts_.stale_nonces;
      if (stream.form == Form::whole) {
        return;
      }
    }
    if (out) {
      answered(id, stream, kind, heard, now);
    }
    // Clusters that only older routes led to may go now.
    if (out && heard.kind == Kind::routes) {
      of(stream, Kind::clusters).clean_at = 0;
    }
  }
  if (stream.form == Form::changes) {
    come_with(stream, kind, heard);
  }
  ask(stream, kind, heard);
}

// A proxy answers responses in the order they came; an answer stands for those before, too.
void Subscriptions::answered(StreamId id, Stream& stream, OfKind& kind, const SubscriptionRequest& heard,
                             Millis now) {
  for (bool last = false; !last && !kind.out.empty(); kind.out.pop_front()) {
    const Response& response = kind.out.front();
    last = response.nonce == heard.nonce;
    if (response.leased) {
      trust(stream, now - response.at, now);
    }
    const bool taken = !last || !heard.turned_down;
    taken ? ++counts_.taken : ++counts_.turned_down;
    for (const auto& [name, held] : response.sent) {
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
      kind.clean_at = 0;
    }
    if (!taken) {
      notices_.push_back({id, "turned down", heard.turned_down->substr(0, kLongestReason)});
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
    stream.distrusted_until = now + kDistrust;
  }
}

void Subscriptions::ask(Stream& stream, OfKind& kind, const SubscriptionRequest& heard) {
  const bool first = !std::exchange(kind.asked, true);
  // Most answers ask for what was asked for before. (One that repeats names is told of more than it asks
  // for.)
  const bool same = stream.form == Form::changes
                        ? heard.names.empty()
                        : heard.names.size() == kind.names.size() &&
                              std::ranges::all_of(heard.names, [&kind](const std::string& name) {
                                return kind.names.contains(name);
                              });
  if (!first && same && heard.no_more.empty()) {
    return;
  }
  kind.clean_at = 0;
  if (stream.form == Form::whole) {
    std::set<std::string> names(heard.names.begin(), heard.names.end());
    // No names at first: everything, as long as none are named. "*" says so in words.
    kind.all = names.erase("*") > 0 || (names.empty() && (first || kind.all));
    stream.name_count += names.size() - kind.names.size();
    // What is asked for again after it was not is to be sent again.
    std::erase_if(kind.has, [&](const auto& item) { return !kind.all && !names.contains(item.first); });
    kind.names = std::move(names);
  } else {
    if (first && heard.names.empty()) {
      kind.all = true;
    }
    for (const std::string& name : heard.names) {
      if (name == "*") {
        kind.all = true;
        continue;
      }
      stream.name_count += kind.names.insert(name).second;
      kind.told_missing.erase(name);
      // Asked for again: it is told again, unless it came with it.
      if (!first) {
        kind.has.erase(name);
      }
    }
    for (const std::string& name : heard.no_more) {
      if (name == "*") {
        kind.all = false;
      }
      stream.name_count -= kind.names.erase(name);
      if (!kind.all) {
        kind.has.erase(name), kind.told_missing.erase(name);
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
void Subscriptions::come_with(Stream& stream, OfKind& kind, const SubscriptionRequest& heard) {
  if (kind.asked || heard.holds.empty()) {
    return;
  }
  const Current* current = standing_for(stream);
  const ResourceSnapshot* offer = current ? current->offer.get() : nullptr;
  std::size_t counted = 0;
  for (const auto& [name, text] : heard.holds) {
    if (name.size() > bounds_.name_length || ++counted > bounds_.names) {
      return void(stream.end = "it comes with too much");
    }
    const auto version = version_in(text);
    if (!version) {
      continue;
    }
    stream.must_reach = std::max(stream.must_reach, version->revision);
    stream.returns |= version->service == service_;
    Has& has = kind.has[name];
    if (!offer) {
      continue;
    }
    const auto& resources = offer->resources[static_cast<std::size_t>(heard.kind)];
    const auto known = resources.find(name);
    if (known != resources.end() && version_of(*known->second, epoch_, service_) == text &&
        known->second->until < 0) {
      has.sent = has.taken = known->second;
    }
  }
}

// What the proxy is to have under a name; null: nothing.
Held Subscriptions::wanted(const Stream& stream, Kind kind, const ResourceSnapshot& offer,
                           const std::string& name) const {
  const OfKind& of_kind = of(stream, kind);
  if (!of_kind.all && !of_kind.names.contains(name)) {
    return nullptr;
  }
  const auto& resources = offer.resources[static_cast<std::size_t>(kind)];
  if (const auto found = resources.find(name); found != resources.end()) {
    return found->second;
  }
  if (kind != Kind::clusters || !of_kind.all) {
    return nullptr;
  }
  // Break only after make: a cluster that routes still lead to, as far as the proxy has taken, stays.
  const auto kept = of_kind.has.find(name);
  if (kept == of_kind.has.end() || !kept->second.sent) {
    return nullptr;
  }
  for (const auto& [routes, has] : of(stream, Kind::routes).has) {
    for (const Held& held : {has.sent, has.taken}) {
      if (held && clusters_in(*held).contains(name)) {
        return kept->second.sent;
      }
    }
  }
  return nullptr;
}

std::set<std::string> Subscriptions::all_names(const Stream& stream, Kind kind,
                                               const ResourceSnapshot& offer) const {
  const OfKind& of_kind = of(stream, kind);
  std::set<std::string> names = of_kind.names;
  for (const auto& [name, has] : of_kind.has) {
    names.insert(name);
  }
  if (of_kind.all) {
    for (const auto& [name, held] : offer.resources[static_cast<std::size_t>(kind)]) {
      names.insert(name);
    }
  }
  return names;
}

// Make before break: routes wait until the proxy has taken the clusters they lead to, and what stands in
// those. Only for proxies that take every cluster there is; others ask for clusters when they have seen the
// routes.
bool Subscriptions::waits_for_clusters(const Stream& stream, const ResourceSnapshot& offer) const {
  const OfKind& clusters = of(stream, Kind::clusters);
  const OfKind& endpoints = of(stream, Kind::endpoints);
  if (!clusters.asked || !clusters.all) {
    return false;
  }
  for (const auto& [name, routes] : offer.resources[static_cast<std::size_t>(Kind::routes)]) {
    for (const std::string& cluster : clusters_in(*routes)) {
      const auto has = clusters.has.find(cluster);
      if (has == clusters.has.end() || !has->second.taken) {
        return true;
      }
      const auto of_cluster = endpoints.has.find(cluster);
      const bool asked = endpoints.names.contains(cluster);
      if (asked && !offer.withheld.contains(cluster) &&
          (of_cluster == endpoints.has.end() || !of_cluster->second.taken)) {
        return true;
      }
    }
  }
  return false;
}

std::optional<Write> Subscriptions::difference(StreamId id, Stream& stream, Kind kind, const Current& current,
                                               bool urgent_only, Millis now) {
  const ResourceSnapshot& offer = *current.offer;
  const std::size_t place = static_cast<std::size_t>(kind);
  OfKind& has = of(stream, kind);
  if (!has.asked || has.out.size() >= (urgent_only ? kUnanswered : 1)) {
    return std::nullopt;
  }
  const bool full = stream.form == Form::whole && whole_state(kind);
  const std::optional<std::set<std::string>> since = changed(has, place, current);
  if (since && since->empty()) {
    if (!urgent_only) {
      has.clean_at = current.serial;
    }
    return std::nullopt;
  }
  if (!urgent_only && kind == Kind::routes && waits_for_clusters(stream, offer)) {
    return std::nullopt;
  }
  if (!urgent_only && now < has.pause_until) {
    return look_again(stream, has.pause_until), std::nullopt;
  }

  Write write{id, kind, {}, {}, {}, {}, false};
  bool differs = false;
  bool renews = false;
  bool cut = false;
  std::vector<std::string> missing;
  for (const std::string& name : since && !full ? *since : all_names(stream, kind, offer)) {
    const auto found = has.has.find(name);
    const Has* of_name = found == has.has.end() ? nullptr : &found->second;
    const Held held = wanted(stream, kind, offer, name);
    if (!held) {
      // Asked for and not there: told once, where the form has words for it. What is only withheld is not
      // gone.
      const bool told =
          stream.form == Form::changes && (has.told_missing.contains(name) || !has.names.contains(name));
      if (!offer.withheld.contains(name) && (of_name || (stream.form == Form::changes && !told))) {
        missing.push_back(name);
      }
      continue;
    }
    const Held sent = of_name ? of_name->sent : nullptr;
    const bool leased = stream.abilities.expiry == Expiry::time_to_live && held->until >= 0;
    const Millis time_to_live = leased ? std::max(1.0, held->until - now - bounds_.transit) : -1;
    const bool same = sent && sent->version == held->version;
    const bool renewed = same && leased && held->until > sent->until;
    // What has been turned down is not tried as it is; only another one is.
    const bool again = !full && of_name && of_name->turned_down == held->version;
    if ((same && !renewed && !full) || again) {
      continue;
    }
    const bool urgent = kind == Kind::endpoints && sent && held->revoked > sent->version;
    if (urgent_only && !urgent) {
      continue;
    }
    differs |= !same, renews |= renewed, write.urgent |= urgent;
    write.items.push_back({held, time_to_live, full || !renewed});
  }
  if (urgent_only && !write.urgent) {
    return std::nullopt;
  }
  if (!full && write.items.size() > kOfOneResponse) {
    // The last changes first: of what a proxy that comes back lacks, those are the ones it can't know.
    std::ranges::stable_sort(write.items, std::greater(),
                             [](const Write::Item& item) { return item.resource->version; });
    write.items.resize(kOfOneResponse);
    cut = true;
  }
  if (!urgent_only) {
    for (const std::string& name : missing) {
      if (stream.form == Form::changes && write.removed.size() >= kOfOneResponse) {
        cut = true;
        break;
      }
      if (stream.form == Form::changes) {
        write.removed.push_back(name), has.told_missing.insert(name);
      }
      has.has.erase(name);
    }
    differs |= !write.removed.empty() || (full && !missing.empty());
    // What is written now leaves nothing lacking but for an answer.
    has.clean_at = cut ? 0 : current.serial;
  }
  if (!(differs || renews) || (full && write.items.empty())) {
    return std::nullopt;
  }
  // Turned down as it stood, the whole state is sent again only when it has become another.
  if (full && has.whole == offer.versions[place] && has.pause > 0) {
    return std::nullopt;
  }
  has.whole = offer.versions[place];
  write.version = text_of({offer.revision, epoch_, offer.versions[place], service_});
  write.nonce = has.last_nonce = fmt::format("{}.{}", id.number, ++stream.nonces);
  Response response{write.nonce, now, false, {}};
  for (const Write::Item& item : write.items) {
    Has& of_name = has.has[item.resource->name];
    if (item.resource->version != of_name.turned_down) {
      of_name.turned_down = 0;
    }
    of_name.sent = item.resource;
    response.leased |= item.time_to_live >= 0;
    response.sent.emplace(item.resource->name, item.resource);
  }
  has.out.push_back(std::move(response));
  return write;
}

std::optional<Write> Subscriptions::difference(StreamId id, Stream& stream, bool urgent_only, Millis now) {
  // Trust is lost when answers come late, and comes back by itself.
  const bool trusted = now >= stream.distrusted_until;
  const Abilities abilities =
      trusted ? stream.can : Abilities{Expiry::none, stream.can.weighs, false, stream.can.elder};
  if (abilities != stream.abilities) {
    notices_.push_back({id, trusted ? "trusted with leases" : "not trusted with leases",
                        trusted ? "" : "its answers come late"});
    stream.abilities = abilities;
    for (OfKind& kind : stream.kinds) {
      kind.clean_at = 0;
    }
    look_again(stream, now);
  }
  if (!trusted) {
    look_again(stream, stream.distrusted_until);
  }
  const Current* current = standing_for(stream);
  if (!current) {
    return std::nullopt;
  }
  const ResourceSnapshot* offer = current->offer.get();
  // Guards against bringing a drained member back: a proxy that comes from another service, or from before a
  // crash, and knows a newer list than ours keeps what it has until we know as much.
  if (offer->revision < stream.must_reach) {
    if (now < stream.opened + bounds_.behind) {
      return look_again(stream, stream.opened + bounds_.behind), std::nullopt;
    }
    notices_.push_back(
        {id, "older list told", fmt::format("ours {}, the proxy's {}", offer->revision, stream.must_reach)});
    stream.must_reach = 0;
  }
  // A proxy that comes back has clusters and routes already. What it must hear soonest is who has been taken
  // away since, so its endpoints go first, if it asks for any within a moment.
  const bool endpoints_first =
      stream.returns && of(stream, Kind::endpoints).last_nonce.empty() && now < stream.opened + kMoment;
  if (endpoints_first) {
    look_again(stream, stream.opened + kMoment);
  }
  const bool endpoints_only = urgent_only || endpoints_first;
  for (const Kind kind : endpoints_only
                             ? std::vector{Kind::endpoints}
                             : std::vector{Kind::clusters, Kind::endpoints, Kind::listeners, Kind::routes}) {
    if (auto write = difference(id, stream, kind, *current, urgent_only, now)) {
      return write;
    }
  }
  return std::nullopt;
}

// Guards against proxies that don't read, or don't answer: each costs a few responses in hand, and not for
// ever.
void Subscriptions::judge_slow(Stream& stream, Millis now) {
  Millis since = stream.writing ? stream.written_at : now;
  for (const OfKind& kind : stream.kinds) {
    if (!kind.out.empty()) {
      since = std::min(since, kind.out.front().at);
    }
  }
  if (since == now) {
    return;
  }
  if (now - since >= bounds_.unread) {
    stream.end = stream.writing ? "it does not read" : "it does not answer";
  } else {
    look_again(stream, since + bounds_.unread);
  }
}

// What takes something away goes out first, to every proxy; then a bounded part of the rest.
std::vector<Act> Subscriptions::settle(Millis now) {
  std::vector<Act> acts;
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
        look_again(stream, now);
        continue;
      }
      auto write = difference(id, stream, urgent, now);
      if (!write) {
        if (!urgent) {
          stream.dirty = false;
        }
        continue;
      }
      ++written, ++counts_.responses, counts_.urgent += urgent;
      stream.writing = true, stream.written_at = now;
      acts.emplace_back(std::in_place_type<Write>, std::move(*write));
    }
  }
  due_ = -1;
  for (auto& [id, stream] : streams_) {
    if (!stream.end) {
      judge_slow(stream, now);
    }
    if (stream.end && !stream.end->empty()) {
      acts.emplace_back(std::in_place_type<End>, End{id, *stream.end});
      stream.end = "";
    }
    if (!stream.end && stream.again >= 0) {
      due_ = due_ < 0 ? stream.again : std::min(due_, stream.again);
    }
  }
  for (Notice& notice : std::exchange(notices_, {})) {
    acts.emplace_back(std::in_place_type<Notice>, std::move(notice));
  }
  return acts;
}

}  // namespace reedspindle::control
