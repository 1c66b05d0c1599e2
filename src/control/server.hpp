// The gRPC server of the discovery streams: reads requests and writes responses on gRPC's own threads, and
// posts every event to the service's loop, which alone decides. Each stream has at most one message in flight
// in either direction.
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

// The events of streams; called on the loop.
struct StreamListener {
  virtual ~StreamListener() = default;
  // The first message of a stream. False: the stream is rejected.
  virtual bool on_stream_opened(StreamId id, ProtocolVariant variant, ClientCapabilities capabilities,
                                const std::string& node) = 0;
  virtual void on_request(StreamId id, SubscriptionRequest request) = 0;
  virtual void on_response_sent(StreamId id) = 0;
  virtual void on_stream_closed(StreamId id) = 0;
};

class Server {
 public:
  // Throws std::runtime_error where it can't listen. The listener has to outlive the server.
  Server(asio::io_context& loop, const Options& options, std::uint64_t epoch, StreamListener& listener);
  ~Server();

  // On the loop.
  void write(ProtocolVariant variant, ResponseToSend response);
  void end(StreamId id, const std::string& why);
  // Ends all streams; the loop has to run on until stopped.
  void stop();
  [[nodiscard]] bool stopped() const;
  [[nodiscard]] int port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace reedspindle::control
