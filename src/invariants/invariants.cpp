#include "invariants/invariants.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace reedspindle::invariants {

namespace {
// Retention of finished requests and of tokens. No event about them can still be in flight after this time.
constexpr Millis kRetention = 30000;
// Adds three standard deviations of a Poisson count, since an instance that picks servers at random may
// exceed the budget of a cold server by chance.
double with_statistical_margin(double allowed) { return allowed + 3 * std::sqrt(allowed) + 3; }
}  // namespace

const char* description_of(Rule rule) {
  constexpr const char* descriptions[] = {"response guarantee violated", "effect applied more than once",
                                          "request sent to a draining server", "cold server overloaded",
                                          "stale read"};
  return descriptions[static_cast<int>(rule)];
}

std::vector<Violation> InvariantChecker::check(Millis now) {
  now_ = now;
  for (const Event& event : std::exchange(pending_events_, {})) {
    std::visit([this](const auto& recorded) { apply(recorded); }, event);
  }
  std::vector<std::string> overdue;
  for (const std::string& id : open_requests_) {
    const RequestState& state = requests_.at(id);
    if (!paused_since_.contains(state.received.instance) && now > state.deadline + options_.slack) {
      overdue.push_back(id);
    }
  }
  for (const std::string& id : overdue) {
    RequestState& state = requests_.at(id);
    report(Rule::response_guarantee, id, state.received.instance, {}, now,
           fmt::format("no final response {:.0f} ms after the request was received; timeout: {:.0f} ms, "
                       "attempts sent: {}",
                       now - state.received.at, state.received.timeout, state.sends.size()));
    finish(state, now);
  }
  while (!ended_requests_.empty() && now - ended_requests_.front().first > kRetention) {
    requests_.erase(ended_requests_.front().second);
    ended_requests_.pop_front();
  }
  while (!tokens_by_age_.empty() && now - tokens_by_age_.front().first > kRetention) {
    effects_by_token_.erase(tokens_by_age_.front().second);
    tokens_by_age_.pop_front();
  }
  return std::exchange(violations_, {});
}

void InvariantChecker::report(Rule rule, const std::string& request, InstanceIndex instance,
                              ServerIndex server, Millis at, std::string details) {
  violations_.push_back({rule, request, instance, server, at, std::move(details)});
}

void InvariantChecker::apply(const RequestArrived& received) {
  if (requests_.contains(received.request)) {
    return;
  }
  requests_[received.request] = {received, received.at + received.timeout, -1, 0, 0, {}};
  open_requests_.insert(received.request);
}

void InvariantChecker::apply(const RequestSent& sent) {
  // A send after the final response violates the rule even if the server ignores the request.
  if (const auto entry = requests_.find(sent.request); entry != requests_.end()) {
    RequestState& state = entry->second;
    state.sends.push_back(sent);
    if (state.ended_at >= 0 && state.responses > 0 && sent.at > state.ended_at + options_.reorder_tolerance) {
      report(Rule::response_guarantee, sent.request, sent.instance, sent.server, sent.at,
             fmt::format("sent {:.0f} ms after the final response", sent.at - state.ended_at));
    }
  }
  const auto& listed = listings_[sent.instance];
  const auto listing = listed.find(sent.server);
  if (listing != listed.end() && !listing->second.accepts_requests &&
      sent.at >
          listing->second.since + options_.drain_grace + options_.drain_slack.value_or(options_.slack)) {
    report(Rule::send_while_draining, sent.request, sent.instance, sent.server, sent.at,
           fmt::format("sent {:.0f} ms after the instance learned of the drain",
                       sent.at - listing->second.since));
  }
  const auto started = started_at_.find(sent.server);
  if (started == started_at_.end() || sent.at > started->second + options_.slow_start_window) {
    return;
  }
  cold_sends_[sent.server].emplace_back(
      sent.at,
      listing != listed.end() && listing->second.started_at >= started->second - options_.reorder_tolerance);
  check_cold_server_load(sent.server, sent.at);
}

double InvariantChecker::slow_start_fraction(Millis since, Millis at) const {
  const double progress = std::clamp((at - since) / options_.slow_start_window, 0.0, 1.0);
  return options_.slow_start_minimum + (1 - options_.slow_start_minimum) * progress;
}

void InvariantChecker::check_cold_server_load(ServerIndex server, Millis now) {
  std::deque<std::pair<Millis, bool>>& sends = cold_sends_[server];
  const Millis since = started_at_.at(server);
  while (!sends.empty() && sends.front().first < now - options_.overload_window) {
    sends.pop_front();
  }
  // The capacity of a cold server grows linearly, so its average over the window is the value at the
  // midpoint.
  const Millis from = std::max(since, now - options_.overload_window);
  const double allowed = options_.slow_start_multiple * options_.capacity *
                         slow_start_fraction(since, (from + now) / 2) * options_.overload_window / 1000;
  const auto informed = std::ranges::count(sends, true, &std::pair<Millis, bool>::second);
  if (static_cast<double>(sends.size()) <= with_statistical_margin(allowed) ||
      3 * informed <= 2 * std::ssize(sends)) {
    return;
  }
  report(Rule::cold_server_overload, "", {}, server, now,
         fmt::format("{} requests in {:.0f} ms, {:.0f} ms after the server started; allowed: {:.0f}",
                     sends.size(), options_.overload_window, now - since, allowed));
  started_at_.erase(server);  // reports each start of a server at most once
  sends.clear();
}

void InvariantChecker::apply(const RequestProcessed& processed) {
  if (processed.effect && !processed.token.empty()) {
    auto& [count, first] = effects_by_token_[processed.token];
    if (++count == 1) {
      tokens_by_age_.emplace_back(first = now_, processed.token);
    }
    if (count > 1) {
      report(Rule::duplicate_effect, processed.request, {}, processed.server, now_,
             fmt::format("token {} has already been applied", processed.token));
    }
  }
  const auto entry = requests_.find(processed.request);
  if (entry == requests_.end()) {
    return;
  }
  RequestState& state = entry->second;
  const RequestArrived& received = state.received;
  if (processed.effect && processed.token.empty() && ++state.effects > 1) {
    report(Rule::duplicate_effect, processed.request, received.instance, processed.server, now_,
           "the request has already been applied");
  }
  if (received.needs == Needs::bounded &&
      processed.position < processed.sent - received.max_age - options_.slack) {
    report(Rule::stale_read, processed.request, received.instance, processed.server, now_,
           fmt::format("data was {:.0f} ms old when the request was sent; allowed: {:.0f} ms",
                       processed.sent - processed.position, received.max_age));
  }
  if (received.needs == Needs::session && processed.position + 1 < received.required_position) {
    report(Rule::stale_read, processed.request, received.instance, processed.server, now_,
           fmt::format("the server was {:.0f} ms behind the last write of the session",
                       received.required_position - processed.position));
  }
}

void InvariantChecker::apply(const ResponseSent& response) {
  const auto entry = requests_.find(response.request);
  if (entry == requests_.end()) {
    return;
  }
  RequestState& state = entry->second;
  if (++state.responses > 1) {
    report(Rule::response_guarantee, response.request, state.received.instance, {}, response.at,
           "second final response");
  }
  if (response.kind == ResponseKind::acknowledged && !response.own_result) {
    report(Rule::response_guarantee, response.request, state.received.instance, {}, response.at,
           "acknowledged with a result that no server produced for this request");
  }
  if (state.ended_at >= 0) {
    return;
  }
  if (response.at > state.deadline + options_.slack) {
    report(Rule::response_guarantee, response.request, state.received.instance, {}, response.at,
           fmt::format("response {:.0f} ms late", response.at - state.deadline));
  }
  finish(state, response.at);
}

void InvariantChecker::apply(const ConnectionClosed& closed) {
  const auto entry = requests_.find(closed.request);
  if (entry == requests_.end() || entry->second.ended_at >= 0) {
    return;
  }
  report(Rule::response_guarantee, closed.request, entry->second.received.instance, {}, closed.at,
         "connection closed without a final response");
  finish(entry->second, closed.at);
}

void InvariantChecker::apply(const ClientDisconnected& disconnected) {
  if (const auto entry = requests_.find(disconnected.request); entry != requests_.end()) {
    finish(entry->second, now_);
  }
}

void InvariantChecker::finish(RequestState& state, Millis at) {
  if (state.ended_at >= 0) {
    return;
  }
  state.ended_at = at;
  open_requests_.erase(state.received.request);
  ended_requests_.emplace_back(now_, state.received.request);
}

void InvariantChecker::apply(const InstanceKilled& killed) {
  for (const std::string& id : std::set<std::string>(open_requests_)) {
    if (RequestState& state = requests_.at(id); state.received.instance == killed.instance) {
      finish(state, now_);
    }
  }
  listings_.erase(killed.instance);
  paused_since_.erase(killed.instance);
}

void InvariantChecker::apply(const InstancePaused& pause) { paused_since_.emplace(pause.instance, pause.at); }

// A paused instance can do nothing: deadlines and drain notices that fall into the pause count from its end.
void InvariantChecker::apply(const InstanceResumed& resumed) {
  const auto pause = paused_since_.find(resumed.instance);
  if (pause == paused_since_.end()) {
    return;
  }
  for (const std::string& id : open_requests_) {
    if (RequestState& state = requests_.at(id); state.received.instance == resumed.instance) {
      state.deadline = std::max(state.deadline, resumed.at);
    }
  }
  for (auto& [server, listing] : listings_[resumed.instance]) {
    if (listing.since + options_.drain_grace > pause->second) {
      listing.since = std::max(listing.since, resumed.at);
    }
  }
  paused_since_.erase(pause);
}

void InvariantChecker::apply(const ListingDelivered& delivered) {
  Listing& listing = listings_[delivered.instance][delivered.server];
  if (listing.accepts_requests != delivered.accepts_requests) {
    listing.since = delivered.at;
  }
  listing.accepts_requests = delivered.accepts_requests, listing.started_at = delivered.started_at;
}

void InvariantChecker::apply(const ServerStarted& started) {
  started_at_[started.server] = started.at;
  cold_sends_[started.server].clear();
}

}  // namespace reedspindle::invariants
