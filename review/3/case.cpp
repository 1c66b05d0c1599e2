// Connections to stores that come up late, while replicas lag: is every bounded read answered from data
// within its bound, counted from the send's last byte?
#include "../common/rig.hpp"

namespace {

constexpr const char* kSettings = R"("limits":{"cores":1.0,"memory_mb":64,"sockets":512},
"settings":{"az":0,"ceilings":{"cancel":true,"connIdle":30000000000,"connectTimeout":250000000,"cpuUsPerRequest":0.0,
"cpuUsPerS":400000,"maxAttempts":6,"maxOpen":20000,"maxRetryAfter":1000000000,"mayTell":false,"probes":true,
"retryAfter":true,"secondCopies":false,"streamsPerConn":1},"clients":{"marksRetry":false},"countedBy":"request",
"discovery":"ask","familyInfo":{"behind":"silent","commitWaits":false,"needsByClass":["recent","update"],"oldestData":[300000000,0],"positions":true,"roleListed":"delayed","tokens":"client"},"kindOfService":"replicas",
"nInstances":1,"quantum":5000000,"rank":0,"report":{"how":"pull","names":["x0","x1"]},
"requestClasses":[{"deadline":600000000,"dedupWindow":5000000000,"effect":"repeatable","goalTime":200000000,
"importance":3.0,"keyScope":"all","lateValue":0.2,"name":"map-view","stream":false},{"deadline":3000000000,"dedupWindow":5000000000,"effect":"once",
"goalTime":600000000,"importance":3.0,"keyScope":"all","lateValue":0.3,"name":"job-log","stream":false}],
"rules":{"askWithin":10000000000,"coldFrom":0.23,"fall":1500000000,"fallMultiple":4.0,"graceToAnswer":20000000,
"stopSendingWithin":250000000,"warmWithin":15000000000},"shapes":["std-3c"],"tenants":[],"tier":0,
"tiers":["trekta-db"],"weights":"nominal","zones":["nakuru-a"]})";

constexpr int kStores = 7;          // one shard: a primary and six replicas
constexpr double kBound = 300;      // ms, of map-view
constexpr double kSlack = 50;       // ms, of each time limit on sockets
constexpr double kShip = 8;         // ms until a replica has the log (4.6 to 12)
constexpr double kApplyUse = 0.31;  // of a replica's one thread, at the usual speed (0.31 to 0.59)
constexpr double kSlower = 20;      // times, while replicas lag (3.3 to 20), with the disruption and without
constexpr double kLagFor = 8000;    // ms (8 to 25 s)
constexpr double kLagEvery = 12500, kFirstLag = 3000;  // ms: from one time of lag to the next
constexpr double kLagApart = 370;                      // ms, between the replicas' times of lag
constexpr int kLags = 6;
constexpr double kLength = 76000;  // ms
constexpr int kWriters = 6;
constexpr double kOtherWriteEvery = 40;  // ms, in the mean: the writes that come through the other two fronts
constexpr int kMapsAtOnce = 40;          // map-views that come together
// The disruption: a third of the connections comes up late, idle ones are closed early.
constexpr double kLateShare = 1.0 / 3, kLateFrom = 180, kLateTo = 240;  // ms (up to 1.5 s)
constexpr double kIdleLimit = 310;                                      // ms

// The shard's log, and how far its replicas have applied it: a fluid model of their one thread.
class Log {
 public:
  explicit Log(double start) : start_(start) {}

  double commit() {
    const std::lock_guard lock(mutex_);
    commits_.push_back(rig::now_ms());
    return commits_.back();
  }
  int commits_between(double after, double until) {
    const std::lock_guard lock(mutex_);
    int count = 0;
    for (const double at : commits_) {
      count += at > after && at <= until ? 1 : 0;
    }
    return count;
  }
  // The position of a replica now.
  [[nodiscard]] double replica_position(int number) const {
    const double now = rig::now_ms();
    double position = now - kShip;
    for (int i = 0; i < kLags; ++i) {
      const double from = start_ + kFirstLag + i * kLagEvery + number * kLagApart;
      const double slow_pace = 1 / (kApplyUse * kSlower);  // ms of log a ms
      const double fast_pace = 1 / kApplyUse;
      if (now > from && now <= from + kLagFor) {
        position = from - kShip + slow_pace * (now - from);
      } else if (now > from + kLagFor) {
        position =
            std::min(position, from - kShip + slow_pace * kLagFor + fast_pace * (now - from - kLagFor));
      }
    }
    return position;
  }

 private:
  const double start_;
  std::mutex mutex_;
  std::vector<double> commits_;
};

class Case {
 public:
  explicit Case(rig::Record& record) : record_(record) {}

  int run(const std::filesystem::path& folder) {
    start_ = rig::now_ms();
    commits_ = std::make_unique<Log>(start_);
    for (int i = 0; i < kStores; ++i) {
      stores_.push_back(std::make_unique<rig::Store>());
      rig::Store& store = *stores_.back();
      store.on_vitals = [this, i] { return vitals(i); };
      store.on_statement = [this, i](const std::string& sql, double last_byte) {
        return answer(sql, i, last_byte);
      };
      if (rig::trouble()) {
        store.connection_delay = [this] {
          return chance_.unit() < kLateShare ? chance_.between(kLateFrom, kLateTo) : 0.0;
        };
        store.idle_limit = [] { return kIdleLimit; };
      }
      store.start();
    }
    discovery_.list = "{\"rev\":1,\"all\":true,\"targets\":[";
    for (int i = 0; i < kStores; ++i) {
      discovery_.list += rig::text(
          "%s{\"uid\":\"s-%d\",\"endpoint\":\"%s\",\"az\":\"nakuru-a\",\"model\":\"std-3c\",\"pod_group\":1,"
          "\"state\":\"active\",\"capacity_hint\":1.0,\"boot_ms\":0,\"rank\":\"%s\"}",
          i ? "," : "", i, stores_[static_cast<std::size_t>(i)]->address().c_str(), i ? "copy" : "source");
    }
    discovery_.list += "]}";
    discovery_.start();
    rig::Proxy proxy(folder, "n0");
    proxy.start(discovery_, kSettings);
    proxy_port_ = proxy.port();
    record_.line("the proxy is ready");

    const double end = rig::now_ms() + kLength;
    rig::Threads clients;
    for (int i = 0; i < kMapsAtOnce; ++i) {
      clients.start([this, i, end] { map_views(i, end); });
    }
    clients.start([this, end] {
      while (rig::now_ms() < end) {
        rig::sleep_ms(chance_.exponential(kOtherWriteEvery));
        record_.line(rig::text("primary: ran a write of another front, committed at %.1f",
                               commits_->commit() - start_));
      }
    });
    for (int i = 0; i < kWriters; ++i) {
      clients.start([this, i, end] { job_logs(i, end); });
    }
    clients.join();
    const bool running = proxy.running();
    proxy.end(SIGKILL);
    discovery_.stop();
    int connections = 0;
    int late = 0;
    for (auto& store : stores_) {
      store->stop();
      connections += store->connections;
      late += store->late_connections;
    }
    std::istringstream log(proxy.log());
    for (std::string line; std::getline(log, line);) {
      record_.line("proxy's log: " + line);
    }
    record_.say(rig::text("connections made to stores: %d, %d of them came up late", connections, late));
    record_.say(rig::text("served: %d bounded reads (%d by replicas), %d writes", served_.load(),
                          by_replicas_.load(), commits_served_.load()));
    record_.say(rig::text(
        "bounded reads answered at a position over %.0f + %.0f ms before the send's last byte: %d, of "
        "which without a write that old: %d",
        kBound, kSlack, old_.load(), stale_.load()));
    if (served_ < 100 || commits_served_ < 100) {
      record_.say("too little was served: the case has not run");
      return rig::kNotRun;
    }
    return stale_ > 0 || !running ? rig::kBroken : rig::kHeld;
  }

 private:
  // Position of a store: a primary stands at the present.
  double position(int number) { return number == 0 ? rig::now_ms() : commits_->replica_position(number); }
  std::string vitals(int number) {
    return rig::text("x0=%.3f,x1=%d", std::floor(position(number)) / 1000, number == 0);
  }

  rig::Store::Answer answer(const std::string& sql, int number, double last_byte) {
    const rig::Statement statement = rig::read_statement(sql);
    const std::string rank = rig::parameter("rank", number == 0 ? "source" : "copy");
    const auto as_of = [](double at) { return rig::parameter("as_of", rig::text("%.0f", std::floor(at))); };
    if (statement.writes) {
      if (number != 0) {
        return {rig::error("25006", "no primary") + rank + as_of(position(number)) + rig::ready()};
      }
      rig::sleep_ms(chance_.between(53, 92));
      const double at = commits_->commit();
      record_.line(rig::text("primary: ran %s, committed at %.1f", statement.id.c_str(), at - start_));
      return {rig::row("ok", "INSERT 0 1") + rank + as_of(at + 1) + rig::ready()};
    }
    rig::sleep_ms(chance_.between(32, 55));
    // The data is what the store has when it answers, at its newest.
    const double shown = position(number);
    const bool old = shown < last_byte - kBound - kSlack;
    const int missing = old ? commits_->commits_between(shown, last_byte - kBound - kSlack) : 0;
    record_.line(rig::text(
        "store %d (%s): ran %s on a connection that came up %.0f ms late, last byte at %.1f, answered as of "
        "%.1f: %.0f ms before%s",
        number, number ? "replica" : "primary", statement.id.c_str(), rig::Store::delay_of_connection(),
        last_byte - start_, shown - start_, last_byte - shown,
        old ? rig::text(" TOO OLD, %d writes older than that are missing", missing).c_str() : ""));
    {
      const std::lock_guard lock(mutex_);
      answers_[statement.id] = {number, old, missing};
    }
    return {rig::row(rig::text("%.0f", shown), "SELECT 1") + rank + as_of(shown) + rig::ready()};
  }

  // Sends one statement; returns its id if it was served.
  std::string ask(rig::Session& session, bool writes, const std::string& request_class, double patience) {
    const std::string id = rig::text("%016x", ++last_id_);
    const std::string tail =
        rig::text("/* id=%s,c=%s,d=%.0f,cluster=1 */", id.c_str(), request_class.c_str(), patience);
    const std::string sql = writes ? "INSERT INTO records (k, v) VALUES ('job', '\\x01') RETURNING v " + tail
                                   : "SELECT v FROM records WHERE k = 'map' " + tail;
    if (!session.open()) {
      session = rig::Session(proxy_port_);
    }
    const rig::Reply reply = session.ask(sql, rig::now_ms() + patience + 550);
    if (reply.kind == rig::Reply::Kind::served) {
      return id;
    }
    record_.line(rig::text("client: %s %s: %s %s", request_class.c_str(), id.c_str(),
                           rig::name_of(reply.kind), reply.code.c_str()));
    return "";
  }

  // Tiles of one map are asked for together, at times that all clients know.
  void map_views(int number, double end) {
    rig::Session session(proxy_port_);
    std::minstd_rand same(7);
    for (double next = end - kLength; next < end;) {
      rig::sleep_ms(next - rig::now_ms());
      const std::string id = ask(session, false, "map-view", 600);
      if (!id.empty()) {
        const std::lock_guard lock(mutex_);
        const auto [store, old, missing] = answers_[id];
        ++served_;
        by_replicas_ += store != 0 ? 1 : 0;
        old_ += old ? 1 : 0;
        stale_ += missing > 0 ? 1 : 0;
        if (missing > 0) {
          record_.line(
              rig::text("client %d: map-view %s was served with data that is TOO OLD", number, id.c_str()));
        }
      }
      next += 390 + static_cast<double>(same() % 80);
    }
  }
  void job_logs(int number, double end) {
    rig::Session session(proxy_port_);
    rig::sleep_ms(100 * number);
    while (rig::now_ms() < end) {
      commits_served_ += ask(session, true, "job-log", 3000).empty() ? 0 : 1;
      rig::sleep_ms(chance_.between(200, 400));
    }
  }

  struct Seen {
    int store = 0;
    bool old = false;
    int missing = 0;
  };

  rig::Record& record_;
  rig::Chance chance_{std::random_device()()};
  std::unique_ptr<Log> commits_;
  std::vector<std::unique_ptr<rig::Store>> stores_;
  rig::Discovery discovery_;
  double start_ = 0;
  int proxy_port_ = 0;
  std::mutex mutex_;
  std::map<std::string, Seen> answers_;
  std::atomic<int> last_id_{0}, served_{0}, by_replicas_{0}, commits_served_{0}, old_{0}, stale_{0};
};

}  // namespace

int main(int count, char** arguments) {
  return rig::run_case(count, arguments, [](const std::filesystem::path& folder, rig::Record& record) {
    return Case(record).run(folder);
  });
}
