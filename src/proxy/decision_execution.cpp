// Executes the decisions of the router. Decisions lead to I/O nowhere else.
#include <fmt/format.h>

#include "proxy/proxy_server.hpp"

namespace reedspindle::proxy {

void ProxyServer::execute(const StartAttempt& decision) {
  const auto found = requests_.find(decision.request);
  if (found == requests_.end()) {
    return;  // the request has ended; the event for the router is still queued
  }
  Request& request = found->second;
  const int number = request.attempts++;
  if (log_.enabled(logging::LogLevel::debug)) {
    log_.debug("requests", "attempt started",
               {{"request_id", request.id},
                {"attempt", number},
                {"server", decision.server.address},
                {"elapsed_ms", clock_.now() - request.arrived}});
  }
  connection_pool_.start_attempt(decision.request, decision, last_run_, {number}, request.text,
                                 request.remaining_span);
}

void ProxyServer::execute(const CancelAttempt& decision) {
  connection_pool_.cancel_attempt(decision.request, decision.attempt);
}

void ProxyServer::execute(const RejectRequest& decision) {
  const std::string retry_after = decision.retry_after > 0 ? fmt::format("{:.0f}", decision.retry_after) : "";
  complete_request(decision.request,
                   net::ChargedText(postgres::error_reply({"53300", "busy, try again"}, retry_after)),
                   "rejected", Effect::none);
}

void ProxyServer::execute(const FailRequest& decision) {
  complete_request(decision.request,
                   net::ChargedText(postgres::error_reply({"58000", "no store has answered in time"})),
                   "timed out");
}

void ProxyServer::execute(const SetTimer& decision) {
  timers_.set(decision.at, [this, timer = decision.timer] { enqueue(TimerExpired{timer}); });
}

void ProxyServer::execute(const StartProbe& decision) {
  connection_pool_.probe(decision.server, decision.timeout);
}

void ProxyServer::execute(const WatchEndpoints& /*unused*/) { discovery_client_.start(); }

void ProxyServer::execute(const ForgetServer& decision) { connection_pool_.forget(decision.server); }

void ProxyServer::execute(const BroadcastToPeers& decision) { peer_socket_.broadcast(decision.text); }

void ProxyServer::execute(const LogMessage& decision) { log_.info("routing", decision.text); }

}  // namespace reedspindle::proxy
