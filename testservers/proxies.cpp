#include "testservers/proxies.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <thread>

#include "envoy/config/cluster/v3/cluster.pb.h"
#include "testservers/world.hpp"

namespace reedspindle::testservers {

namespace discovery = envoy::service::discovery::v3;
using envoy::config::cluster::v3::Cluster;
using envoy::config::endpoint::v3::ClusterLoadAssignment;

namespace {
constexpr const char* kClusters = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
constexpr const char* kEndpoints = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
}  // namespace

// One stream in one of the two forms. It lives until gRPC is done with it.
template <typename Message, typename Response>
class Proxy::Stream final : public grpc::ClientBidiReactor<Message, Response> {
 public:
  static constexpr bool kWhole = std::is_same_v<Message, discovery::DiscoveryRequest>;

  explicit Stream(Proxy& proxy) : proxy_(proxy) {
    context_.set_wait_for_ready(true);
    auto* calls = proxy.stub_->async();
    if constexpr (kWhole) {
      calls->StreamAggregatedResources(&context_, this);
    } else {
      calls->DeltaAggregatedResources(&context_, this);
    }
    ask(kClusters, {});
    if (!proxy.names_.empty()) {
      ask(kEndpoints, proxy.names_);
    }
    this->StartRead(&in_);
    this->StartCall();
  }
  void cancel() { context_.TryCancel(); }

  void OnReadDone(bool ok) override {
    if (!ok) {
      return;
    }
    proxy_.bytes_ += in_.ByteSizeLong();
    ++proxy_.responses_;
    const bool down = proxy_.turns_down && in_.type_url() == kEndpoints;
    if (!down) {
      apply();
    }
    if (proxy_.answers) {
      answer(down);
    }
    if (proxy_.reads) {
      this->StartRead(&in_);
    }
  }
  void OnWriteDone(bool /*unused*/) override {
    const std::lock_guard lock(mutex_);
    out_.pop_front();
    if (!out_.empty()) {
      this->StartWrite(&out_.front());
    }
  }
  void OnDone(const grpc::Status& status) override {
    Proxy& proxy = proxy_;
    proxy.cancel_none();
    delete this;
    proxy.ended(status);
  }

 private:
  void send(Message message) {
    const std::lock_guard lock(mutex_);
    out_.push_back(std::move(message));
    if (out_.size() == 1) {
      this->StartWrite(&out_.front());
    }
  }

  void ask(const char* type, const std::vector<std::string>& names) {
    Message message;
    message.set_type_url(type);
    message.mutable_node()->set_id(proxy_.node_);
    message.mutable_node()->set_user_agent_name(proxy_.can_.user_agent);
    for (const std::string& feature : proxy_.can_.features) {
      message.mutable_node()->add_client_features(feature);
    }
    if constexpr (kWhole) {
      message.set_version_info(type == kEndpoints ? proxy_.version_ : proxy_.clusters_version_);
      for (const std::string& name : names) {
        message.add_resource_names(name);
      }
    } else {
      for (const std::string& name : names) {
        message.add_resource_names_subscribe(name);
      }
      if (type == kEndpoints) {
        for (const auto& [name, version] : proxy_.versions_) {
          (*message.mutable_initial_resource_versions())[name] = version;
        }
      }
    }
    send(std::move(message));
  }

  void answer(bool down) {
    Message message;
    message.set_type_url(in_.type_url());
    message.set_response_nonce(in_.nonce());
    if (down) {
      message.mutable_error_detail()->set_message("turned down on purpose");
    }
    if constexpr (kWhole) {
      message.set_version_info(down ? proxy_.last_version() : in_.version_info());
      if (in_.type_url() == kEndpoints) {
        for (const std::string& name : proxy_.names_) {
          message.add_resource_names(name);
        }
      }
    }
    send(std::move(message));
  }

  void apply() {
    {
      const std::lock_guard lock(proxy_.mutex_);
      if constexpr (kWhole) {
        if (in_.type_url() == kEndpoints) {
          proxy_.version_ = in_.version_info();
        }
        if (in_.type_url() == kClusters) {
          proxy_.clusters_.clear(), proxy_.clusters_version_ = in_.version_info();
        }
        for (const auto& any : in_.resources()) {
          discovery::Resource wrapped;
          if (any.UnpackTo(&wrapped)) {
            proxy_.apply(
                in_.type_url(), wrapped.name(), wrapped.resource().value(),
                wrapped.has_ttl() ? wrapped.ttl().seconds() * 1000.0 + wrapped.ttl().nanos() / 1e6 : -1);
          } else {
            proxy_.apply(in_.type_url(), "", any.value(), -1);
          }
        }
      } else {
        for (const auto& row : in_.resources()) {
          proxy_.apply(in_.type_url(), row.name(), row.resource().value(),
                       row.has_ttl() ? row.ttl().seconds() * 1000.0 + row.ttl().nanos() / 1e6 : -1);
          if (in_.type_url() == kEndpoints) {
            proxy_.versions_[row.name()] = proxy_.version_ = row.version();
          }
        }
        for (const std::string& name : in_.removed_resources()) {
          proxy_.assignments_.erase(name), proxy_.versions_.erase(name);
          std::erase(proxy_.clusters_, name);
        }
      }
    }
    proxy_.changed_.notify_all();
    if (proxy_.applied_) {
      proxy_.applied_(proxy_, in_.type_url(), now_ms());
    }
  }

  Proxy& proxy_;
  grpc::ClientContext context_;
  Response in_;
  std::mutex mutex_;
  std::deque<Message> out_;
};

Proxy::Proxy(std::string node, std::string target, ProxyCan can, std::vector<std::string> names,
             Applied applied, std::shared_ptr<grpc::ChannelCredentials> credentials)
    : node_(std::move(node)),
      target_(std::move(target)),
      can_(std::move(can)),
      names_(std::move(names)),
      applied_(std::move(applied)),
      credentials_(std::move(credentials)) {
  open();
}

Proxy::~Proxy() { stop(); }

void Proxy::open() {
  const std::lock_guard lock(mutex_);
  if (stopping_) {
    return;
  }
  if (!channel_) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);  // a connection of its own
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 20);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 20);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 50);
    arguments.SetSslTargetNameOverride("control.test");  // addresses stand in no certificate
    channel_ = grpc::CreateCustomChannel(target_, credentials_, arguments);
    stub_ = discovery::AggregatedDiscoveryService::NewStub(channel_);
  }
  ++opened_, ++live_;
  if (can_.changes) {
    auto* stream = new ChangesStream(*this);
    cancel_ = [stream] { stream->cancel(); };
  } else {
    auto* stream = new WholeStream(*this);
    cancel_ = [stream] { stream->cancel(); };
  }
}

void Proxy::cancel_none() {
  const std::lock_guard lock(mutex_);
  cancel_ = nullptr;
}

void Proxy::ended(const grpc::Status& status) {
  bool again;
  {
    const std::lock_guard lock(mutex_);
    --live_;
    status_ = status.error_message();
    again = !stopping_;
    changed_.notify_all();
  }
  if (!again) {
    return;
  }
  if (!status.ok() && status.error_code() != grpc::StatusCode::CANCELLED) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  open();
}

void Proxy::come_back(const std::string& target) {
  const std::lock_guard lock(mutex_);
  if (!target.empty() && target != target_) {
    target_ = target, left_.push_back(std::move(channel_));
  }
  if (cancel_) {
    cancel_();
  }
}

void Proxy::stop() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  if (cancel_) {
    cancel_();
  }
  changed_.wait(lock, [this] { return live_ == 0; });
}

void Proxy::apply(const std::string& type, const std::string& name, const std::string& bytes,
                  double time_to_live) {
  if (type == kClusters) {
    Cluster cluster;
    if (cluster.ParseFromString(bytes)) {
      clusters_.push_back(cluster.name());
    }
    return;
  }
  if (bytes.empty()) {  // only its time to live goes on
    ends_[name] = now_ms() + time_to_live;
    return;
  }
  ClusterLoadAssignment message;
  if (!message.ParseFromString(bytes)) {
    return;
  }
  std::vector<Handed>& endpoints = assignments_[message.cluster_name()];
  endpoints.clear();
  ends_.erase(message.cluster_name());
  if (time_to_live >= 0) {
    ends_[message.cluster_name()] = now_ms() + time_to_live;
  }
  for (const auto& locality : message.endpoints()) {
    for (const auto& row : locality.lb_endpoints()) {
      const auto& address = row.endpoint().address().socket_address();
      Handed handed;
      handed.address = address.address() + ":" + std::to_string(address.port_value());
      handed.healthy = row.health_status() == envoy::config::core::v3::HEALTHY;
      handed.draining = row.health_status() == envoy::config::core::v3::DRAINING;
      handed.priority = locality.priority(), handed.weight = row.load_balancing_weight().value();
      const auto& fields = row.metadata().filter_metadata().at("reedspindle").fields();
      handed.server = fields.at("member").string_value();
      handed.primary = fields.at("role").string_value() == "primary";
      if (fields.contains("fresh_until_ms")) {
        handed.fresh_until = fields.at("fresh_until_ms").number_value();
      }
      if (fields.contains("position_ms")) {
        handed.position = fields.at("position_ms").number_value();
      }
      endpoints.push_back(std::move(handed));
    }
  }
}

std::map<std::string, std::vector<Handed>> Proxy::assignments() const {
  const std::lock_guard lock(mutex_);
  return assignments_;
}
std::optional<std::vector<Handed>> Proxy::assignment(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto found = assignments_.find(name);
  if (found == assignments_.end()) {
    return std::nullopt;
  }
  return found->second;
}
std::vector<std::string> Proxy::clusters() const {
  const std::lock_guard lock(mutex_);
  return clusters_;
}
std::string Proxy::last_version() const {
  const std::lock_guard lock(mutex_);
  return version_;
}
std::string Proxy::last_status() const {
  const std::lock_guard lock(mutex_);
  return status_;
}

std::optional<Handed> Proxy::pick(const std::string& name, double now, unsigned turn) const {
  const std::lock_guard lock(mutex_);
  const auto found = assignments_.find(name);
  if (found == assignments_.end()) {
    return std::nullopt;
  }
  if (const auto end = ends_.find(name); end != ends_.end() && now >= end->second) {
    return std::nullopt;
  }
  for (unsigned priority = 0; priority < 2; ++priority) {
    std::vector<const Handed*> fit;
    for (const Handed& handed : found->second) {
      if (handed.healthy && handed.priority == priority &&
          (handed.fresh_until < 0 || now < handed.fresh_until)) {
        fit.push_back(&handed);
      }
    }
    if (!fit.empty()) {
      return *fit[turn % fit.size()];
    }
  }
  return std::nullopt;
}

bool Proxy::wait(const std::function<bool(const Proxy&)>& until, int ms) const {
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
  while (!until(*this)) {
    std::unique_lock lock(mutex_);
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    changed_.wait_for(lock, std::chrono::milliseconds(5));
  }
  return true;
}

}  // namespace reedspindle::testservers
