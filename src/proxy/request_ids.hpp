// The ids of requests that clients have chosen. Has no I/O and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/types.hpp"

namespace reedspindle::proxy {

// Knows which ids are taken: those of the open requests, and those of ended requests that may have had an
// effect, until their time is over. A client that sends such a request again under the same id would make it
// run twice: a new id comes with every request, also with a client's own retry.
class RequestIds {
 public:
  // At most `max_ended` ids of ended requests are kept, the latest ones.
  explicit RequestIds(std::size_t max_ended) : max_ended_(max_ended) {}

  [[nodiscard]] bool is_open(std::string_view id) const { return open_.contains(id); }
  [[nodiscard]] bool has_ended(std::string_view id, Millis now) const;

  // Takes the id of a request that is open from now on.
  void add(std::string_view id) { open_.emplace(id); }
  // Records that the request has ended without an effect.
  void remove(const std::string& id) { open_.erase(id); }
  // Records that the request has ended, and may have had an effect. Its id is taken until then.
  void remove(const std::string& id, Millis now, Millis taken_until);

 private:
  struct Ended {
    std::uint64_t hash = 0;
    Millis taken_until = 0;
  };

  void forget_ended(Millis now);

  const std::size_t max_ended_;
  std::set<std::string, std::less<>> open_;
  std::unordered_map<std::uint64_t, Millis>
      ended_;                         // by the hash of the id, which is short whatever clients send
  std::deque<Ended> ended_in_order_;  // of their ends
};

}  // namespace reedspindle::proxy
