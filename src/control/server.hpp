// The gRPC server for xDS discovery streams: reads requests on gRPC's threads, encodes and writes responses
// on threads of its own, and posts every event to the service's event loop, where all decisions are made.
// Each stream has at most one message in flight in either direction.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/options.hpp"
#include "control/subscriptions.hpp"
#include "control/xds.hpp"

namespace reedspindle::control {

// Receives the events of streams, on the event loop.
struct StreamListener {
  virtual ~StreamListener() = default;
  // Called for the first message of a stream. Returns whether the stream is accepted.
  virtual bool on_stream_opened(StreamId id, ProtocolVariant variant, ClientCapabilities capabilities,
                                const std::string& node) = 0;
  // Called for every message of a type that is served, the first one included.
  virtual void on_request(StreamId id, SubscriptionRequest request) = 0;
  // The next response can be written.
  virtual void on_response_sent(StreamId id) = 0;
  // Called once for each accepted stream, whichever side closed it.
  virtual void on_stream_closed(StreamId id) = 0;
};

// To be called on the event loop only.
class Server {
 public:
  // Starts to listen. Throws std::runtime_error if that fails. The listener has to outlive the server.
  Server(asio::io_context& loop, const Options& options, std::uint64_t epoch, StreamListener& listener);
  ~Server();

  // Writes a response to its stream, in the stream's protocol variant. on_response_sent must have reported
  // the previous one. Does nothing if the stream is closed.
  void write(ProtocolVariant variant, ResponseToSend response);
  // Closes the stream with status RESOURCE_EXHAUSTED and that message.
  void end(StreamId id, const std::string& reason);
  // Closes all streams with status UNAVAILABLE and shuts down. The event loop has to run until stopped()
  // returns true.
  void stop();
  [[nodiscard]] bool stopped() const;
  // Returns the port in use, also where the options left the choice to the system.
  [[nodiscard]] int port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace reedspindle::control
