#include "standins/world.hpp"

#include <fmt/format.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>

#include "links/pgwire.hpp"

namespace reedspindle::standins {

using Tcp = asio::ip::tcp;
namespace pgwire = links::pgwire;

double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct World::Link {
  explicit Link(Tcp::socket of) : socket(std::move(of)) {}
  Tcp::socket socket;
  std::string held, out;
  char bytes[4096];
  bool started = false;
  long long since = -1;  // of a watch that waits
};

namespace {

std::string message(char type, const std::string& body) {
  const auto size = static_cast<std::uint32_t>(body.size() + 4);
  std::string text(1, type);
  for (const int shift : {24, 16, 8, 0}) text += static_cast<char>(size >> shift & 0xff);
  return text + body;
}

std::string row(const std::string& value) {
  const auto size = static_cast<std::uint32_t>(value.size());
  std::string columns("\0\1", 2);
  for (const int shift : {24, 16, 8, 0}) columns += static_cast<char>(size >> shift & 0xff);
  const std::string description = std::string("\0\1vitals\0", 9) + std::string("\0\0\0\0\0\0", 6) +
                                  std::string("\0\0\0\31\377\377\377\377\377\377\0\0", 12);
  return message('T', description) + message('D', columns + value) + pgwire::completed("SHOW") +
         pgwire::ready();
}

}  // namespace

World::World(int stores)
    : discovery_(io_, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)), states_(stores) {
  discovery_address_ = fmt::format("127.0.0.1:{}", discovery_.local_endpoint().port());
  for (int store = 0; store < stores; ++store) {
    stores_.push_back(
        std::make_unique<Tcp::acceptor>(io_, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)));
    ports_.push_back(stores_.back()->local_endpoint().port());
    accept_store(store);
  }
  accept_discovery();
  thread_ = std::thread([this] {
    const auto work = asio::make_work_guard(io_);
    io_.run();
  });
}

World::~World() {
  io_.stop();
  thread_.join();
}

std::string World::name_of(int store) const { return fmt::format("s-{:03}", store); }
std::string World::address_of(int store) const {
  return fmt::format("127.0.0.1:{}", ports_.at(static_cast<std::size_t>(store)));
}
int World::store_at(const std::string& address) const {
  for (int store = 0; store < size(); ++store)
    if (address_of(store) == address) return store;
  return -1;
}

double World::change(const std::function<void(std::vector<StoreState>&)>& by) {
  std::promise<double> written;
  asio::post(io_, [&] {
    std::vector<std::shared_ptr<Link>> told;
    {
      const std::lock_guard lock(mutex_);
      by(states_);
      ++revision_;
      if (manner_ != Manner::silent) {
        for (const auto& weak : watching_)
          if (auto link = weak.lock(); link && link->since >= 0) told.push_back(link);
        watching_.clear();
      }
    }
    for (const auto& link : told) answer_http(link);
    written.set_value(now_ms());
  });
  return written.get_future().get();
}

void World::quietly(const std::function<void(std::vector<StoreState>&)>& by) {
  const std::lock_guard lock(mutex_);
  by(states_);
}
void World::pass_http2(int store, int port) {
  const std::lock_guard lock(mutex_);
  http2_[store] = port;
}

void World::pass_on(const std::shared_ptr<Link>& link, int port) {
  const auto other = std::make_shared<Link>(Tcp::socket(io_));
  other->out = std::exchange(link->held, "");
  const Tcp::endpoint to(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port));
  other->socket.async_connect(to, [link, other](const asio::error_code& fault) {
    if (fault) return;
    asio::async_write(other->socket, asio::buffer(other->out),
                      [link, other](const asio::error_code& broken, std::size_t) {
                        if (broken) return;
                        relay(link, other);
                        relay(other, link);
                      });
  });
}

void World::relay(const std::shared_ptr<Link>& from, const std::shared_ptr<Link>& to) {
  from->socket.async_read_some(asio::buffer(from->bytes),
                               [from, to](const asio::error_code& fault, std::size_t n) {
                                 asio::error_code ignored;
                                 if (fault) {
                                   from->socket.close(ignored);
                                   to->socket.close(ignored);
                                   return;
                                 }
                                 asio::async_write(to->socket, asio::buffer(from->bytes, n),
                                                   [from, to](const asio::error_code& broken, std::size_t) {
                                                     if (!broken) relay(from, to);
                                                   });
                               });
}

void World::discovery(Manner manner) {
  const std::lock_guard lock(mutex_);
  manner_ = manner;
}
void World::revision(long long to) {
  const std::lock_guard lock(mutex_);
  revision_ = to;
}
double World::position_of(const StoreState& state) const {
  if (state.primary) return now_ms();
  return state.stalled_at >= 0 ? state.stalled_at : now_ms() - state.lag;
}
double World::position(int store) const {
  const std::lock_guard lock(mutex_);
  return position_of(states_.at(static_cast<std::size_t>(store)));
}
StoreState World::state(int store) const {
  const std::lock_guard lock(mutex_);
  return states_.at(static_cast<std::size_t>(store));
}

void World::accept_discovery() {
  discovery_.async_accept([this](const asio::error_code& fault, Tcp::socket socket) {
    if (fault) return;
    read_http(std::make_shared<Link>(std::move(socket)));
    accept_discovery();
  });
}

void World::read_http(const std::shared_ptr<Link>& link) {
  link->socket.async_read_some(
      asio::buffer(link->bytes), [this, link](const asio::error_code& fault, std::size_t n) {
        if (fault) return;
        link->held.append(link->bytes, n);
        const std::size_t end = link->held.find("\r\n\r\n");
        if (end == std::string::npos) return read_http(link);
        const std::string line = link->held.substr(0, link->held.find("\r\n"));
        link->held.erase(0, end + 4);
        const std::size_t since = line.find("since=");
        link->since = since == std::string::npos ? -1 : std::stoll(line.substr(since + 6));
        {
          const std::lock_guard lock(mutex_);
          if (manner_ == Manner::silent) return read_http(link);
          if (link->since >= revision_ && link->since >= 0) {
            watching_.push_back(link);
            return read_http(link);
          }
        }
        answer_http(link);
        read_http(link);
      });
}

void World::answer_http(const std::shared_ptr<Link>& link) {
  const std::string body = list();
  link->since = -1;
  link->out = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
  asio::async_write(link->socket, asio::buffer(link->out), [link](const asio::error_code&, std::size_t) {});
}

std::string World::list() const {
  const std::lock_guard lock(mutex_);
  nlohmann::json targets = nlohmann::json::array();
  for (int store = 0; manner_ != Manner::empty_list && store < size(); ++store) {
    const StoreState& state = states_[static_cast<std::size_t>(store)];
    if (!state.listed) continue;
    targets.push_back({{"uid", name_of(store)},
                       {"endpoint", address_of(store)},
                       {"az", "a"},
                       {"pod_group", state.group},
                       {"state", state.draining ? "leaving" : "active"},
                       {"boot_ms", 0}});
  }
  return nlohmann::json{{"rev", revision_}, {"all", true}, {"targets", targets}}.dump();
}

void World::accept_store(int store) {
  stores_[static_cast<std::size_t>(store)]->async_accept(
      [this, store](const asio::error_code& fault, Tcp::socket socket) {
        if (fault) return;
        socket.set_option(Tcp::no_delay(true));
        read_store(std::make_shared<Link>(std::move(socket)), store);
        accept_store(store);
      });
}

void World::read_store(const std::shared_ptr<Link>& link, int store) {
  link->socket.async_read_some(asio::buffer(link->bytes), [this, link, store](const asio::error_code& fault,
                                                                              std::size_t n) {
    if (fault) return;
    link->held.append(link->bytes, n);
    if (!link->started && link->held.starts_with("PRI")) {
      const std::lock_guard lock(mutex_);
      if (const auto port = http2_.find(store); port != http2_.end()) pass_on(link, port->second);
      return;
    }
    std::string out;
    for (;;) {
      const pgwire::Read read =
          link->started ? pgwire::read_from_client(link->held) : pgwire::read_startup(link->held);
      const auto* asked = std::get_if<pgwire::Message>(&read);
      if (!asked) break;
      const StoreState state = this->state(store);
      if (!link->started)
        out += pgwire::welcome();
      else if (asked->type == 'Q' && state.answers) {
        const std::string text(asked->body.substr(0, asked->body.size() - 1));
        if (text == "SHOW vitals")
          ++probes_,
              out += row(fmt::format("x0={:.6f},x1={}", position_of(state) / 1000, state.primary ? 1 : 0));
        else
          out += pgwire::empty_answer();
      }
      link->started = true;
      link->held.erase(0, asked->bytes.size());
    }
    if (out.empty()) return read_store(link, store);
    link->out = std::move(out);
    asio::async_write(link->socket, asio::buffer(link->out),
                      [this, link, store](const asio::error_code& broken, std::size_t) {
                        if (!broken) read_store(link, store);
                      });
  });
}

}  // namespace reedspindle::standins
