// The windows are short enough to follow a change of load.
#include "routing/latency_stats.hpp"

#include <algorithm>
#include <cstddef>

#include "routing/recent_values.hpp"

namespace reedspindle::routing {
namespace {

constexpr std::size_t kAnswersPerClass = 32;
constexpr std::size_t kAnswersPerServer = 16;
constexpr std::size_t kAnswersOfAllServers = 32;
constexpr std::size_t kWorkItems = 256;
constexpr double kUpperQuartile = 0.75;
constexpr Millis kUnknownAnswerTime = 100;
constexpr double kMaxLongRunningShare = 0.5;

}  // namespace

void LatencyStats::record(Server& server, RequestClassId id, const RequestClass& request_class,
                          Millis latency) {
  std::deque<Millis>& of_class = by_class_[id];
  keep_last(of_class, latency, kAnswersPerClass);
  upper_quartiles_[id] = quantile(of_class, kUpperQuartile, 0);
  keep_last(work_, {request_class.long_running, latency}, kWorkItems);
  if (!request_class.long_running) {
    keep_last(server.recent_latencies, latency, kAnswersPerServer);
    keep_last(short_latencies_, latency, kAnswersOfAllServers);
  }
}

Millis LatencyStats::upper_quartile(RequestClassId id) const {
  const auto found = upper_quartiles_.find(id);
  return found == upper_quartiles_.end() ? 0 : found->second;
}

Millis LatencyStats::usual_answer_time(const Server& server) const {
  const auto& latencies = server.recent_latencies.empty() ? short_latencies_ : server.recent_latencies;
  return quantile(latencies, kUpperQuartile, kUnknownAnswerTime);
}

double LatencyStats::long_running_share() const {
  Millis total = 1;  // avoids a division by zero
  Millis long_running = 0;
  for (const Work& work : work_) {
    total += work.latency;
    long_running += work.long_running ? work.latency : 0;
  }
  return std::min(kMaxLongRunningShare, long_running / total);
}

}  // namespace reedspindle::routing
