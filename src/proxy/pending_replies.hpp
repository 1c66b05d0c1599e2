// The replies that one client connection is owed, in the order of its commands (pipelining). Free of I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "net/buffer.hpp"
#include "routing/router.hpp"

namespace reedspindle::proxy {

// Commands are handled side by side; their replies leave in order. Bytes of replies that wait behind others
// are charged to a budget shared by all connections, so that clients can't make the front hold too much.
class PendingReplies {
 public:
  explicit PendingReplies(net::MemoryBudget& budget) : budget_(budget) {}
  ~PendingReplies();
  PendingReplies(const PendingReplies&) = delete;
  PendingReplies& operator=(const PendingReplies&) = delete;

  // A command that was answered on the spot.
  void add_complete(std::string bytes);
  // A command whose reply comes later: that of a request, or that the front is ready.
  void add_request(RequestId request);
  void add_readiness();

  // The reply of a command that was added before. If it has to wait behind others and the budget is used
  // up, the substitute is kept in its place.
  void complete(RequestId request, std::string bytes, const std::string& substitute);
  void complete_readiness(const std::string& bytes);

  // Removes replies from the front of the queue for as long as they are complete and make up less than one of
  // the longest; empty: the next one is not complete.
  std::string take_complete();

  [[nodiscard]] std::vector<RequestId> open_requests() const;
  [[nodiscard]] std::size_t size() const { return replies_.size(); }
  [[nodiscard]] bool empty() const { return replies_.empty(); }

 private:
  struct Reply {
    std::optional<RequestId> request = std::nullopt;  // none: of readiness, or answered on the spot
    bool complete = false;
    std::string bytes = {};
    std::size_t charged = 0;  // bytes taken from the budget
  };

  void charge(Reply& reply, const std::string& substitute);

  net::MemoryBudget& budget_;
  std::deque<Reply> replies_;
};

}  // namespace reedspindle::proxy
