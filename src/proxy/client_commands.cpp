// The part of ClientConnections that serves one connection: reads commands and sends replies in order.
#include <array>
#include <random>
#include <utility>
#include <vector>

#include "net/receive.hpp"
#include "proxy/client_connection.hpp"
#include "proxy/client_connections.hpp"

namespace reedspindle::proxy {
namespace {
using Tcp = asio::ip::tcp;
// How many commands of one connection are handled concurrently: several times as many as a client sends
// during one slow reply. If a command waits behind the replies to others for longer than its client does, it
// fails.
constexpr std::size_t kMaxPipelined = 64;
// How many commands of one connection are handled before the callbacks of other connections: also commands
// that get no reply of their own, of which a buffer holds thousands.
constexpr int kMaxCommandsPerTurn = 64;
// The number of invalid statements in succession after which the connection is closed: a faulty client that
// sends at full speed will not send valid ones.
constexpr int kMaxInvalidInRow = 8;
}  // namespace

// Waits until the socket is readable, then reads and handles the bytes in one step. With an asynchronous
// read, bytes could already have left the kernel while the connection is being closed, and the client could
// not tell that its request was not handled.
void ClientConnections::read(const ConnectionPtr& connection) {
  using State = ClientConnection::State;
  connection->buffer.release_unused();  // the client may rest for as long as it likes
  if (connection->reading || connection->state == State::closed) {
    return;
  }
  const bool discards = !connection->accepts_commands();
  if (discards ? connection->discarded > kReadAheadBytes
               : connection->buffer.data().size() >= kReadAheadBytes) {
    return;
  }
  connection->reading = true;
  connection->socket.async_wait(Tcp::socket::wait_read, [this, connection](const asio::error_code& error) {
    connection->reading = false;
    if (connection->state == State::closed) {
      return;
    }
    if (error) {
      return handle_disconnect(*connection);
    }
    read_now(connection);
  });
}

void ClientConnections::read_now(const ConnectionPtr& connection) {
  if (!connection->accepts_commands()) {
    return discard_now(connection);
  }
  switch (net::receive(connection->socket, connection->buffer, kReadBytes,
                       [this] { return free_read_memory(); })) {
    case net::Received::bytes:
      connection->last_activity = clock_.now();
      handle_commands(*connection);
      return read(connection);
    case net::Received::nothing:
      return read(connection);
    case net::Received::no_memory:
      log_.warn("clients", "client connection closed", {{"reason", "read buffer memory exhausted"}});
      return close_with_error(*connection, "53300", "too many long statements at once");
    case net::Received::failed:
      return handle_disconnect(*connection);
    case net::Received::closed:
      return;
  }
}

// Reads and drops bytes. Takes no memory from the budget, so that a client can always be read out before its
// connection is closed.
void ClientConnections::discard_now(const ConnectionPtr& connection) {
  std::array<char, kReadBytes> dropped{};
  asio::error_code error;
  const std::size_t count = connection->socket.read_some(asio::buffer(dropped), error);
  if (error && error != asio::error::would_block && error != asio::error::interrupted) {
    return handle_disconnect(*connection);
  }
  connection->discarded += count;
  read(connection);
}

// Returns whether one more command may be handled before replies that are owed have been written.
bool ClientConnections::may_owe_more(const ClientConnection& connection) const {
  return connection.replies.size() < kMaxPipelined && connection.replies.has_memory() &&
         owner_.may_open_more(connection.open_requests, connection.request_bytes);
}

// Handles the buffered commands in order, up to kMaxPipelined at a time. After a command that is answered at
// once, the rest is handled when its reply has been written, so that the commands of other clients are
// handled between the commands of a client that sends many of them.
void ClientConnections::handle_commands(ClientConnection& connection) {
  using State = ClientConnection::State;
  for (int handled = 0; connection.accepts_commands() && may_owe_more(connection); ++handled) {
    if (handled == kMaxCommandsPerTurn) {
      return handle_later(connection);
    }
    const std::string_view buffered = connection.buffer.data();
    const bool starting = connection.state == State::starting;
    const postgres::ReadResult next =
        starting ? postgres::read_startup(buffered) : postgres::read_from_client(buffered);
    if (std::holds_alternative<postgres::Partial>(next)) {
      break;
    }
    if (const auto* fault = std::get_if<postgres::Fault>(&next)) {
      log_.warn("clients", "client connection closed", {{"reason", fault->text}});
      return close_with_error(connection, fault->code, fault->text);
    }
    const postgres::Message message = std::get<postgres::Message>(next);
    const std::size_t size = message.bytes.size();
    connection.commands += starting ? 0 : 1;
    connection.answered_while_rejecting = rejecting_;
    const CommandResult result = handle_message(connection, message);
    if (!connection.accepts_commands()) {
      return;
    }
    connection.buffer.consume(size);
    clear_deadline(connection);
    if (result == CommandResult::answered && connection.writing) {
      break;
    }
  }
  if (accept_stopped_ && connection.accepts_commands() && end_for_drain(connection)) {
    return;
  }
  update_deadline(connection);
}

// Handles the rest of the buffered commands after the callbacks of others.
void ClientConnections::handle_later(ClientConnection& connection) {
  if (std::exchange(connection.handled_later, true)) {
    return;
  }
  asio::post(io_, [this, shared = *connection.list_position] {
    shared->handled_later = false;
    if (shared->accepts_commands()) {
      handle_commands(*shared);
      read(shared);
    }
  });
}

ClientConnections::CommandResult ClientConnections::handle_message(ClientConnection& connection,
                                                                   const postgres::Message& message) {
  if (connection.state == ClientConnection::State::starting) {
    return handle_startup(connection, message);
  }
  if (message.type == 'X') {
    close_after_replies(connection);
    return CommandResult::answered;
  }
  if (message.type == 'S') {
    connection.skipping_to_sync = false;
    return reply(connection, postgres::ready_for_query());
  }
  if (connection.skipping_to_sync) {
    return CommandResult::pending;
  }
  if (message.type == 'Q') {
    const std::size_t end = message.body.find('\0');
    if (end + 1 == message.body.size()) {
      return handle_query(connection, message.body.substr(0, end));
    }
    close_with_error(connection, "08P01", "a query does not end with its text");
    return CommandResult::answered;
  }
  // A message of the extended query protocol: an error, after which all messages up to Sync are skipped, as
  // the protocol specifies.
  connection.skipping_to_sync = message.type != 'F';
  return reply(connection, postgres::error(postgres::Severity::error, "0A000", "simple queries only") +
                               (connection.skipping_to_sync ? "" : postgres::ready_for_query()));
}

ClientConnections::CommandResult ClientConnections::handle_startup(ClientConnection& connection,
                                                                   const postgres::Message& message) {
  switch (postgres::startup_kind(message)) {
    case postgres::Startup::encryption:
      return reply(connection, "N");
    case postgres::Startup::session:
      connection.state = ClientConnection::State::open;
      connection.cancel_key = postgres::CancelKey{++last_connection_, std::random_device()()};
      cancel_keys_[*connection.cancel_key] = &connection;
      return reply(connection, postgres::startup_response(*connection.cancel_key));
    case postgres::Startup::cancel:
      if (const auto key = postgres::cancel_key(message)) {
        cancel(*key);
      }
      close_after_replies(connection);
      break;
    case postgres::Startup::unknown:
      close_with_error(connection, "0A000", "version 3 of the protocol is spoken");
      break;
  }
  return CommandResult::answered;
}

ClientConnections::CommandResult ClientConnections::handle_query(ClientConnection& connection,
                                                                 std::string_view text) {
  const std::string word = postgres::first_word(text);
  if (word.empty()) {
    if (ready_ || rejecting_) {
      return reply(connection,
                   ready_ ? postgres::empty_query_response() : postgres::error_reply(stopping_fault()));
    }
    connection.replies.add_readiness();
    return CommandResult::answered;
  }
  for (const char* command : {"SET", "RESET", "DISCARD"}) {
    if (word == command) {
      return reply(connection, postgres::command_complete(command) + postgres::ready_for_query());
    }
  }
  return handle_statement(connection, text);
}

ClientConnections::CommandResult ClientConnections::handle_statement(ClientConnection& connection,
                                                                     std::string_view text) {
  const auto read = postgres::read_statement(text);
  std::optional<postgres::Fault> fault;
  const RequestId request{++last_request_};
  if (const auto* statement = std::get_if<postgres::Statement>(&read)) {
    fault = rejecting_ ? stopping_fault() : owner_.request_arrived(request, text, *statement);
  } else {
    fault = std::get<postgres::Fault>(read);
  }
  if (!fault) {
    connection.invalid_in_row = 0;
    connection.replies.add_request(request);
    requests_[request] = {&connection, text.size()};
    ++connection.open_requests;
    connection.request_bytes += text.size();
    return CommandResult::pending;
  }
  log_.warn("clients", "statement rejected", {{"reason", fault->text}});
  if (++connection.invalid_in_row >= kMaxInvalidInRow && !rejecting_) {
    close_with_error(connection, fault->code, fault->text);
    return CommandResult::answered;
  }
  return reply(connection, postgres::error_reply(*fault));
}

ClientConnection* ClientConnections::take_request(RequestId request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return nullptr;
  }
  const OpenRequest open = found->second;
  requests_.erase(found);
  --open.connection->open_requests;
  open.connection->request_bytes -= open.text_bytes;
  return open.connection;
}

void ClientConnections::answer(RequestId request, net::ChargedText bytes) {
  ClientConnection* const of = take_request(request);
  if (!of) {
    return;
  }
  ClientConnection& connection = *of;
  connection.last_activity = clock_.now();
  static const std::string kReplyTooLarge =
      postgres::error_reply({"53200", "answers that wait behind others take too much"});
  connection.replies.complete(request, std::move(bytes), kReplyTooLarge);
  flush(connection);
}

// Cancels the oldest open request of the connection with this key, and answers it at once, as the protocol
// specifies. An unknown key has no effect.
void ClientConnections::cancel(const postgres::CancelKey& key) {
  const auto found = cancel_keys_.find(key);
  if (found == cancel_keys_.end()) {
    return;
  }
  const std::vector<RequestId> open = found->second->replies.open_requests();
  if (open.empty()) {
    return;
  }
  owner_.request_abandoned(open.front());
  answer(open.front(), net::ChargedText(postgres::error_reply({"57014", "canceled on user request"})));
}

ClientConnections::CommandResult ClientConnections::reply(ClientConnection& connection, std::string bytes) {
  connection.replies.add_complete(std::move(bytes));
  flush(connection);
  return CommandResult::answered;
}

// Starts to write the next complete replies, unless a write is in progress.
void ClientConnections::flush(ClientConnection& connection) {
  if (connection.writing || connection.state == ClientConnection::State::closed) {
    return;
  }
  connection.out = connection.replies.take_complete();
  if (connection.out.empty()) {
    return;
  }
  write(connection);
}

// Starts to write the outgoing bytes.
void ClientConnections::write(ClientConnection& connection) {
  connection.writing = true;
  std::vector<asio::const_buffer> buffers;
  for (const PendingReplies::Outgoing& reply : connection.out) {
    buffers.push_back(asio::buffer(reply.bytes.text()));
  }
  asio::async_write(connection.socket, buffers,
                    [this, shared = *connection.list_position](const asio::error_code& error, std::size_t) {
                      shared->writing = false;
                      shared->out.clear();
                      if (shared->state == ClientConnection::State::closed) {
                        return;
                      }
                      if (error) {
                        return handle_disconnect(*shared);
                      }
                      write_completed(*shared);
                    });
  update_deadline(connection);
}

void ClientConnections::write_completed(ClientConnection& connection) {
  const ConnectionPtr shared = *connection.list_position;
  if (connection.state == ClientConnection::State::lingering) {
    return begin_close(connection);
  }
  clear_deadline(connection);
  flush(connection);
  if (connection.state == ClientConnection::State::closing) {
    if (connection.replies.empty() && !connection.writing) {
      begin_close(connection);
    }
    return;
  }
  handle_commands(connection);
  read(shared);
}

}  // namespace reedspindle::proxy
