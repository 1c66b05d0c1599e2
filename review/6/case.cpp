// Case 6: bad clients that send much at once push the front over its limit on memory.
#include <algorithm>
#include <random>

#include "../common-2/rig.hpp"

using namespace rig;

namespace {

constexpr int kStores = 12, kGroups = 2;        // 9 to 12 data servers, sets of 5 to 7
constexpr int kUsual = 80, kBad = 40;           // connections; together under a third of the descriptors
constexpr int kMemoryMb = 64, kSockets = 1024;  // within 32 to 192 MB, 256 to 1,024 descriptors
constexpr std::size_t kValueBytes = 64 * 1024;  // "values are at most 64 KiB"
constexpr int kCommandsAtOnce = 200;            // "hundreds of commands at once"
constexpr double kCalm = 5000, kTrouble = 25000;

long status_kb(pid_t pid, const char* name) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(name, 0) == 0) return std::atol(line.c_str() + std::strlen(name));
  }
  return -1;
}

}  // namespace

int main(int, char** words) {
  const std::string folder = words[1];
  record_file().open(std::string(words[2]) + "/record.txt");
  signal(SIGPIPE, SIG_IGN);

  static const std::string value(kValueBytes, 'x');
  static const std::string hex(2 * kValueBytes, 'a');
  static std::atomic<long> runs{0};
  Discovery discovery;
  discovery.start();
  std::vector<std::unique_ptr<Store>> stores;
  for (int i = 0; i < kStores; ++i) {
    stores.push_back(std::make_unique<Store>("s-" + std::to_string(i)));
    Store& store = *stores.back();
    store.primary = i < kGroups;
    store.on_statement = [](Store& s, StoreConnection& c, const Statement& q, const std::string&) {
      if (q.write && !s.primary) {
        c.send(error_of("25006") + parameter("rank", "copy") + ready());
        return;
      }
      thread_local std::minstd_rand random(static_cast<unsigned>(reinterpret_cast<std::uintptr_t>(&c)));
      const double mean = q.type == "firing-report" ? 900 : q.type == "booking-write" ? 35 : 50;
      sleep_ms(std::min(5 * mean, std::exponential_distribution<>(1 / mean)(random)));
      ++runs;
      std::string out = row_of(value, q.write ? "INSERT 0 1" : "SELECT 1") +
                        parameter("rank", s.primary ? "source" : "copy");
      if (q.write) out += parameter("as_of", std::to_string(static_cast<long long>(now_ms()) + 1));
      c.send(out + ready());
    };
    store.start();
  }
  discovery.update([&](auto& targets) {
    for (int i = 0; i < kStores; ++i)
      targets[stores[i]->uid] = {stores[i]->uid, stores[i]->endpoint(), "active", i % kGroups, 0, 0};
  });

  SettingsSpec spec;  // multan-kilns: see the wire's page for the example that these follow
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
  static std::atomic<long> asked{0}, served{0}, refused{0}, other{0}, bad_sent{0}, bad_read{0};
  std::vector<std::thread> threads;
  // Usual clients: some 250 requests a second together, 12 of 100 a write.
  for (int i = 0; i < kUsual; ++i) {
    threads.emplace_back([&, i] {
      std::minstd_rand random(static_cast<unsigned>(i + 1));
      const auto draw = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
      Client client;
      client.open(front);
      while (!stop) {
        const double x = draw();
        const ClassSpec& type = spec.classes[x < 0.41 ? 0 : x < 0.78 ? 1 : x < 0.85 ? 2 : x < 0.87 ? 3 : 4];
        const std::string id = new_id();
        const int group = static_cast<int>(draw() * kGroups);
        const bool write = std::string(type.needs) == "update";
        ++asked;
        const Reply reply = client.ask(
            write ? insert_text("u" + std::to_string(i), hex, id, type.name, type.deadline_ms, group, id)
                  : select_text("u" + std::to_string(i), id, type.name, type.deadline_ms, group),
            type.deadline_ms + 1000);
        ++(reply.kind == Reply::Kind::served ? served : reply.kind == Reply::Kind::refused ? refused : other);
        if (reply.kind == Reply::Kind::closed || reply.kind == Reply::Kind::none) client.open(front);
        sleep_ms(120 + 240 * draw());
      }
    });
  }
  // Bad clients: hundreds of commands at once, at full speed; they read whatever they are sent. The commands
  // are reads in the form that stores take, with ids of their own.
  for (int i = 0; i < kBad; ++i) {
    threads.emplace_back([&, i] {
      while (!bad_on && !stop) sleep_ms(20);
      while (!stop) {
        Client client;
        if (!client.open(front)) {
          sleep_ms(50);
          continue;
        }
        // The next commands follow when all of these are answered.
        for (bool open = true; open && !stop;) {
          std::string commands;
          for (int k = 0; k < kCommandsAtOnce; ++k) {
            const bool report = k % 3 == 0;
            commands +=
                query(select_text("b" + std::to_string(i), new_id(), report ? "firing-report" : "slot-browse",
                                  report ? 12000 : 1000, k % kGroups));
          }
          open = write_all(client.fd, commands);
          bad_sent += open ? kCommandsAtOnce : 0;
          for (int k = 0; open && k < kCommandsAtOnce && !stop; ++k) {
            const Reply reply = client.read_until_ready(15000);
            open = reply.kind != Reply::Kind::closed && reply.kind != Reply::Kind::none;
            bad_read += static_cast<long>(reply.value.size());
          }
        }
      }
    });
  }

  const double begun = now_ms();
  long peak = 0, last_peak = 0;
  double next_line = 0;
  bool over = false, crashed = false;
  double end = begun + kCalm + kTrouble;
  int status = 0;
  while (now_ms() < end) {
    if (!bad_on && trouble() && now_ms() - begun > kCalm) {
      rec("bad clients begin");
      bad_on = true;
    }
    if (front.ended(&status)) {
      crashed = true;
      rec("the front ended by itself, status %d", status);
      break;
    }
    // Only what the process holds for itself: no page of a program or library file, which others may share.
    const long held = status_kb(front.pid, "RssAnon:") + std::max(0L, status_kb(front.pid, "RssShmem:"));
    peak = std::max(peak, held);
    if (now_ms() - begun > next_line || peak > last_peak + 2048) {
      rec("front holds %ld kB, peak %ld kB of %d kB; usual asked %ld served %ld refused %ld other %ld; bad "
          "sent %ld, read %ld MB; stores ran %ld",
          held, peak, kMemoryMb * 1024, asked.load(), served.load(), refused.load(), other.load(),
          bad_sent.load(), bad_read.load() >> 20, runs.load());
      next_line = now_ms() - begun + 2000;
      last_peak = peak;
    }
    if (!over && held > kMemoryMb * 1024L) {
      over = true;
      end = std::min(end, now_ms() + 8000);  // a little longer, to show how it goes on
      rec("RULE BROKEN: over memory_mb: the platform kills the front here, which is a crash");
    }
    sleep_ms(50);
  }
  stop = true;
  front.stop(SIGKILL);
  rec("peak %ld kB, limit %d kB: %s", peak, kMemoryMb * 1024, over || crashed ? "broken" : "held");
  if (served == 0) cannot_run("no usual request was served");
  std::_Exit(over || crashed ? 1 : 0);
}
