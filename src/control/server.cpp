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

constexpr int kLongestMessage = 4 << 20;  // of a proxy; some times what the names it may ask for come to
constexpr Millis kFirstWord = 10000;      // a stream that says nothing is ended after this
constexpr unsigned kReadAgain = 1;        // s between looks at the certificates' files

}  // namespace

class Server::Impl {
 public:
  // One stream, whatever its form.
  class Link {
   public:
    virtual ~Link() = default;
    virtual void read_on() = 0;
    virtual void finish(const grpc::Status& status) = 0;
    bool finished = false, opened = false;
  };

  template <typename Message, typename Response>
  class LinkOf final : public grpc::ServerBidiReactor<Message, Response>,
                       public Link,
                       public std::enable_shared_from_this<LinkOf<Message, Response>> {
   public:
    static LinkOf* make(Impl& server, Form form) {
      auto link = std::make_shared<LinkOf>();
      link->server_ = &server, link->form_ = form;
      link->id_ = {++server.last_id_};
      link->self_ = link;
      LinkOf* bare = link.get();
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
        return server_->post([server = server_, id = id_] { server->leaves(id); });
      }
      server_->post([server = server_, id = id_, form = form_, message = std::move(in_)]() mutable {
        server->read(id, form, std::move(message));
      });
    }
    void OnWriteDone(bool ok) override {
      server_->post(
          [server = server_, id = id_, ok] { ok ? server->hearer_.written(id) : server->leaves(id); });
    }
    void OnDone() override {
      server_->post([server = server_, id = id_, self = std::move(self_)] { server->links_.erase(id); });
    }

   private:
    Impl* server_ = nullptr;
    Form form_ = Form::whole;
    StreamId id_;
    std::mutex mutex_;  // nothing is written once it has been finished
    Message in_;
    Response out_;
    std::shared_ptr<LinkOf> self_;  // until gRPC is done with it
  };
  using Whole = LinkOf<discovery::DiscoveryRequest, discovery::DiscoveryResponse>;
  using Changes = LinkOf<discovery::DeltaDiscoveryRequest, discovery::DeltaDiscoveryResponse>;

  class Handed final : public discovery::AggregatedDiscoveryService::CallbackService {
   public:
    explicit Handed(Impl& server) : server_(server) {}
    grpc::ServerBidiReactor<discovery::DiscoveryRequest, discovery::DiscoveryResponse>*
    StreamAggregatedResources(grpc::CallbackServerContext* /*unused*/) override {
      return Whole::make(server_, Form::whole);
    }
    grpc::ServerBidiReactor<discovery::DeltaDiscoveryRequest, discovery::DeltaDiscoveryResponse>*
    DeltaAggregatedResources(grpc::CallbackServerContext* /*unused*/) override {
      return Changes::make(server_, Form::changes);
    }

   private:
    Impl& server_;
  };

  Impl(asio::io_context& loop, const Options& charge, std::uint64_t epoch, StreamListener& hearer)
      : loop_(loop), hearer_(hearer), encoder_(charge.name, epoch), handed_(*this), sweep_(loop) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(charge.listen, credentials(charge), &port_);
    builder.RegisterService(&handed_);
    builder.SetMaxReceiveMessageSize(kLongestMessage);
    const int keepalive = static_cast<int>(charge.keepalive);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 1000);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, 100);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetResourceQuota(grpc::ResourceQuota("proxies").Resize(charge.config.memory).SetMaxThreads(16));
    server_ = builder.BuildAndStart();
    if (!server_ || port_ == 0) {
      throw std::runtime_error(fmt::format("can't listen at {}", charge.listen));
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
    // What gRPC's threads still hand over is not run any more.
  }

  template <typename Task>
  void post(Task task) {
    asio::post(loop_, std::move(task));
  }

  template <typename Message>
  void read(StreamId id, Form form, Message message) {
    const auto found = links_.find(id);
    if (found == links_.end() || found->second->finished) {
      return;
    }
    Link& link = *found->second;
    if (!link.opened) {
      link.opened = true;
      if (!hearer_.opened(id, form, xds::abilities_of(message.node()), message.node().id())) {
        link.opened = false;
        return link.finish({grpc::StatusCode::RESOURCE_EXHAUSTED, "too many streams"});
      }
    }
    if (auto heard = xds::heard_in(std::move(message))) {
      hearer_.heard(id, std::move(*heard));
    }
    link.read_on();
  }

  void write(Form form, Write write) {
    const auto found = links_.find(write.stream);
    if (found == links_.end() || found->second->finished) {
      return;
    }
    asio::post(writers_, [this, form, link = found->second, write = std::move(write)] {
      if (form == Form::whole) {
        static_cast<Whole&>(*link).write(encoder_.whole(write));
      } else {
        static_cast<Changes&>(*link).write(encoder_.changes(write));
      }
    });
  }

  void end(StreamId id, const std::string& why) {
    const auto found = links_.find(id);
    if (found == links_.end()) {
      return;
    }
    found->second->finish({grpc::StatusCode::RESOURCE_EXHAUSTED, why});
    told_closed(id, *found->second);
  }

  // The proxy has ended its side, or the stream has broken.
  void leaves(StreamId id) {
    const auto found = links_.find(id);
    if (found == links_.end()) {
      return;
    }
    found->second->finish(grpc::Status::OK);
    told_closed(id, *found->second);
  }

  void stop() {
    stopping_ = true;
    sweep_.cancel();
    for (const auto& [id, link] : std::map(links_)) {
      link->finish({grpc::StatusCode::UNAVAILABLE, "the control service stops"});
      told_closed(id, *link);
    }
    stopper_ = std::thread([this] {
      server_->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(500));
      post([this] { stopped_ = true; });
    });
  }

  bool stopped_ = false;
  int port_ = 0;

 private:
  void told_closed(StreamId id, Link& link) {
    if (std::exchange(link.opened, false)) {
      hearer_.closed(id);
    }
  }

  // Guards against streams that are opened and say nothing: nobody else counts them.
  void sweep() {
    sweep_.expires_after(std::chrono::milliseconds(static_cast<int>(kFirstWord)));
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
  static std::shared_ptr<grpc::ServerCredentials> credentials(const Options& charge) {
    if (!charge.tls) {
      return grpc::InsecureServerCredentials();
    }
    namespace tls = grpc::experimental;
    const auto files = charge.tls->proxies.empty()
                           ? std::make_shared<tls::FileWatcherCertificateProvider>(
                                 charge.tls->key, charge.tls->certificate, kReadAgain)
                           : std::make_shared<tls::FileWatcherCertificateProvider>(
                                 charge.tls->key, charge.tls->certificate, charge.tls->proxies, kReadAgain);
    tls::TlsServerCredentialsOptions options(files);
    options.watch_identity_key_cert_pairs();
    if (!charge.tls->proxies.empty()) {
      options.watch_root_certs();
      options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    }
    return tls::TlsServerCredentials(options);
  }

  asio::io_context& loop_;
  StreamListener& hearer_;
  xds::Encoder encoder_;
  Handed handed_;
  std::atomic<std::uint64_t> last_id_ = 0;
  StreamId seen_;
  std::map<StreamId, std::shared_ptr<Link>> links_;  // on the loop only
  asio::steady_timer sweep_;
  bool stopping_ = false;
  // Responses are put into bytes here: on the loop a thousand of them would keep probes waiting beyond their
  // time, and members that look down for that are more to write.
  asio::thread_pool writers_{2};
  std::unique_ptr<grpc::Server> server_;
  std::thread stopper_;
};

Server::Server(asio::io_context& loop, const Options& charge, std::uint64_t epoch, StreamListener& hearer)
    : impl_(std::make_unique<Impl>(loop, charge, epoch, hearer)) {}
Server::~Server() = default;
void Server::write(Form form, Write write) { impl_->write(form, std::move(write)); }
void Server::end(StreamId id, const std::string& why) { impl_->end(id, why); }
void Server::stop() { impl_->stop(); }
bool Server::stopped() const { return impl_->stopped_; }
int Server::port() const { return impl_->port_; }

}  // namespace reedspindle::control
