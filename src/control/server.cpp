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

constexpr int kMaxRequestBytes = 4 << 20;  // of a proxy; some times what the names it may ask for come to
constexpr Millis kFirstRequestTimeout = 10000;    // for the first request of a stream
constexpr unsigned kCertificateCheckSeconds = 1;  // between checks of the certificate files

}  // namespace

class Server::Impl {
 public:
  // One stream, of either variant of the protocol.
  class StreamLink {
   public:
    virtual ~StreamLink() = default;
    virtual void read_on() = 0;
    virtual void finish(const grpc::Status& status) = 0;
    bool finished = false, opened = false;
  };

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
      TypedStreamLink* bare = link.get();
      server.post([&server, id = link->id_, link] { server.links_[id] = link; });
      bare->StartRead(&bare->in_);
      return bare;
    }

    // On the loop.
    void read_on() override { this->StartRead(&in_); }
    void finish(const grpc::Status& status) override {
      const std::lock_guard lock(mutex_);
      if (!std::exchange(finished, true)) {
        this->Finish(status);
      }
    }
    // On the writers' threads; one at a time.
    void write(Response response) {
      const std::lock_guard lock(mutex_);
      if (finished) {
        return;
      }
      out_ = std::move(response);
      this->StartWrite(&out_);
    }

    // On gRPC's threads.
    void OnReadDone(bool ok) override {
      if (!ok) {
        return server_->post([server = server_, id = id_] { server->on_stream_ended(id); });
      }
      server_->post([server = server_, id = id_, variant = variant_, message = std::move(in_)]() mutable {
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
    std::mutex mutex_;  // nothing is written once it has been finished
    Message in_;
    Response out_;
    std::shared_ptr<TypedStreamLink> self_;  // until gRPC is done with it
  };
  using StateOfTheWorldStream = TypedStreamLink<discovery::DiscoveryRequest, discovery::DiscoveryResponse>;
  using IncrementalStream =
      TypedStreamLink<discovery::DeltaDiscoveryRequest, discovery::DeltaDiscoveryResponse>;

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
      : loop_(loop), listener_(listener), encoder_(options.name, epoch), service_(*this), sweep_(loop) {
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
      throw std::runtime_error(fmt::format("can't listen at {}", options.listen));
    }
    sweep();
  }

  ~Impl() {
    if (stopper_.joinable()) {
      stopper_.join();
    }
    writers_.join();
    if (server_) {
      server_->Shutdown(std::chrono::system_clock::now());
    }
    // What gRPC's threads still post is not run any more.
  }

  template <typename Task>
  void post(Task task) {
    asio::post(loop_, std::move(task));
  }

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
    link.read_on();
  }

  void write(ProtocolVariant variant, ResponseToSend response) {
    const auto found = links_.find(response.stream);
    if (found == links_.end() || found->second->finished) {
      return;
    }
    asio::post(writers_, [this, variant, link = found->second, response = std::move(response)] {
      if (variant == ProtocolVariant::state_of_the_world) {
        static_cast<StateOfTheWorldStream&>(*link).write(encoder_.encode_state_of_the_world(response));
      } else {
        static_cast<IncrementalStream&>(*link).write(encoder_.encode_incremental(response));
      }
    });
  }

  void end(StreamId id, const std::string& why) {
    const auto found = links_.find(id);
    if (found == links_.end()) {
      return;
    }
    found->second->finish({grpc::StatusCode::RESOURCE_EXHAUSTED, why});
    notify_closed(id, *found->second);
  }

  // The client has ended its side, or the connection has broken.
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
    sweep_.cancel();
    for (const auto& [id, link] : std::map(links_)) {
      link->finish({grpc::StatusCode::UNAVAILABLE, "the control service stops"});
      notify_closed(id, *link);
    }
    stopper_ = std::thread([this] {
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

  // Ends streams that are opened and send no request: nobody else counts them.
  void sweep() {
    sweep_.expires_after(std::chrono::milliseconds(static_cast<int>(kFirstRequestTimeout)));
    sweep_.async_wait([this](const asio::error_code& fault) {
      if (fault || stopping_) {
        return;
      }
      for (const auto& [id, link] : std::map(links_)) {
        if (!link->opened && !link->finished && id <= seen_) {
          link->finish({grpc::StatusCode::DEADLINE_EXCEEDED, "nothing was said"});
        }
      }
      seen_ = {last_id_};
      sweep();
    });
  }

  // Certificates are read again when their files change, so a new one needs neither restart nor signal.
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
  StreamId seen_;
  std::map<StreamId, std::shared_ptr<StreamLink>> links_;  // on the loop only
  asio::steady_timer sweep_;
  bool stopping_ = false;
  // Responses are put into bytes here: on the loop a thousand of them would keep probes waiting beyond their
  // time, and members that look down for that are more to write.
  asio::thread_pool writers_{2};
  std::unique_ptr<grpc::Server> server_;
  std::thread stopper_;
};

Server::Server(asio::io_context& loop, const Options& options, std::uint64_t epoch, StreamListener& listener)
    : impl_(std::make_unique<Impl>(loop, options, epoch, listener)) {}
Server::~Server() = default;
void Server::write(ProtocolVariant variant, ResponseToSend response) {
  impl_->write(variant, std::move(response));
}
void Server::end(StreamId id, const std::string& why) { impl_->end(id, why); }
void Server::stop() { impl_->stop(); }
bool Server::stopped() const { return impl_->stopped_; }
int Server::port() const { return impl_->port_; }

}  // namespace reedspindle::control
