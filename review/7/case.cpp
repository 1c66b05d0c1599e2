// Case 7: a client that writes its request slowly has its connection ended in the middle of that request.
#include <random>

#include "../common-2/rig.hpp"

using namespace rig;

namespace {

constexpr int kSockets = 256, kMemoryMb = 64;  // within 256 to 1,024 descriptors and 32 to 192 MB
constexpr int kSlow = 12;                      // usual clients that write slowly
constexpr int kSilent = 120;                   // bad clients that connect and say nothing
constexpr double kPause = 300;                 // between two parts of one request
constexpr double kCalm = 3000, kTrouble = 20000;

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
  Front front("n0", folder);
  front.write_config(discovery.endpoint(), settings_of(spec),
                     "\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(kMemoryMb) +
                         ",\"sockets\":" + std::to_string(kSockets) + "},");
  front.start(discovery.endpoint());
  front.wait_ready();

  static std::atomic<bool> stop{false}, bad_on{false};
  static std::atomic<long> asked{0}, served{0}, answered_else{0}, lost{0}, crossed{0}, unread{0},
      silent_open{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < kSlow; ++i) {
    threads.emplace_back([&, i] {
      sleep_ms(40.0 * i);
      Client client;
      while (!stop) {
        // A connection of the client's own, a first request written at once, then one written in two parts.
        if (!client.open(front) ||
            client.ask(select_text("k", new_id(), "slot-browse", 1000, 0), 2000).kind !=
                Reply::Kind::served) {
          sleep_ms(100);
          continue;
        }
        for (int n = 0; n < 5 && !stop; ++n) {
          const std::string id = new_id();
          const std::string bytes = query(select_text("k", id, "slot-browse", 1000, 0));
          const std::size_t half = bytes.size() / 2;
          const double first = now_ms();
          if (!write_all(client.fd, bytes.substr(0, half))) break;
          // When does the front end the connection, if it does? The client does not read while it writes.
          double ended = 0;
          while (now_ms() < first + kPause) {
            pollfd item{client.fd, POLLRDHUP, 0};
            if (!ended && poll(&item, 1, 0) == 1 && (item.revents & (POLLRDHUP | POLLHUP | POLLERR)))
              ended = now_ms();
            sleep_ms(2);
          }
          const bool written = write_all(client.fd, bytes.substr(half));
          const double last = now_ms();
          ++asked;
          const bool read = written && read_whole_by_front(client, front, 200);
          const Reply reply = client.read_until_ready(1000 + 1000);
          if (reply.kind == Reply::Kind::served) {
            ++served;
          } else if (reply.kind == Reply::Kind::refused || reply.kind == Reply::Kind::failed) {
            ++answered_else;
          } else if (ended && ended < first + 50) {
            ++crossed;  // the end may have crossed the request's first bytes: not counted
          } else if (read) {
            ++lost;
            rec("LOST id=%s: first part at 0, end of the connection seen after %.0f ms, last byte written "
                "after %.0f ms and read by the front, no answer (%s)",
                id.c_str(), ended ? ended - first : -1.0, last - first, word_of(reply.kind));
          } else {
            ++unread;  // the front may not have read the last part: not counted
          }
          if (reply.kind != Reply::Kind::served) break;
        }
        client.end();
      }
    });
  }
  for (int i = 0; i < kSilent; ++i) {
    threads.emplace_back([&, i] {
      while (!bad_on && !stop) sleep_ms(20);
      sleep_ms(5.0 * i);
      while (!stop) {
        Client client;
        client.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = address_of(front.host, front.port);
        if (connect(client.fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
          ++silent_open;
          std::string got;
          while (!stop) {
            const int read = read_some(client.fd, got, 200);
            if (read == 0 || read == -1) break;
          }
          --silent_open;
        }
        client.end();
        sleep_ms(50);
      }
    });
  }
  const double begun = now_ms();
  while (now_ms() - begun < kCalm + kTrouble) {
    if (!bad_on && trouble() && now_ms() - begun > kCalm) {
      rec("%d clients connect and say nothing", kSilent);
      bad_on = true;
    }
    if (front.ended()) cannot_run("the front ended");
    sleep_ms(500);
    rec("slow requests: asked %ld served %ld refused or failed %ld lost %ld crossed %ld not read %ld; silent "
        "connections %ld",
        asked.load(), served.load(), answered_else.load(), lost.load(), crossed.load(), unread.load(),
        silent_open.load());
  }
  stop = true;
  for (auto& thread : threads) thread.join();
  front.stop(SIGKILL);
  rec("asked %ld served %ld refused or failed %ld lost %ld, not counted: crossed %ld not read %ld: %s",
      asked.load(), served.load(), answered_else.load(), lost.load(), crossed.load(), unread.load(),
      lost > 0 ? "broken" : "held");
  if (served == 0) cannot_run("no request was served");
  std::_Exit(lost > 0 ? 1 : 0);
}
