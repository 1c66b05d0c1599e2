// The replies that one client connection still has to get, in the order of its commands (pipelining). Has no
// I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "net/buffer.hpp"
#include "routing/router.hpp"

namespace reedspindle::proxy {

// Queues replies. Commands are handled concurrently, but their replies are sent in order. The bytes of
// complete replies that wait behind others are charged to a budget shared by all connections, so that clients
// can't make this instance use too much memory.
class PendingReplies {
 public:
  explicit PendingReplies(net::MemoryBudget& budget) : budget_(budget) {}
  ~PendingReplies();
  PendingReplies(const PendingReplies&) = delete;
  PendingReplies& operator=(const PendingReplies&) = delete;

  // Adds a command that was answered at once, with its reply.
  void add_complete(std::string bytes);
  // Add a command whose reply is completed later: the answer to a request, or to a readiness check.
  void add_request(RequestId request);
  void add_readiness();

  // Completes the reply to a request. If it has to wait behind other replies and the budget is used up, the
  // substitute is kept in its place.
  void complete(RequestId request, std::string bytes, const std::string& substitute);
  // Completes the replies to all readiness checks.
  void complete_readiness(const std::string& bytes);

  // Removes complete replies from the front of the queue, and returns their bytes; empty if the first reply
  // is not complete. It stops after the reply with which the bytes reach the size of the longest value.
  std::string take_complete();

  // Returns the requests whose replies are not complete, in order.
  [[nodiscard]] std::vector<RequestId> open_requests() const;
  [[nodiscard]] std::size_t size() const { return replies_.size(); }
  [[nodiscard]] bool empty() const { return replies_.empty(); }

 private:
  struct Reply {
    std::optional<RequestId> request = std::nullopt;  // none: a readiness check, or complete
    bool complete = false;
    std::string bytes = {};
    std::size_t charged = 0;  // bytes taken from the budget
  };

  // Charges a complete reply to the budget, or puts the substitute in its place.
  void charge(Reply& reply, const std::string& substitute);

  net::MemoryBudget& budget_;
  std::deque<Reply> replies_;
};

}  // namespace reedspindle::proxy
