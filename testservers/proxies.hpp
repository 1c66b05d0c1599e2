// Stand-in proxies: clients of the control service that obey what they are handed, over the published
// protocol in either form. They come back when a stream ends, as proxies do, with what they have.
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

struct Handed {
  std::string server, address;
  bool healthy = false, draining = false, primary = false;
  unsigned priority = 0, weight = 0;
  double fresh_until = -1, position = -1;
};

struct ProxyCan {
  bool changes = false;  // which form it speaks
  std::vector<std::string> features;
  std::string user_agent = "stand-in";
};

class Proxy {
 public:
  // What it was sent, after it was applied; on gRPC's threads.
  using Applied = std::function<void(Proxy&, const std::string& type, double at)>;

  Proxy(std::string node, std::string target, ProxyCan can, std::vector<std::string> names,
        Applied applied = {},
        std::shared_ptr<grpc::ChannelCredentials> credentials = grpc::InsecureChannelCredentials());
  ~Proxy();

  // Cuts the stream and comes back, to another target where one is given.
  void come_back(const std::string& target = "");
  void stop();
  // From here on it reads nothing more, or turns down what comes of a type, or says nothing to it.
  std::atomic<bool> reads{true}, answers{true};
  std::atomic<bool> turns_down{false};

  std::map<std::string, std::vector<Handed>> assignments() const;
  std::optional<std::vector<Handed>> assignment(const std::string& name) const;
  std::vector<std::string> clusters() const;
  // As it would send now: one of the first priority that has any healthy one whose time has not run out.
  std::optional<Handed> pick(const std::string& name, double now, unsigned turn) const;
  bool wait(const std::function<bool(const Proxy&)>& until, int ms = 10000) const;
  std::string last_version() const;
  std::string last_status() const;
  int streams() const { return opened_; }
  std::size_t bytes() const { return bytes_; }
  std::size_t responses() const { return responses_; }
  const std::string& node() const { return node_; }

 private:
  template <typename Message, typename Response>
  class Stream;
  using WholeStream = Stream<envoy::service::discovery::v3::DiscoveryRequest,
                             envoy::service::discovery::v3::DiscoveryResponse>;
  using ChangesStream = Stream<envoy::service::discovery::v3::DeltaDiscoveryRequest,
                               envoy::service::discovery::v3::DeltaDiscoveryResponse>;

  void open();
  void cancel_none();
  void ended(const grpc::Status& status);
  void apply(const std::string& type, const std::string& name, const std::string& bytes, double time_to_live);
  template <typename Message, typename Response>
  friend class Stream;

  const std::string node_;
  std::string target_;
  const ProxyCan can_;
  const std::vector<std::string> names_;  // of assignments; with clusters: all of them
  const Applied applied_;
  const std::shared_ptr<grpc::ChannelCredentials> credentials_;
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::shared_ptr<grpc::Channel> channel_;
  std::vector<std::shared_ptr<grpc::Channel>> left_;  // not to be given back on a thread of their own
  std::unique_ptr<envoy::service::discovery::v3::AggregatedDiscoveryService::Stub> stub_;
  std::map<std::string, std::vector<Handed>> assignments_;
  std::map<std::string, std::string> versions_;  // of assignments, in the form of changes
  std::map<std::string, double> ends_;           // by time to live
  std::vector<std::string> clusters_;
  std::string version_, clusters_version_, status_;
  std::atomic<int> opened_{0};
  std::atomic<std::size_t> bytes_{0}, responses_{0};
  bool stopping_ = false;
  int live_ = 0;
  std::function<void()> cancel_;
};

}  // namespace reedspindle::testservers
