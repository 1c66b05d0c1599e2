// Latencies of the last answers: by class, of each server, and the share of long-running work.
#pragma once

#include <deque>
#include <map>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_options.hpp"

namespace reedspindle::routing {

// All latencies are in milliseconds.
class LatencyStats {
 public:
  void record(Server& server, RequestClassId id, const RequestClass& request_class, Millis latency);

  // The upper quartile of the last answers of a class; 0 where there are none.
  [[nodiscard]] Millis upper_quartile(RequestClassId id) const;

  // The upper quartile of a server's last short answers, or of all servers' where it has given none.
  [[nodiscard]] Millis usual_answer_time(const Server& server) const;

  // The share of long-running requests in all recent work, by latency; at most one half.
  [[nodiscard]] double long_running_share() const;

 private:
  struct Work {
    bool long_running = false;
    Millis latency = 0;
  };

  std::map<RequestClassId, std::deque<Millis>> by_class_;
  std::map<RequestClassId, Millis> upper_quartiles_;
  std::deque<Millis> short_latencies_;  // of requests that are not long-running, at any server
  std::deque<Work> work_;
};

}  // namespace reedspindle::routing
