// Between the simulator's wire and the module's interface: words, units and numbered lists. It only
// translates.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "routing/router.hpp"
#include "settings/settings.hpp"

namespace reedspindle::simulator {

class Host {
 public:
  // Takes one line; at the end of a batch it returns the whole reply, else nothing. Throws InvalidInput.
  std::string handle_line(const std::string& line);

 private:
  using Json = nlohmann::json;

  struct Instance {
    std::unique_ptr<Router> router;
    double zero_ms = 0;
    bool touched = false;
    std::string fault;
  };

  void born(const Json& line);
  void manifest(const Json& line);
  void event(const std::string& name, const Json& line);
  [[nodiscard]] Event membership(const Json& line) const;
  [[nodiscard]] Event result(const Instance& at, const Json& line) const;
  Instance& instance(const Json& line);
  void touch(const std::string& name, Instance& instance);
  std::string reply();

  bool in_batch_ = false;
  double now_ms_ = 0;
  std::map<std::string, Instance> instances_;
  std::vector<std::string> order_;  // instances with an event in this batch, by first event
  std::map<int, std::vector<ServerEntry>> lists_;
};

}  // namespace reedspindle::simulator
