// A complete list replaces the state of all servers; a list of changes affects only the servers that it
// names.
#include "routing/endpoint_list.hpp"

#include <algorithm>

#include "routing/replica_samples.hpp"

namespace reedspindle::routing {
namespace {

// Milliseconds after which a server that is gone is deleted: no event that names it can arrive that late.
constexpr Millis kForgetAfter = 30000;
// The maximum number of servers checked for deletion in one batch, which must stay short even if thousands of
// servers go at once.
constexpr int kForgottenPerBatch = 64;
// The position of a new server in the selection order is drawn from this range before the latest selection.
constexpr double kSelectionSpread = 100;

}  // namespace

void EndpointLists::handle_endpoint_list(const EndpointListReceived& list) {
  const bool complete = list.kind != EndpointListKind::changes;
  if (complete) {
    for (auto& [id, server] : registry_.servers()) {
      const ServerState before = std::exchange(server.entry.state, ServerState::gone);
      server.was_gone = before == ServerState::gone;
    }
  }
  for (const ServerEntry& entry : list.servers) {
    apply(entry, complete);
  }
  if (complete) {
    for (auto& [id, server] : registry_.servers()) {
      update_listing(server);
    }
  }
  forget_gone();
}

void EndpointLists::apply(const ServerEntry& entry, bool complete) {
  const auto [position, is_new] = registry_.servers().try_emplace(entry.id);
  Server& server = position->second;
  if (!complete) {
    server.was_gone = server.entry.state == ServerState::gone && !is_new;
  }
  server.entry = entry;
  Group& group = registry_.mark_changed(entry.group);
  if (server.group != &group) {
    if (server.group) {
      std::erase(server.group->servers, &server);
    }
    server.group = &group;
    if (is_new) {
      add(server);
    } else {
      insert_into_group(server);
    }
  }
  if (entry.state != ServerState::gone) {
    server.draining = entry.state == ServerState::draining;
  }
  if (entry.started_at > server.cold_since && entry.started_at > 0) {
    server.cold_since = entry.started_at;
    server.next_probe_at = context_.now;
  }
  if (!complete) {
    update_listing(server);
  }
}

// Draws the slow-start credit and the position in the selection order at random, so that instances neither
// all begin with the same server nor all spend their credit at the same time.
void EndpointLists::add(Server& server) {
  const ServerId& id = server.entry.id;
  server.listed_at = context_.now;
  server.address_hash = hash_address(id);
  std::erase(forgotten_, id);
  registry_.index_address_hash(server);
  insert_into_group(server);
  server.concurrency_limit = limits_.initial_limit();
  slow_start_.add(server, context_.draw());
  const auto back = static_cast<long>(kSelectionSpread * context_.draw());
  server.last_selected = registry_.last_selection() - back;
}

// Called once a list has named the server or has omitted it.
void EndpointLists::update_listing(Server& server) {
  slow_start_.update_capacity(server);
  const bool gone = server.entry.state == ServerState::gone;
  if (!gone || std::exchange(server.was_gone, true) || !context_.options.gone_is_excluded) {
    return;
  }
  // A server that was already gone when it was first listed is deleted at once.
  const bool was_in_use = server.listed_at < context_.now || server.in_flight > 0;
  server.gone_since = was_in_use ? context_.now : context_.now - kForgetAfter;
  gone_.emplace(server.gone_since, server.entry.id);
}

// Deletes servers that have been gone for long, so that memory does not grow where servers are replaced
// continually.
void EndpointLists::forget_gone() {
  const Millis now = context_.now;
  for (int count = 0; count < kForgottenPerBatch; ++count) {
    if (gone_.empty() || now - gone_.begin()->first < kForgetAfter) {
      return;
    }
    const auto [since, id] = *gone_.begin();
    gone_.erase(gone_.begin());
    const auto found = registry_.servers().find(id);
    if (found == registry_.servers().end()) {
      continue;
    }
    Server& server = found->second;
    if (server.entry.state != ServerState::gone || server.gone_since != since) {
      continue;
    }
    if (server.in_flight > 0 || server.probe_sent_at != kNever) {
      server.gone_since = now;
      gone_.emplace(now, id);
      continue;
    }
    forget(server);
  }
}

void EndpointLists::forget(Server& server) {
  registry_.mark_changed(server);
  exchange_.remove(server);
  slow_start_.remove(server);
  forgotten_.push_back(server.entry.id);
  registry_.remove(server);
}

}  // namespace reedspindle::routing
