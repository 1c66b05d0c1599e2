// The part of ClientConnections that notices clients that have gone or do not go on, and closes connections.
#include <poll.h>

#include <utility>

#include "proxy/client_connection.hpp"
#include "proxy/client_connections.hpp"

namespace reedspindle::proxy {
namespace {
using Tcp = asio::ip::tcp;
// How long a lingering connection is read at most, in milliseconds: many round trips.
constexpr Millis kLingerTime = 1000;
// How long a client may take from its connection to its first command, and from the first to the last byte of
// any command, in milliseconds: a little less than the time within which the protocol requires an error for
// clients that stop.
constexpr Millis kCommandTimeout = 2500;
// How long a client may take to read its replies, in milliseconds.
constexpr Millis kReadingTimeout = 15000;
// The shortest interval between checks of whether the client of a connection that is not being read is still
// there, in milliseconds: a quarter of the time after which a client that has closed its connection counts as
// gone.
constexpr Millis kPresenceInterval = 25;
// How many reads of a late command are made at once: enough for the longest message.
constexpr std::size_t kMaxLateReads = kReadAheadBytes / kReadBytes + 1;

// Returns what the client has to do next. What it has begun to send is not awaited while this instance itself
// does not read on.
ClientConnection::Awaited awaited_of(const ClientConnection& connection, bool may_owe_more) {
  using Awaited = ClientConnection::Awaited;
  if (connection.writing) {
    return Awaited::reading;
  }
  if (!connection.accepts_commands()) {
    return Awaited::nothing;
  }
  if (!connection.buffer.data().empty() && may_owe_more) {
    return Awaited::rest_of_command;
  }
  return connection.commands == 0 ? Awaited::first_command : Awaited::nothing;
}
}  // namespace

// Returns whether the kernel knows that the client has closed the connection, which may not have been read up
// to its end yet.
bool ClientConnections::has_hung_up(ClientConnection& connection) {
  pollfd status{connection.socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&status, 1, 0) == 1 && (status.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// Returns whether the client may have closed the connection without the kernel knowing: it has sent more than
// is read ahead, and if that is more than the kernel holds too, the end stays behind it at the client.
bool ClientConnections::may_hide_end(const ClientConnection& connection) {
  using State = ClientConnection::State;
  asio::error_code error;
  return !connection.reading && !connection.writing &&
         (connection.state == State::open || connection.state == State::closing) &&
         connection.open_requests > 0 && connection.socket.available(error) > 0;
}

// Makes an end that may be hidden visible: sends a parameter that the client knows already, and that clients
// pass over. The machine of a client that has closed the connection replies to it with a reset.
void ClientConnections::check_presence(ClientConnection& connection) {
  const Millis now = clock_.now();
  if (now - connection.presence_checked < kPresenceInterval || !may_hide_end(connection)) {
    return;
  }
  connection.presence_checked = now;
  connection.out.push_back({net::ChargedText(postgres::parameter_status("client_encoding", "UTF8")), {}});
  write(connection);
}

bool ClientConnections::is_client_present(RequestId request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return true;  // it has been answered or abandoned; the caller knows
  }
  ClientConnection& connection = *found->second.connection;
  check_presence(connection);
  if (!has_hung_up(connection)) {
    return true;
  }
  asio::post(io_, [this, shared = *connection.list_position] {
    if (shared->state != ClientConnection::State::closed) {
      handle_disconnect(*shared);
    }
  });
  return false;
}

// Sets or clears the deadline for the client's next action. It limits clients that send nothing, stop in the
// middle of a message, send messages without an end, or do not read their replies. While the same is awaited,
// the deadline stays.
void ClientConnections::update_deadline(ClientConnection& connection) {
  using State = ClientConnection::State;
  using Awaited = ClientConnection::Awaited;
  if (connection.state == State::lingering || connection.state == State::closed) {
    return;
  }
  const Awaited awaited = awaited_of(connection, may_owe_more(connection));
  if (awaited == connection.awaited && connection.deadline) {
    return;
  }
  clear_deadline(connection);
  connection.awaited = awaited;
  if (awaited == Awaited::nothing) {
    return;
  }
  connection.deadline =
      timers_.set(clock_.now() + (awaited == Awaited::reading ? kReadingTimeout : kCommandTimeout),
                  [this, shared = *connection.list_position] {
                    shared->deadline.reset();
                    deadline_passed(*shared);
                  });
}

void ClientConnections::clear_deadline(ClientConnection& connection) {
  timers_.cancel(connection.deadline);
  connection.awaited = ClientConnection::Awaited::nothing;
}

void ClientConnections::deadline_passed(ClientConnection& connection) {
  if (connection.awaited == ClientConnection::Awaited::reading) {
    return abort(connection);
  }
  const ConnectionPtr shared = *connection.list_position;  // it may be closed by what is read
  if (has_acted_in_time(shared) ||
      end_action(EndReason::time_limit, activity_of(connection)) == EndAction::keep) {
    return;
  }
  log_.warn("clients", "client connection closed", {{"reason", "no complete command in time"}});
  close_with_error(connection, "57P05", "no whole command in time");
}

// Reads what the kernel holds of an awaited command, which may have arrived in time: this process may have
// been held up. Returns whether something else is awaited after it.
bool ClientConnections::has_acted_in_time(const ConnectionPtr& connection) {
  const ClientConnection::Awaited awaited = connection->awaited;
  const std::uint64_t commands = connection->commands;
  const auto waits_on = [&] {
    return connection->accepts_commands() && connection->awaited == awaited &&
           connection->commands == commands;
  };
  asio::error_code error;
  for (std::size_t reads = 0; reads < kMaxLateReads && waits_on(); ++reads) {
    if (connection->socket.available(error) == 0) {
      return false;
    }
    read_now(connection);
  }
  return !waits_on();
}

// Ends a connection on which nothing is owed any more while this instance is draining. A command that has
// been begun is read to its end and then rejected. A client that sends one command right after the other is
// never between two: an error answers what it begins after that. Returns whether the connection has been
// ended.
bool ClientConnections::end_for_drain(ClientConnection& connection) {
  EndReason reason = EndReason::draining;
  if (rejecting_) {
    reason = connection.answered_while_rejecting ? EndReason::rejected : EndReason::rejecting;
  }
  switch (end_action(reason, activity_of(connection))) {
    case EndAction::keep:
      return false;
    case EndAction::close:
      begin_close(connection);
      break;
    case EndAction::close_with_error:
      close_with_error(connection, stopping_fault().code, stopping_fault().text);
      break;
  }
  return true;
}

// The answer to what arrives while this instance is stopping: it has had no effect.
postgres::Fault ClientConnections::stopping_fault() { return {"57P03", "the front is stopping"}; }

void ClientConnections::close_with_error(ClientConnection& connection, std::string_view code,
                                         std::string_view text) {
  connection.replies.add_complete(postgres::error(postgres::Severity::fatal, code, text));
  close_after_replies(connection);
}

// Stops handling commands, and closes the connection once all pending replies have been written.
void ClientConnections::close_after_replies(ClientConnection& connection) {
  const ConnectionPtr shared = *connection.list_position;
  connection.state = ClientConnection::State::closing;
  connection.buffer.clear();
  clear_deadline(connection);
  flush(connection);
  if (connection.replies.empty() && !connection.writing) {
    return begin_close(connection);
  }
  update_deadline(connection);
  read(shared);
}

// Closes a connection gracefully: finishes a write in progress, shuts down the sending side, then reads and
// discards what the client still sends. Closing a socket with unread bytes would reset the connection, and
// the client could lose the last reply. At most the length of one message is read; anything beyond that stays
// unread until the linger time is over.
void ClientConnections::begin_close(ClientConnection& connection) {
  const ConnectionPtr shared = *connection.list_position;
  if (connection.state != ClientConnection::State::lingering) {
    connection.state = ClientConnection::State::lingering;
    ++lingering_;
    connection.buffer.clear();
    clear_deadline(connection);
    connection.deadline = timers_.set(clock_.now() + kLingerTime, [this, shared] {
      shared->deadline.reset();
      close(*shared);
    });
  }
  if (connection.writing) {
    return;
  }
  if (!std::exchange(connection.send_shutdown, true)) {
    asio::error_code ignored;
    connection.socket.shutdown(Tcp::socket::shutdown_send, ignored);
  }
  read(shared);
}

// Gives up a client that does not read its replies.
void ClientConnections::abort(ClientConnection& connection) {
  if (connection.replies.open_requests().empty()) {
    return close(connection);
  }
  update_deadline(connection);  // its open requests are answered first
}

}  // namespace reedspindle::proxy
