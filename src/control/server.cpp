#include "control/server.hpp"

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_credentials_options.h>

#include <atomic>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>

#include "envoy/service/discovery/v3/ads.grpc.pb.h"

namespace reedspindle::control {
namespace {

namespace discovery = xds::discovery;

// A few times the size of a request with as many names as a stream may subscribe to.
constexpr int kMaxRequestBytes = 4 << 20;
constexpr Millis kFirstRequestTimeout = 10000;    // within which a new stream must send its first request
constexpr unsigned kCertificateCheckSeconds = 1;  // between checks of the certificate files

}  // namespace

class Server::Impl {
 public:
  // One stream, in either variant of the protocol.
  class StreamLink {
   public:
    virtual ~StreamLink() = default;
    // Reads the next message. Called on the event loop.
    virtual void read_next() = 0;
    // Closes the stream; does nothing if it is closed already. Called on the event loop.
    virtual void finish(const grpc::Status& status) = 0;
    // opened: the listener has accepted the stream and has not been told of its end.
    bool finished = false, opened = false;
  };

  // gRPC's handler of one stream. Keeps itself alive until gRPC reports that it is done.
  template <typename Message, typename Response>
  class TypedStreamLink final : public grpc::ServerBidiReactor<Message, Response>,
                                public StreamLink,
                                public std::enable_shared_from_this<TypedStreamLink<Message, Response>> {
   public:
    static TypedStreamLink* create(Impl& server, ProtocolVariant variant) {
      auto link = std::make_shared<TypedStreamLink>();
      link->server_ = &server;
      link->variant_ = variant;
      link->id_ = {++server.last_id_};
      link->self_ = link;
      TypedStreamLink* raw = link.get();
      server.post([&server, id = link->id_, link] { server.links_[id] = link; });
      raw->StartRead(&raw->incoming_);
      return raw;
    }

    // Called on the event loop.
    void read_next() override { this->StartRead(&incoming_); }
    void finish(const grpc::Status& status) override {
      const std::lock_guard lock(mutex_);
      if (!std::exchange(finished, true)) {
        this->Finish(status);
      }
    }
    // Called on the encoder threads, for one response at a time.
    void write(Response response) {
      const std::lock_guard lock(mutex_);
      if (finished) {
        return;
      }
      outgoing_ = std::move(response);
      this->StartWrite(&outgoing_);
    }

    // Called on gRPC's threads.
    void OnReadDone(bool ok) override {
      if (!ok) {
        return server_->post([server = server_, id = id_] { server->on_stream_ended(id); });
      }
      server_->post(
          [server = server_, id = id_, variant = variant_, message = std::move(incoming_)]() mutable {
            server->read(id, variant, std::move(message));
          });
    }
    void OnWriteDone(bool ok) override {
      server_->post([server = server_, id = id_, ok] {
        ok ? server->listener_.on_response_sent(id) : server->on_stream_ended(id);
      });
    }
    void OnDone() override {
      server_->post([server = server_, id = id_, self = std::move(self_)] { server->links_.erase(id); });
    }

   private:
    Impl* server_ = nullptr;
    ProtocolVariant variant_ = ProtocolVariant::state_of_the_world;
    StreamId id_;
    std::mutex mutex_;  // guards finished; nothing may be written after Finish
    Message incoming_;
    Response outgoing_;
    std::shared_ptr<TypedStreamLink> self_;  // reset when gRPC calls OnDone
  };
  using StateOfTheWorldStream = TypedStreamLink<discovery::DiscoveryRequest, discovery::DiscoveryResponse>;
  using IncrementalStream =
      TypedStreamLink<discovery::DeltaDiscoveryRequest, discovery::DeltaDiscoveryResponse>;

  // The Aggregated Discovery Service of the xDS protocol.
  class DiscoveryService final : public discovery::AggregatedDiscoveryService::CallbackService {
   public:
    explicit DiscoveryService(Impl& server) : server_(server) {}
    grpc::ServerBidiReactor<discovery::DiscoveryRequest, discovery::DiscoveryResponse>*
    StreamAggregatedResources(grpc::CallbackServerContext* /*unused*/) override {
      return StateOfTheWorldStream::create(server_, ProtocolVariant::state_of_the_world);
    }
    grpc::ServerBidiReactor<discovery::DeltaDiscoveryRequest, discovery::DeltaDiscoveryResponse>*
    DeltaAggregatedResources(grpc::CallbackServerContext* /*unused*/) override {
      return IncrementalStream::create(server_, ProtocolVariant::incremental);
    }

   private:
    Impl& server_;
  };

  Impl(asio::io_context& loop, const Options& options, std::uint64_t epoch, StreamListener& listener)
      : loop_(loop), listener_(listener), encoder_(options.name, epoch), service_(*this), sweep_timer_(loop) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(options.listen, credentials(options), &port_);
    builder.RegisterService(&service_);
    builder.SetMaxReceiveMessageSize(kMaxRequestBytes);
    const int keepalive = static_cast<int>(options.keepalive);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 1000);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, 100);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetResourceQuota(
        grpc::ResourceQuota("proxies").Resize(options.config.memory_bytes).SetMaxThreads(16));
    server_ = builder.BuildAndStart();
    if (!server_ || port_ == 0) {
      throw std::runtime_error(fmt::format("cannot listen on {}", options.listen));
    }
    close_silent_streams();
  }

  ~Impl() {
    if (shutdown_thread_.joinable()) {
      shutdown_thread_.join();
    }
    encoder_threads_.join();
    if (server_) {
      server_->Shutdown(std::chrono::system_clock::now());
    }
    // Tasks that gRPC's threads post from here on are not run: the event loop has stopped.
  }

  // Runs the task on the event loop.
  template <typename Task>
  void post(Task task) {
    asio::post(loop_, std::move(task));
  }

  // Handles a message from a client.
  template <typename Message>
  void read(StreamId id, ProtocolVariant variant, Message message) {
    const auto found = links_.find(id);
    if (found == links_.end() || found->second->finished) {
      return;
    }
    StreamLink& link = *found->second;
    if (!link.opened) {
      link.opened = true;
      if (!listener_.on_stream_opened(id, variant, xds::capabilities_of(message.node()),
                                      message.node().id())) {
        link.opened = false;
        return link.finish({grpc::StatusCode::RESOURCE_EXHAUSTED, "too many streams"});
      }
    }
    if (auto request = xds::decode_request(std::move(message))) {
      listener_.on_request(id, std::move(*request));
    }
    link.read_next();
  }

  void write(ProtocolVariant variant, ResponseToSend response) {
    const auto found = links_.find(response.stream);
    if (found == links_.end() || found->second->finished) {
      return;
    }
    asio::post(encoder_threads_, [this, variant, link = found->second, response = std::move(response)] {
      if (variant == ProtocolVariant::state_of_the_world) {
        static_cast<StateOfTheWorldStream&>(*link).write(encoder_.encode_state_of_the_world(response));
      } else {
        static_cast<IncrementalStream&>(*link).write(encoder_.encode_incremental(response));
      }
    });
  }

  void end(StreamId id, const std::string& reason) {
    const auto found = links_.find(id);
    if (found == links_.end()) {
      return;
    }
    found->second->finish({grpc::StatusCode::RESOURCE_EXHAUSTED, reason});
    notify_closed(id, *found->second);
  }

  // Called when the client has closed its side of the stream, or the connection is lost.
  void on_stream_ended(StreamId id) {
    const auto found = links_.find(id);
    if (found == links_.end()) {
      return;
    }
    found->second->finish(grpc::Status::OK);
    notify_closed(id, *found->second);
  }

  void stop() {
    stopping_ = true;
    sweep_timer_.cancel();
    for (const auto& [id, link] : std::map(links_)) {
      link->finish({grpc::StatusCode::UNAVAILABLE, "the control service stops"});
      notify_closed(id, *link);
    }
    shutdown_thread_ = std::thread([this] {
      server_->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(500));
      post([this] { stopped_ = true; });
    });
  }

  bool stopped_ = false;
  int port_ = 0;

 private:
  void notify_closed(StreamId id, StreamLink& link) {
    if (std::exchange(link.opened, false)) {
      listener_.on_stream_closed(id);
    }
  }

  // Closes streams that have sent no request between two runs of this check. The listener does not know of
  // them, so they are not counted towards its limit on streams.
  void close_silent_streams() {
    sweep_timer_.expires_after(std::chrono::milliseconds(static_cast<int>(kFirstRequestTimeout)));
    sweep_timer_.async_wait([this](const asio::error_code& error) {
      if (error || stopping_) {
        return;
      }
      for (const auto& [id, link] : std::map(links_)) {
        if (!link->opened && !link->finished && id <= last_swept_id_) {
          link->finish({grpc::StatusCode::DEADLINE_EXCEEDED, "nothing was said"});
        }
      }
      last_swept_id_ = {last_id_};
      close_silent_streams();
    });
  }

  // Certificate files are read again when they change, so a new certificate needs neither a restart nor a
  // signal.
  static std::shared_ptr<grpc::ServerCredentials> credentials(const Options& options) {
    if (!options.tls) {
      return grpc::InsecureServerCredentials();
    }
    namespace tls = grpc::experimental;
    const auto files =
        options.tls->proxies.empty()
            ? std::make_shared<tls::FileWatcherCertificateProvider>(
                  options.tls->key, options.tls->certificate, kCertificateCheckSeconds)
            : std::make_shared<tls::FileWatcherCertificateProvider>(
                  options.tls->key, options.tls->certificate, options.tls->proxies, kCertificateCheckSeconds);
    tls::TlsServerCredentialsOptions credentials_options(files);
    credentials_options.watch_identity_key_cert_pairs();
    if (!options.tls->proxies.empty()) {
      credentials_options.watch_root_certs();
      credentials_options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    }
    return tls::TlsServerCredentials(credentials_options);
  }

  asio::io_context& loop_;
  StreamListener& listener_;
  xds::Encoder encoder_;
  DiscoveryService service_;
  std::atomic<std::uint64_t> last_id_ = 0;
  StreamId last_swept_id_;  // the newest stream at the last run of close_silent_streams
  std::map<StreamId, std::shared_ptr<StreamLink>> links_;  // used on the event loop only
  asio::steady_timer sweep_timer_;
  bool stopping_ = false;
  // Encode and write responses. On the event loop, a thousand responses would delay probes beyond their
  // timeout, and servers that seem unavailable for that reason would cause further responses.
  asio::thread_pool encoder_threads_{2};
  std::unique_ptr<grpc::Server> server_;
  std::thread shutdown_thread_;
};

Server::Server(asio::io_context& loop, const Options& options, std::uint64_t epoch, StreamListener& listener)
    : impl_(std::make_unique<Impl>(loop, options, epoch, listener)) {}
Server::~Server() = default;
void Server::write(ProtocolVariant variant, ResponseToSend response) {
  impl_->write(variant, std::move(response));
}
void Server::end(StreamId id, const std::string& reason) { impl_->end(id, reason); }
void Server::stop() { impl_->stop(); }
bool Server::stopped() const { return impl_->stopped_; }
int Server::port() const { return impl_->port_; }

}  // namespace reedspindle::control
