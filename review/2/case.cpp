// Replicas that apply the log slowly: does a session's read show the write that this proxy has acknowledged
// to it?
#include "../common/rig.hpp"

namespace {

constexpr const char* kSettings = R"("limits":{"cores":1.0,"memory_mb":64,"sockets":512},
"settings":{"az":0,"ceilings":{"cancel":true,"connIdle":30000000000,"connectTimeout":250000000,"cpuUsPerRequest":0.0,
"cpuUsPerS":100000,"maxAttempts":8,"maxOpen":20000,"maxRetryAfter":1000000000,"mayTell":false,"probes":true,
"retryAfter":true,"secondCopies":false,"streamsPerConn":1},"clients":{"marksRetry":false},"countedBy":"request",
"discovery":"push","familyInfo":{"behind":"silent","commitWaits":false,"needsByClass":["recent","own_writes","update"],
"oldestData":[3000000000,0,0],"positions":false,"roleListed":"initial","tokens":"router"},"kindOfService":"replicas",
"nInstances":1,"quantum":5000000,"rank":0,"report":{"how":"piggyback","names":["x0","x1","queue"]},
"requestClasses":[{"deadline":500000000,"dedupWindow":5000000000,"effect":"repeatable","goalTime":200000000,
"importance":2.0,"keyScope":"all","lateValue":0.0,"name":"slot-browse","stream":false},{"deadline":600000000,
"dedupWindow":5000000000,"effect":"repeatable","goalTime":200000000,"importance":1.0,"keyScope":"all","lateValue":0.2,
"name":"my-booking","stream":false},{"deadline":5000000000,"dedupWindow":5000000000,"effect":"once",
"goalTime":500000000,"importance":3.0,"keyScope":"all","lateValue":0.5,"name":"book-table","stream":false}],
"rules":{"askWithin":10000000000,"coldFrom":0.15,"fall":1000000000,"fallMultiple":2.5,"graceToAnswer":20000000,
"stopSendingWithin":2000000000,"warmWithin":18000000000},"shapes":["std-8"],"tenants":[],"tier":0,
"tiers":["booking-db"],"weights":"nominal","zones":["bkk-dc1"]})";

constexpr int kStores = 5;                            // one shard: a primary and four replicas
constexpr int kSessions = 24;                         // guests
constexpr double kShip = 10;                          // ms until a replica has the log (2.2 to 15)
constexpr double kApplyUse = 0.34;                    // of its one thread, at the usual speed (0.32 to 0.55)
constexpr double kSlower = 4.2;                       // times, while replicas lag (4.2 to 15)
constexpr double kReportEvery = 200;                  // ms (85 to 210)
constexpr double kReportDelay = 40;                   // ms (7.7 to 78)
constexpr double kSlowFrom = 4000, kSlowFor = 10000;  // ms (8.4 to 25 s)
constexpr double kLength = 24000;                     // ms
// A session's next read comes this long after its write (310 ms in the mean; 170 to 760). What an answer
// tells counts as known 100 ms after it was written; none comes sooner than that.
constexpr double kGapAtLeast = 120, kGapMore = 190;

// The shard's data: who wrote what and when, and how far each replica is.
class Shard {
 public:
  explicit Shard(double start) : start_(start) {}

  // The position of a replica at a time: a fluid model of its one thread.
  [[nodiscard]] double replica_position(double at) const {
    if (!rig::trouble()) {
      return at - kShip;
    }
    const double slow_from = start_ + kSlowFrom;
    const double slow_until = slow_from + kSlowFor;
    const double slow_pace = 1 / (kApplyUse * kSlower);  // ms of log a ms
    const double fast_pace = 1 / kApplyUse;
    if (at < slow_from) {
      return at - kShip;
    }
    const double at_end = slow_from - kShip + slow_pace * kSlowFor;
    if (at < slow_until) {
      return slow_from - kShip + slow_pace * (at - slow_from);
    }
    return std::min(at - kShip, at_end + fast_pace * (at - slow_until));
  }

  // Commits a write; returns its time.
  double commit(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    const double at = rig::now_ms();
    writes_[key].emplace_back(at, value);
    return at;
  }
  // The value of a key as of a position.
  std::string value_at(const std::string& key, double position) {
    const std::lock_guard lock(mutex_);
    std::string value = "0";
    for (const auto& [at, written] : writes_[key]) {
      if (at <= position) {
        value = written;
      }
    }
    return value;
  }

 private:
  const double start_;
  std::mutex mutex_;
  std::map<std::string, std::vector<std::pair<double, std::string>>> writes_;
};

class Case {
 public:
  explicit Case(rig::Record& record) : record_(record) {}

  int run(const std::filesystem::path& folder) {
    start_ = rig::now_ms();
    shard_ = std::make_unique<Shard>(start_);
    for (int i = 0; i < kStores; ++i) {
      stores_.push_back(std::make_unique<rig::Store>());
      rig::Store& store = *stores_.back();
      const bool primary = i == 0;
      store.on_vitals = [this, primary, i] { return vitals(i, primary); };
      store.on_statement = [this, primary, i](const std::string& sql, double) {
        return answer(sql, i, primary);
      };
      store.start();
    }
    discovery_.list = "{\"rev\":1,\"all\":true,\"targets\":[";
    for (int i = 0; i < kStores; ++i) {
      discovery_.list += rig::text(
          "%s{\"uid\":\"s-%d\",\"endpoint\":\"%s\",\"az\":\"bkk-dc1\",\"model\":\"std-8\",\"pod_group\":1,"
          "\"state\":\"active\",\"capacity_hint\":1.0,\"boot_ms\":0,\"rank\":\"%s\"}",
          i ? "," : "", i, stores_[static_cast<std::size_t>(i)]->address().c_str(), i ? "copy" : "source");
    }
    discovery_.list += "]}";
    discovery_.start();
    rig::Proxy proxy(folder, "n0");
    proxy.start(discovery_, kSettings);
    proxy_port_ = proxy.port();
    record_.line("the proxy is ready");

    const double end = start_ + kLength;
    rig::Threads clients;
    for (int i = 0; i < kSessions; ++i) {
      clients.start([this, i, end] { guest(i, end); });
    }
    for (int i = 0; i < 2; ++i) {
      clients.start([this, end] { browse(end); });
    }
    clients.join();
    const bool running = proxy.running();
    proxy.end(SIGKILL);
    discovery_.stop();
    for (auto& store : stores_) {
      store->stop();
    }
    std::istringstream log(proxy.log());
    for (std::string line; std::getline(log, line);) {
      record_.line("proxy's log: " + line);
    }
    record_.say(rig::text(
        "writes acknowledged: %d; reads of sessions served: %d (%d of them by replicas), of which "
        "without the session's own acknowledged write: %d; of bounded reads served: %d",
        acknowledged_.load(), reads_.load(), reads_at_replicas_.load(), stale_.load(), browsed_.load()));
    if (acknowledged_ < 50 || reads_ < 50) {
      record_.say("too little was served: the case has not run");
      return rig::kNotRun;
    }
    return stale_ > 0 || !running ? rig::kBroken : rig::kHeld;
  }

 private:
  // The report: made every kReportEvery, seen kReportDelay later, each store at times of its own.
  std::string vitals(int number, bool primary) {
    const double phase = 30.0 * number;
    const double now = rig::now_ms() - kReportDelay;
    const double made = now - std::fmod(now + phase, kReportEvery);
    const double position = primary ? made : shard_->replica_position(made);
    return rig::text("x0=%.3f,x1=%d,queue=0", std::floor(position) / 1000, primary);
  }

  rig::Store::Answer answer(const std::string& sql, int number, bool primary) {
    const rig::Statement statement = rig::read_statement(sql);
    rig::sleep_ms(chance_.between(15, 30));
    // PROTOCOL.md names rank and as_of first, then vitals; all stand before ReadyForQuery.
    const std::string rank = rig::parameter("rank", primary ? "source" : "copy");
    if (statement.writes && !primary) {
      return {rig::error("25006", "no primary") + rank + rig::parameter("vitals", vitals(number, primary)) +
              rig::ready()};
    }
    if (statement.writes) {
      const std::string value = rig::from_hex(statement.value_hex);
      const double at = shard_->commit(statement.key, value);
      record_.line(rig::text("store %d: ran %s, session %s writes %s, committed at %.1f", number,
                             statement.id.c_str(), statement.key.c_str(), value.c_str(), at - start_));
      return {rig::row(value, "INSERT 0 1") + rank +
              rig::parameter("as_of", rig::text("%.0f", std::ceil(at))) +
              rig::parameter("vitals", vitals(number, primary)) + rig::ready()};
    }
    const double now = rig::now_ms();
    const double position = primary ? now : shard_->replica_position(now);
    const std::string value = shard_->value_at(statement.key, position);
    if (statement.request_class == "my-booking") {
      record_.line(rig::text("store %d (%s): ran %s, session %s reads %s, its position %.1f, %.0f ms behind",
                             number, primary ? "primary" : "replica", statement.id.c_str(),
                             statement.key.c_str(), value.c_str(), position - start_, now - position));
      reads_at_replicas_ += primary ? 0 : 1;
    }
    return {rig::row(value, "SELECT 1") + rank + rig::parameter("vitals", vitals(number, primary)) +
            rig::ready()};
  }

  // One guest: writes, then reads twice what was written.
  void guest(int number, double end) {
    rig::Session session(proxy_port_);
    const std::string key = rig::text("sess-%d", number);
    rig::sleep_ms(chance_.between(0, 1000));
    for (int written = 1; rig::now_ms() < end; ++written) {
      const int id = ++last_id_;
      const std::string write = rig::text(
          "INSERT INTO records (k, v) VALUES ('%s', '\\x%s') RETURNING v /* "
          "id=%016x,c=book-table,d=5000,cluster=1 */",
          key.c_str(), rig::to_hex(std::to_string(written)).c_str(), id);
      if (!session.open()) {
        session = rig::Session(proxy_port_);
      }
      if (session.ask(write, rig::now_ms() + 5500).kind != rig::Reply::Kind::served) {
        record_.line(rig::text("session %s: write %d was not served", key.c_str(), written));
        rig::sleep_ms(200);
        continue;
      }
      ++acknowledged_;
      const double acknowledged = rig::now_ms();
      record_.line(rig::text("session %s: write %d acknowledged (%016x)", key.c_str(), written, id));
      for (int i = 0; i < 2; ++i) {
        rig::sleep_ms(kGapAtLeast + chance_.exponential(kGapMore));
        read(session, key, written, acknowledged);
      }
      rig::sleep_ms(chance_.between(100, 500));
    }
  }

  void read(rig::Session& session, const std::string& key, int written, double acknowledged) {
    const int id = ++last_id_;
    if (!session.open()) {
      session = rig::Session(proxy_port_);
    }
    const double sent = rig::now_ms();
    const rig::Reply reply = session.ask(
        rig::text("SELECT v FROM records WHERE k = '%s' /* id=%016x,c=my-booking,d=600,cluster=1 */",
                  key.c_str(), id),
        sent + 1100);
    if (reply.kind != rig::Reply::Kind::served) {
      record_.line(rig::text("session %s: read %016x %s %s", key.c_str(), id, rig::name_of(reply.kind),
                             reply.code.c_str()));
      return;
    }
    ++reads_;
    const bool stale = std::atoi(reply.value.c_str()) < written;
    stale_ += stale ? 1 : 0;
    record_.line(
        rig::text("session %s: read %016x, sent %.0f ms after write %d was acknowledged, shows write %s%s",
                  key.c_str(), id, sent - acknowledged, written, reply.value.c_str(), stale ? " STALE" : ""));
  }

  // Bounded reads, so that the stores' reports are known.
  void browse(double end) {
    rig::Session session(proxy_port_);
    while (rig::now_ms() < end) {
      if (!session.open()) {
        session = rig::Session(proxy_port_);
      }
      const rig::Reply reply = session.ask(
          rig::text("SELECT v FROM records WHERE k = 'slots' /* id=%016x,c=slot-browse,d=500,cluster=1 */",
                    ++last_id_),
          rig::now_ms() + 1000);
      browsed_ += reply.kind == rig::Reply::Kind::served ? 1 : 0;
      rig::sleep_ms(chance_.between(40, 100));
    }
  }

  rig::Record& record_;
  rig::Chance chance_{std::random_device()()};
  std::vector<std::unique_ptr<rig::Store>> stores_;
  rig::Discovery discovery_;
  std::unique_ptr<Shard> shard_;
  double start_ = 0;
  int proxy_port_ = 0;
  std::atomic<int> last_id_{0}, acknowledged_{0}, reads_{0}, reads_at_replicas_{0}, stale_{0}, browsed_{0};
};

}  // namespace

int main(int count, char** arguments) {
  return rig::run_case(count, arguments, [](const std::filesystem::path& folder, rig::Record& record) {
    return Case(record).run(folder);
  });
}
