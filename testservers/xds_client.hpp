// An xDS client of the control service that stands for a proxy: applies the clusters and assignments that it
// receives, in either variant of the protocol. When a stream ends it reconnects as proxies do and states the
// versions it has.
#pragma once

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "envoy/config/endpoint/v3/endpoint.pb.h"
#include "envoy/service/discovery/v3/ads.grpc.pb.h"

namespace reedspindle::testservers {

struct ReceivedEndpoint {
  std::string server, address;
  bool healthy = false, draining = false, primary = false;
  unsigned priority = 0, weight = 0;
  double valid_until = -1, position = -1;
};

struct ClientOptions {
  bool incremental = false;  // incremental variant rather than state of the world
  std::vector<std::string> features;
  std::string user_agent = "test-client";
};

class XdsClient {
 public:
  // Called on a thread of gRPC after each response that has been applied, with its type and the time.
  using AppliedCallback = std::function<void(XdsClient&, const std::string& type, double at)>;

  XdsClient(std::string node, std::string target, ClientOptions options, std::vector<std::string> names,
            AppliedCallback applied = {},
            std::shared_ptr<grpc::ChannelCredentials> credentials = grpc::InsecureChannelCredentials());
  ~XdsClient();

  // Cancels the stream and reconnects, to the target if one is given.
  void reconnect(const std::string& target = "");
  void stop();
  // Whether the client reads further responses, acknowledges or rejects what it reads, and rejects endpoints.
  // Set by the test at any time.
  std::atomic<bool> reads{true}, acknowledges{true};
  std::atomic<bool> rejects_endpoints{false};

  std::map<std::string, std::vector<ReceivedEndpoint>> assignments() const;
  std::optional<std::vector<ReceivedEndpoint>> assignment(const std::string& name) const;
  std::vector<std::string> clusters() const;
  // Returns the endpoint that a request would be sent to now: a healthy, unexpired one of the first priority
  // that has any.
  std::optional<ReceivedEndpoint> pick_endpoint(const std::string& name, double now, unsigned turn) const;
  bool wait(const std::function<bool(const XdsClient&)>& until, int ms = 10000) const;
  std::string last_version() const;
  std::string last_status() const;
  int streams() const { return streams_opened_; }
  std::size_t bytes() const { return bytes_; }
  std::size_t responses() const { return responses_; }
  const std::string& node() const { return node_; }

 private:
  template <typename Message, typename Response>
  class Stream;
  using SotwStream = Stream<envoy::service::discovery::v3::DiscoveryRequest,
                            envoy::service::discovery::v3::DiscoveryResponse>;
  using IncrementalStream = Stream<envoy::service::discovery::v3::DeltaDiscoveryRequest,
                                   envoy::service::discovery::v3::DeltaDiscoveryResponse>;

  void open();
  void clear_cancel();
  void on_stream_ended(const grpc::Status& status);
  void apply(const std::string& type, const std::string& name, const std::string& bytes, double time_to_live);
  template <typename Message, typename Response>
  friend class Stream;

  const std::string node_;
  std::string target_;
  const ClientOptions options_;
  const std::vector<std::string> names_;  // of assignments; clusters are subscribed to by wildcard
  const AppliedCallback applied_;
  const std::shared_ptr<grpc::ChannelCredentials> credentials_;
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::shared_ptr<grpc::Channel> channel_;
  // Kept until the client is destroyed, since a channel must not be released on one of its own threads.
  std::vector<std::shared_ptr<grpc::Channel>> previous_channels_;
  std::unique_ptr<envoy::service::discovery::v3::AggregatedDiscoveryService::Stub> stub_;
  std::map<std::string, std::vector<ReceivedEndpoint>> assignments_;
  std::map<std::string, std::string> versions_;  // of assignments, in the incremental variant
  std::map<std::string, double> expiry_times_;   // of assignments with a time to live
  std::vector<std::string> clusters_;
  std::string version_, clusters_version_, status_;
  std::atomic<int> streams_opened_{0};
  std::atomic<std::size_t> bytes_{0}, responses_{0};
  bool stopping_ = false;
  int streams_open_ = 0;
  std::function<void()> cancel_;
};

}  // namespace reedspindle::testservers
