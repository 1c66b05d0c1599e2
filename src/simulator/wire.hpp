// Translates between the simulator's line protocol and the router's interface: names, units and numbered
// lists. A line is a JSON array of the message's name and its values; a batch runs from Frame to Flush. Times
// on the wire are in nanoseconds.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "routing/router.hpp"
#include "settings/settings.hpp"

namespace reedspindle::simulator {

// Runs the routers of all simulated instances.
class Host {
 public:
  // Handles one line. Returns the reply to the whole batch at its end, otherwise nothing. Throws
  // InvalidInput.
  std::string handle_line(const std::string& line);

 private:
  using Json = nlohmann::json;

  struct Instance {
    std::unique_ptr<Router> router;
    double zero_ms = 0;     // position zero of the replicas
    bool in_order = false;  // is in order_
    std::string error;      // of the router; reported by Die at the end of the batch
  };

  void create_instance(const Json& line);  // Born
  void set_list(const Json& line);         // Manifest
  // Handles Detach and the events for an instance's router, which are enqueued there.
  void handle_event(const std::string& name, const Json& line);
  [[nodiscard]] Event membership_event(const Json& line) const;
  [[nodiscard]] Event result_event(const Instance& instance, const Json& line) const;
  Instance& find_instance(const Json& line);
  void add_to_order(const std::string& name, Instance& instance);
  // Runs the router of each instance with an event in this batch and returns the decisions of all of them.
  std::string reply();

  bool in_batch_ = false;
  double now_ms_ = 0;
  std::map<std::string, Instance> instances_;
  std::vector<std::string> order_;  // instances with an event in this batch, by first event
  std::map<int, std::vector<ServerEntry>> lists_;
};

}  // namespace reedspindle::simulator
