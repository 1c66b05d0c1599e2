// Case 9: a planned stop ends the connections of clients that are in the middle of writing a request.
#include "../common-2/rig.hpp"

using namespace rig;

namespace {

constexpr int kSockets = 1024, kMemoryMb = 64;
constexpr int kClients = 16, kRounds = 6;
constexpr int kParts = 8;  // of one slowly written request
constexpr double kBetween =
    70;  // ms between two parts: the whole takes 0.5 s, of the 1 s that its client waits
constexpr double kBeforeStop = 1000;

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
      sleep_ms(20);
      rec("store %s ran id=%s", s.uid.c_str(), q.id.c_str());
      c.send(row_of("value of " + q.id, "SELECT 1") + parameter("rank", s.primary ? "source" : "copy") +
             ready());
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

  std::atomic<long> asked{0}, served{0}, refused{0}, between{0}, unread{0}, lost{0};
  for (int round = 0; round < kRounds; ++round) {
    Front front("n" + std::to_string(round), folder);
    front.write_config(discovery.endpoint(), settings_of(spec),
                       "\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(kMemoryMb) +
                           ",\"sockets\":" + std::to_string(kSockets) + "},");
    front.start(discovery.endpoint());
    front.wait_ready();
    const double stop_at = now_ms() + kBeforeStop;
    std::vector<std::thread> threads;
    for (int i = 0; i < kClients; ++i) {
      threads.emplace_back([&, i] {
        Client client;
        if (!client.open(front)) return;
        client.ask(select_text("k", new_id(), "slot-browse", 1000, 0), 2000);
        // Each begins its request at another moment around the stop; its first part comes while the front
        // still listens.
        sleep_ms(stop_at - 100 + 38.0 * i - now_ms());
        const std::string id = new_id();
        const std::string bytes = query(select_text("k", id, "slot-browse", 1000, 0));
        const double first = now_ms();
        double ended = 0;
        bool written = true;
        for (int part = 0; part < kParts; ++part) {
          written = write_all(
              client.fd, bytes.substr(bytes.size() * part / kParts,
                                      bytes.size() * (part + 1) / kParts - bytes.size() * part / kParts));
          if (part + 1 == kParts || !written) break;
          for (const double until = now_ms() + kBetween; now_ms() < until; sleep_ms(2)) {
            pollfd item{client.fd, POLLRDHUP, 0};
            if (!ended && poll(&item, 1, 0) == 1 && (item.revents & (POLLRDHUP | POLLHUP | POLLERR)))
              ended = now_ms();
          }
        }
        const double last = now_ms();
        ++asked;
        const bool read = written && read_whole_by_front(client, front, 200);
        const Reply reply = client.read_until_ready(2000);
        if (reply.kind == Reply::Kind::served) {
          ++served;
        } else if (reply.kind == Reply::Kind::refused || reply.kind == Reply::Kind::failed) {
          ++refused;
        } else if (ended && ended < first + 50) {
          ++between;  // the front ended a resting connection; the request's first bytes crossed that
        } else if (read) {
          ++lost;
          rec("LOST id=%s: first part %.0f ms after SIGTERM, end of the connection seen after %.0f ms more, "
              "last byte written %.0f ms after SIGTERM and read by the front, no answer (%s)",
              id.c_str(), first - stop_at, ended ? ended - first : -1.0, last - stop_at, word_of(reply.kind));
        } else {
          ++unread;  // the front may not have read the last part: not counted
        }
      });
    }
    sleep_ms(stop_at - now_ms());
    if (trouble()) {
      kill(front.pid, SIGTERM);
      rec("round %d: SIGTERM", round);
    }
    for (auto& thread : threads) thread.join();
    const double until = stop_at + 12000 + 700;  // the longest deadline and 0.7 s: SIGKILL not before
    while (trouble() && !front.ended() && now_ms() < until) sleep_ms(20);
    rec("round %d: the front %s", round,
        trouble() ? front.pid > 0 ? "still runs" : "has ended by itself" : "runs on");
    front.stop(SIGKILL);
  }
  rec("asked %ld served %ld refused or failed %ld lost %ld, not counted: between requests %ld not read %ld: "
      "%s",
      asked.load(), served.load(), refused.load(), lost.load(), between.load(), unread.load(),
      lost > 0 ? "broken" : "held");
  if (served == 0) cannot_run("no request was served");
  std::_Exit(lost > 0 ? 1 : 0);
}
