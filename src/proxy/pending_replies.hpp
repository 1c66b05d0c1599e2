// The replies that one client connection still has to get, in the order of its commands (pipelining). Has no
// I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "net/memory_budget.hpp"
#include "routing/router.hpp"

namespace reedspindle::proxy {

// Queues replies. Commands are handled concurrently, but their replies are sent in order. Everything that the
// queue holds is charged to budgets shared by all connections, so that clients can't make this instance use
// too much memory: the replies that wait behind others, and a record for each command.
class PendingReplies {
 public:
  // What one command takes up besides the reply to a request: its place in the queue, and the short reply to
  // a command that is answered at once.
  static constexpr std::size_t kRecordBytes = 512;

  // A reply that is being written. Its memory is released with it.
  struct Outgoing {
    net::ChargedText bytes;
    net::MemoryCharge record;
  };

  PendingReplies(net::MemoryBudget& waiting, net::MemoryBudget& records)
      : waiting_(waiting), records_(records) {}
  PendingReplies(const PendingReplies&) = delete;
  PendingReplies& operator=(const PendingReplies&) = delete;

  // Returns whether there is memory for one more command. A connection that owes nothing can always have one,
  // so that each client is answered.
  [[nodiscard]] bool has_memory() const { return replies_.empty() || records_.left() >= kRecordBytes; }

  // Adds a command that was answered at once, with its short reply.
  void add_complete(std::string bytes);
  // Add a command whose reply is completed later: the answer to a request, or to a readiness check.
  void add_request(RequestId request);
  void add_readiness();

  // Completes the reply to a request. If it has to wait behind other replies and the budget is used up, the
  // substitute is kept in its place.
  void complete(RequestId request, net::ChargedText bytes, const std::string& substitute);
  // Completes the replies to all readiness checks.
  void complete_readiness(const std::string& bytes);

  // Removes complete replies from the front of the queue, and returns them; none if the first reply is not
  // complete. It stops after the reply with which the bytes reach the size of the longest value.
  std::vector<Outgoing> take_complete();

  // Returns the requests whose replies are not complete, in order.
  [[nodiscard]] std::vector<RequestId> open_requests() const;
  [[nodiscard]] std::size_t size() const { return replies_.size(); }
  [[nodiscard]] bool empty() const { return replies_.empty(); }

 private:
  struct Reply {
    std::optional<RequestId> request;  // none: a readiness check, or complete
    bool complete = false;
    Outgoing outgoing;
  };

  void add(std::optional<RequestId> request, bool complete, std::string bytes);

  net::MemoryBudget& waiting_;  // of replies that wait behind others
  net::MemoryBudget& records_;
  std::deque<Reply> replies_;
};

}  // namespace reedspindle::proxy
