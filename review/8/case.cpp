// Case 8: clients that send much at once and go: attempts for them begin long after they have closed their
// connections.
#include "../common-2/rig.hpp"

using namespace rig;

namespace {

constexpr int kSockets = 1024, kMemoryMb = 64;  // within 256 to 1,024 descriptors and 32 to 192 MB
constexpr int kLeaving = 6;                     // bad clients, each with one connection, in each round
constexpr int kShort = 80, kLong = 24;   // commands of each after its first: "hundreds of commands at once"
constexpr double kGoneAfter = 100 + 50;  // 0.1 s, and 50 ms that each time limit is longer on sockets
constexpr int kRounds = 6;

struct Left {
  std::mutex mutex;
  std::map<std::string, double> closed;  // id: when its client closed
};
Left left;
std::atomic<long> attempts{0}, late{0}, late_writes{0}, served{0}, asked{0};

}  // namespace

int main(int, char** words) {
  const std::string folder = words[1];
  record_file().open(std::string(words[2]) + "/record.txt");
  signal(SIGPIPE, SIG_IGN);

  Discovery discovery;
  discovery.start();
  std::vector<std::unique_ptr<Store>> stores;
  for (int i = 0; i < 6; ++i) {
    stores.push_back(std::make_unique<Store>("s-" + std::to_string(i)));
    Store& store = *stores.back();
    store.primary = i == 0;
    store.on_statement = [](Store& s, StoreConnection& c, const Statement& q, const std::string&) {
      const double came = now_ms();
      ++attempts;
      {
        std::lock_guard lock(left.mutex);
        const auto gone = left.closed.find(q.id);
        if (gone != left.closed.end() && came > gone->second + kGoneAfter) {
          ++late;
          late_writes += q.write ? 1 : 0;
          rec("LATE: %s got id=%s (%s) %.0f ms after its client closed", s.uid.c_str(), q.id.c_str(),
              q.type.c_str(), came - gone->second);
        }
      }
      if (q.write && !s.primary) {
        c.send(error_of("25006") + parameter("rank", "copy") + ready());
        return;
      }
      sleep_ms(q.type == "firing-report" ? 1000 : q.type == "booking-write" ? 40 : 60);
      std::string out = row_of("value of " + q.id, q.write ? "INSERT 0 1" : "SELECT 1") +
                        parameter("rank", s.primary ? "source" : "copy");
      if (q.write) out += parameter("as_of", std::to_string(static_cast<long long>(now_ms()) + 1));
      c.send(out + ready());
    };
    store.start();
  }
  discovery.update([&](auto& targets) {
    for (auto& store : stores) targets[store->uid] = {store->uid, store->endpoint(), "active", 0, 0, 0};
  });
  SettingsSpec spec;  // multan-kilns
  spec.positions = false;
  spec.behind = "hold";
  spec.classes = {{"slot-browse", "repeatable", "recent", 300, 1000, 5000, 300, 0},
                  {"my-bookings", "repeatable", "own_writes", 200, 500, 5000, 0, 0},
                  {"slot-confirm", "repeatable", "latest", 300, 1200, 5000, 0, 0},
                  {"firing-report", "repeatable", "loose", 6000, 12000, 5000, 0, 0},
                  {"booking-write", "by_key", "update", 400, 2000, 1200, 0, 0.3}};
  Front front("n0", folder);
  front.write_config(discovery.endpoint(), settings_of(spec),
                     "\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(kMemoryMb) +
                         ",\"sockets\":" + std::to_string(kSockets) + "},");
  front.start(discovery.endpoint());
  front.wait_ready();

  static std::atomic<bool> stop{false};
  std::thread usual([&] {  // one usual client, to see that the front serves
    Client client;
    client.open(front);
    while (!stop) {
      ++asked;
      const Reply reply = client.ask(select_text("k", new_id(), "slot-browse", 1000, 0), 2000);
      served += reply.kind == Reply::Kind::served ? 1 : 0;
      if (reply.kind == Reply::Kind::closed || reply.kind == Reply::Kind::none) client.open(front);
      sleep_ms(50);
    }
  });
  sleep_ms(1000);

  const std::string hex(2 * 64 * 1024, 'a');
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::thread> threads;
    for (int n = 0; n < kLeaving; ++n) {
      threads.emplace_back([&] {
        std::vector<std::string> ids;
        std::string all;
        const auto id = [&ids] { return ids.emplace_back(new_id()); };
        all += query(select_text("k", id(), "firing-report", 12000, 0));
        for (int i = 0; i < kShort; ++i) {
          const std::string one = id();
          all += i % 2 ? query(insert_text("k", "00", one, "booking-write", 2000, 0, one))
                       : query(select_text("k", one, "slot-browse", 1000, 0));
        }
        for (int i = 0; i < kLong; ++i) {
          const std::string one = id();
          all += query(insert_text("k", hex, one, "booking-write", 2000, 0, one));
        }
        Client client;
        if (!client.open(front)) return;
        fcntl(client.fd, F_SETFL, O_NONBLOCK);
        std::size_t done = 0;
        for (const double until = now_ms() + 50; done < all.size() && now_ms() < until;) {
          const ssize_t count = send(client.fd, all.data() + done, all.size() - done, MSG_NOSIGNAL);
          if (count > 0) {
            done += static_cast<std::size_t>(count);
          } else {
            sleep_ms(1);
          }
        }
        std::string got;
        if (trouble()) {
          // An answer that has not been read would make the close a reset.
          while (read_some(client.fd, got, 0) > 0) got.clear();
          std::lock_guard lock(left.mutex);
          close(client.fd);
          client.fd = -1;
          for (const std::string& one : ids) left.closed[one] = now_ms();
          return;
        }
        fcntl(client.fd, F_SETFL, 0);
        std::thread writer([&] { write_all(client.fd, all.substr(done)); });
        for (const double until = now_ms() + 4000; now_ms() < until;) {
          if (read_some(client.fd, got, 100) == 0) break;
          got.clear();
        }
        shutdown(client.fd, SHUT_RDWR);
        writer.join();
        std::lock_guard lock(left.mutex);
        for (const std::string& one : ids) left.closed[one] = now_ms();
      });
    }
    for (auto& thread : threads) thread.join();
    rec("round %d: %d clients have sent and %s", round, kLeaving,
        trouble() ? "closed" : "read their answers");
    sleep_ms(trouble() ? 5000 : 1000);
    if (front.ended()) cannot_run("the front ended");
  }
  stop = true;
  usual.join();
  front.stop(SIGKILL);
  rec("attempts %ld, begun over %.0f ms after the close %ld (writes %ld); usual asked %ld served %ld: %s",
      attempts.load(), kGoneAfter, late.load(), late_writes.load(), asked.load(), served.load(),
      late > 0 ? "broken" : "held");
  if (served == 0) cannot_run("no usual request was served");
  std::_Exit(late > 0 ? 1 : 0);
}
