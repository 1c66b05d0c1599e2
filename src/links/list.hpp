// Discovery: the whole list, then a watch on its changes, over HTTP. Silence takes nothing away from what is
// known; a call that failed is told, and where the list comes by itself the watch simply goes on.
#pragma once

#include <http_parser.h>

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "links/buffer.hpp"
#include "links/clock.hpp"
#include "links/log.hpp"
#include "links/placement.hpp"

namespace reedspindle::links {

struct ListedStore {
  ListedMember entry;
  std::string zone;  // as discovery names it
  asio::ip::tcp::endpoint endpoint;
};
struct StoreList {
  ListKind kind = ListKind::complete;
  long long revision = 0;
  std::vector<ListedStore> stores;
};

// A list in discovery's form. Throws Malformed, which names what is faulty; nothing of such a list counts.
StoreList read_list(const nlohmann::json& json, const Catalogue& catalogue);

class List {
 public:
  using Told = std::function<void(StoreList)>;

  List(asio::io_context& io, Timers& timers, const Clock& clock, Log& log, const Placement& placement,
       Told told);

  // Asks for what is new, now; the watch then goes on by itself.
  void watch();
  // Discovery is at another address from now on: the whole list is asked for there at once, and what is known
  // stays until it comes.
  void move(const asio::ip::tcp::endpoint& discovery);
  // The whole list, now: what is known is in doubt.
  void ask_whole();
  void stop();

 private:
  struct Call;  // one connection to discovery and the answer that is being read from it

  void ask();
  void connected(const std::shared_ptr<Call>& call);
  void read(const std::shared_ptr<Call>& call);
  void answered(Call& call);
  void failed(const std::string& why);
  void give_back();

  asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  Log& log_;
  const Placement& placement_;
  const Told told_;
  asio::ip::tcp::endpoint discovery_;
  bool watching_ = false;
  bool whole_ = true;     // the next call asks for the whole list
  bool failing_ = false;  // the last call had no good answer
  long long revision_ = 0;
  Millis asked_ = 0;
  std::shared_ptr<Call> call_;  // the one owner of the connection to discovery
  std::optional<Timers::Handle> limit_, again_;
};

}  // namespace reedspindle::links
