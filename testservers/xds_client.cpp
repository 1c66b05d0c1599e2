#include "testservers/xds_client.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <thread>

#include "envoy/config/cluster/v3/cluster.pb.h"
#include "testservers/test_environment.hpp"

namespace reedspindle::testservers {

namespace xds = envoy::service::discovery::v3;
using envoy::config::cluster::v3::Cluster;
using envoy::config::endpoint::v3::ClusterLoadAssignment;

namespace {
constexpr const char* kClusters = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
constexpr const char* kEndpoints = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
}  // namespace

// A stream in one of the two protocol variants. Deletes itself when gRPC reports that it is done.
template <typename Message, typename Response>
class XdsClient::Stream final : public grpc::ClientBidiReactor<Message, Response> {
 public:
  static constexpr bool kIsSotw = std::is_same_v<Message, xds::DiscoveryRequest>;

  explicit Stream(XdsClient& client) : client_(client) {
    context_.set_wait_for_ready(true);
    auto* calls = client.stub_->async();
    if constexpr (kIsSotw) {
      calls->StreamAggregatedResources(&context_, this);
    } else {
      calls->DeltaAggregatedResources(&context_, this);
    }
    subscribe(kClusters, {});
    if (!client.names_.empty()) {
      subscribe(kEndpoints, client.names_);
    }
    this->StartRead(&incoming_);
    this->StartCall();
  }
  void cancel() { context_.TryCancel(); }

  void OnReadDone(bool ok) override {
    if (!ok) {
      return;
    }
    client_.bytes_ += incoming_.ByteSizeLong();
    ++client_.responses_;
    const bool rejected = client_.rejects_endpoints && incoming_.type_url() == kEndpoints;
    if (!rejected) {
      apply();
    }
    if (client_.acknowledges) {
      acknowledge(rejected);
    }
    if (client_.reads) {
      this->StartRead(&incoming_);
    }
  }
  void OnWriteDone(bool /*unused*/) override {
    const std::lock_guard lock(mutex_);
    outgoing_.pop_front();
    if (!outgoing_.empty()) {
      this->StartWrite(&outgoing_.front());
    }
  }
  void OnDone(const grpc::Status& status) override {
    XdsClient& client = client_;
    client.clear_cancel();
    delete this;
    client.on_stream_ended(status);
  }

 private:
  void send(Message message) {
    const std::lock_guard lock(mutex_);
    outgoing_.push_back(std::move(message));
    if (outgoing_.size() == 1) {
      this->StartWrite(&outgoing_.front());
    }
  }

  void subscribe(const char* type, const std::vector<std::string>& names) {
    Message message;
    message.set_type_url(type);
    message.mutable_node()->set_id(client_.node_);
    message.mutable_node()->set_user_agent_name(client_.options_.user_agent);
    for (const std::string& feature : client_.options_.features) {
      message.mutable_node()->add_client_features(feature);
    }
    if constexpr (kIsSotw) {
      message.set_version_info(type == kEndpoints ? client_.version_ : client_.clusters_version_);
      for (const std::string& name : names) {
        message.add_resource_names(name);
      }
    } else {
      for (const std::string& name : names) {
        message.add_resource_names_subscribe(name);
      }
      if (type == kEndpoints) {
        for (const auto& [name, version] : client_.versions_) {
          (*message.mutable_initial_resource_versions())[name] = version;
        }
      }
    }
    send(std::move(message));
  }

  void acknowledge(bool rejected) {
    Message message;
    message.set_type_url(incoming_.type_url());
    message.set_response_nonce(incoming_.nonce());
    if (rejected) {
      message.mutable_error_detail()->set_message("rejected by the test");
    }
    if constexpr (kIsSotw) {
      message.set_version_info(rejected ? client_.last_version() : incoming_.version_info());
      if (incoming_.type_url() == kEndpoints) {
        for (const std::string& name : client_.names_) {
          message.add_resource_names(name);
        }
      }
    }
    send(std::move(message));
  }

  void apply() {
    {
      const std::lock_guard lock(client_.mutex_);
      if constexpr (kIsSotw) {
        if (incoming_.type_url() == kEndpoints) {
          client_.version_ = incoming_.version_info();
        }
        if (incoming_.type_url() == kClusters) {
          client_.clusters_.clear(), client_.clusters_version_ = incoming_.version_info();
        }
        for (const auto& packed : incoming_.resources()) {
          xds::Resource wrapped;
          if (packed.UnpackTo(&wrapped)) {
            client_.apply(
                incoming_.type_url(), wrapped.name(), wrapped.resource().value(),
                wrapped.has_ttl() ? wrapped.ttl().seconds() * 1000.0 + wrapped.ttl().nanos() / 1e6 : -1);
          } else {
            client_.apply(incoming_.type_url(), "", packed.value(), -1);
          }
        }
      } else {
        for (const auto& resource : incoming_.resources()) {
          client_.apply(
              incoming_.type_url(), resource.name(), resource.resource().value(),
              resource.has_ttl() ? resource.ttl().seconds() * 1000.0 + resource.ttl().nanos() / 1e6 : -1);
          if (incoming_.type_url() == kEndpoints) {
            client_.versions_[resource.name()] = client_.version_ = resource.version();
          }
        }
        for (const std::string& name : incoming_.removed_resources()) {
          client_.assignments_.erase(name), client_.versions_.erase(name);
          std::erase(client_.clusters_, name);
        }
      }
    }
    client_.changed_.notify_all();
    if (client_.applied_) {
      client_.applied_(client_, incoming_.type_url(), now_ms());
    }
  }

  XdsClient& client_;
  grpc::ClientContext context_;
  Response incoming_;
  std::mutex mutex_;
  std::deque<Message> outgoing_;
};

XdsClient::XdsClient(std::string node, std::string target, ClientOptions options,
                     std::vector<std::string> names, AppliedCallback applied,
                     std::shared_ptr<grpc::ChannelCredentials> credentials)
    : node_(std::move(node)),
      target_(std::move(target)),
      options_(std::move(options)),
      names_(std::move(names)),
      applied_(std::move(applied)),
      credentials_(std::move(credentials)) {
  open();
}

XdsClient::~XdsClient() { stop(); }

void XdsClient::open() {
  const std::lock_guard lock(mutex_);
  if (stopping_) {
    return;
  }
  if (!channel_) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);  // a connection for each client
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 20);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 20);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 50);
    arguments.SetSslTargetNameOverride("control.test");  // the certificates contain no IP addresses
    channel_ = grpc::CreateCustomChannel(target_, credentials_, arguments);
    stub_ = xds::AggregatedDiscoveryService::NewStub(channel_);
  }
  ++streams_opened_, ++streams_open_;
  if (options_.incremental) {
    auto* stream = new IncrementalStream(*this);
    cancel_ = [stream] { stream->cancel(); };
  } else {
    auto* stream = new SotwStream(*this);
    cancel_ = [stream] { stream->cancel(); };
  }
}

void XdsClient::clear_cancel() {
  const std::lock_guard lock(mutex_);
  cancel_ = nullptr;
}

void XdsClient::on_stream_ended(const grpc::Status& status) {
  bool reconnects;
  {
    const std::lock_guard lock(mutex_);
    --streams_open_;
    status_ = status.error_message();
    reconnects = !stopping_;
    changed_.notify_all();
  }
  if (!reconnects) {
    return;
  }
  if (!status.ok() && status.error_code() != grpc::StatusCode::CANCELLED) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  open();
}

void XdsClient::reconnect(const std::string& target) {
  const std::lock_guard lock(mutex_);
  if (!target.empty() && target != target_) {
    target_ = target, previous_channels_.push_back(std::move(channel_));
  }
  if (cancel_) {
    cancel_();
  }
}

void XdsClient::stop() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  if (cancel_) {
    cancel_();
  }
  changed_.wait(lock, [this] { return streams_open_ == 0; });
}

void XdsClient::apply(const std::string& type, const std::string& name, const std::string& bytes,
                      double time_to_live) {
  if (type == kClusters) {
    Cluster cluster;
    if (cluster.ParseFromString(bytes)) {
      clusters_.push_back(cluster.name());
    }
    return;
  }
  if (bytes.empty()) {  // a heartbeat: renews the time to live alone
    expiry_times_[name] = now_ms() + time_to_live;
    return;
  }
  ClusterLoadAssignment message;
  if (!message.ParseFromString(bytes)) {
    return;
  }
  std::vector<ReceivedEndpoint>& endpoints = assignments_[message.cluster_name()];
  endpoints.clear();
  expiry_times_.erase(message.cluster_name());
  if (time_to_live >= 0) {
    expiry_times_[message.cluster_name()] = now_ms() + time_to_live;
  }
  for (const auto& locality : message.endpoints()) {
    for (const auto& lb_endpoint : locality.lb_endpoints()) {
      const auto& address = lb_endpoint.endpoint().address().socket_address();
      ReceivedEndpoint endpoint;
      endpoint.address = address.address() + ":" + std::to_string(address.port_value());
      endpoint.healthy = lb_endpoint.health_status() == envoy::config::core::v3::HEALTHY;
      endpoint.draining = lb_endpoint.health_status() == envoy::config::core::v3::DRAINING;
      endpoint.priority = locality.priority(), endpoint.weight = lb_endpoint.load_balancing_weight().value();
      const auto& fields = lb_endpoint.metadata().filter_metadata().at("reedspindle").fields();
      endpoint.server = fields.at("member").string_value();
      endpoint.primary = fields.at("role").string_value() == "primary";
      if (fields.contains("fresh_until_ms")) {
        endpoint.valid_until = fields.at("fresh_until_ms").number_value();
      }
      if (fields.contains("position_ms")) {
        endpoint.position = fields.at("position_ms").number_value();
      }
      endpoints.push_back(std::move(endpoint));
    }
  }
}

std::map<std::string, std::vector<ReceivedEndpoint>> XdsClient::assignments() const {
  const std::lock_guard lock(mutex_);
  return assignments_;
}
std::optional<std::vector<ReceivedEndpoint>> XdsClient::assignment(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto found = assignments_.find(name);
  if (found == assignments_.end()) {
    return std::nullopt;
  }
  return found->second;
}
std::vector<std::string> XdsClient::clusters() const {
  const std::lock_guard lock(mutex_);
  return clusters_;
}
std::string XdsClient::last_version() const {
  const std::lock_guard lock(mutex_);
  return version_;
}
std::string XdsClient::last_status() const {
  const std::lock_guard lock(mutex_);
  return status_;
}

std::optional<ReceivedEndpoint> XdsClient::pick_endpoint(const std::string& name, double now,
                                                         unsigned turn) const {
  const std::lock_guard lock(mutex_);
  const auto found = assignments_.find(name);
  if (found == assignments_.end()) {
    return std::nullopt;
  }
  if (const auto end = expiry_times_.find(name); end != expiry_times_.end() && now >= end->second) {
    return std::nullopt;
  }
  for (unsigned priority = 0; priority < 2; ++priority) {
    std::vector<const ReceivedEndpoint*> usable;
    for (const ReceivedEndpoint& endpoint : found->second) {
      if (endpoint.healthy && endpoint.priority == priority &&
          (endpoint.valid_until < 0 || now < endpoint.valid_until)) {
        usable.push_back(&endpoint);
      }
    }
    if (!usable.empty()) {
      return *usable[turn % usable.size()];
    }
  }
  return std::nullopt;
}

bool XdsClient::wait(const std::function<bool(const XdsClient&)>& until, int ms) const {
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
