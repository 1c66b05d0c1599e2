// Latencies of the latest answers, by request class and by server, and the share of long-running work.
#pragma once

#include <deque>
#include <map>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_options.hpp"

namespace reedspindle::routing {

// Collects latencies. All latencies are in milliseconds.
class LatencyStats {
 public:
  // Records the latency of an attempt that was answered or timed out.
  void record(Server& server, RequestClassId id, const RequestClass& request_class, Millis latency);

  // Returns the upper quartile of the latest answers of a class; 0 if there are none.
  [[nodiscard]] Millis upper_quartile(RequestClassId id) const;

  // Returns the upper quartile of a server's latest answers to requests that are not long-running, or that of
  // all servers if this one has given none.
  [[nodiscard]] Millis usual_answer_time(const Server& server) const;

  // Returns the share of long-running requests in all recent work, weighted by latency; at most one half.
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
