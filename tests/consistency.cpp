// Plays a case file to one front's accord and prints what it decides. "ask 3 list 7" is fellow 3's question,
// its list's sum and revision being 7; "answer 3 list 7 word 2000" answers the last question to it. Lines
// starting with two blanks hold what is expected and are skipped on reading.
#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "consistency/consistency_monitor.hpp"

namespace {
using namespace reedspindle;
using namespace reedspindle::consistency;
using reedspindle::Millis;

std::map<SlotId, std::uint32_t> asked;  // the last question to each
std::map<SlotId, StateDigest> said;     // by each, last

void print(const SendDatagram& tell) {
  const auto message = decode(tell.bytes);
  if (message->kind == Kind::poll || message->kind == Kind::check) {
    asked[tell.to] = message->number;
  }
  if (message->kind == Kind::check || message->kind == Kind::removed) {
    std::cout << fmt::format("  {} {}:", message->kind == Kind::check ? "checks with" : "tells who leave",
                             tell.to.number);
    for (const std::uint32_t mark : message->marks) {
      std::cout << ' ' << mark;
    }
    std::cout << '\n';
    return;
  }
  std::cout << fmt::format(
      "  {} {}, list {}{}\n", message->kind == Kind::poll ? "asks" : "answers", tell.to.number,
      message->digest.of(DigestKind::list),
      message->discovery_age < 0 ? "" : fmt::format(", word {} ms old", message->discovery_age));
}
void print(const RequestWakeup& /*unused*/) {}
void print(const ConsistencyReport& found) {
  std::cout << "  " << to_string(found.event);
  if (found.event == ConsistencyEvent::diverged || found.event == ConsistencyEvent::converged) {
    std::cout << fmt::format(" in {}, first {}", to_string(found.kind), found.slot.number);
  }
  if (found.event == ConsistencyEvent::diverged) {
    std::cout << fmt::format(", {} here, {} there", found.local.of(found.kind), found.remote.of(found.kind));
  }
  std::cout << fmt::format(", {} ms\n", found.duration);
}
void print(const SuspectServers& doubted) {
  std::cout << "  doubts:";
  for (const std::uint32_t mark : doubted.marks) {
    std::cout << ' ' << mark;
  }
  std::cout << '\n';
}
void print(const Admission& allowed) {
  std::cout << fmt::format("  writes {} reads {}\n", allowed.writes, allowed.reads);
}

StateDigest digest_in(std::istream& line) {
  StateDigest digest;
  std::string word;
  while (line >> word && word != "word") {
    std::uint32_t sum = 0;
    line >> sum;
    if (word == "list") {
      digest.sums[0] = sum, digest.revision = sum;
    }
    if (word == "primaries") {
      digest.sums[1] = sum;
    }
    if (word == "view") {
      digest.sums[2] = sum;
    }
  }
  return digest;
}
}  // namespace

int main(int /*unused*/, char** argv) {
  std::ifstream file(argv[1]);
  Options options;
  options.slot = {0};
  std::unique_ptr<ConsistencyMonitor> consistency;
  std::set<std::uint32_t> ready;
  for (std::string text; std::getline(file, text);) {
    if (text.starts_with("  ")) {
      continue;
    }
    std::cout << text << '\n';
    std::istringstream line(text);
    std::string word;
    line >> word;
    if (word.empty() || word == "#") {
      continue;
    }
    if (word == "given") {
      Millis value = 0;
      line >> word >> value;
      (word == "writes-for"  ? options.admit_writes_for
       : word == "reads-for" ? options.admit_reads_for
                             : options.isolation_timeout) = value;
      continue;
    }
    if (!consistency) {
      consistency = make_consistency_monitor(options, 7);
    }
    int place = 0;
    if (word == "at") {
      Millis now = 0;
      line >> now;
      for (const auto& decision : consistency->process(now)) {
        std::visit([](const auto& one) { print(one); }, decision);
      }
    } else if (word == "there") {  // "there 4: 1 2 3", of four that count
      PeersChanged fellows;
      line >> fellows.fleet_size >> word;
      while (line >> place) {
        fellows.alive.insert({place});
      }
      consistency->enqueue(std::move(fellows));
    } else if (word == "acts") {
      AppliedState acts{digest_in(line), ready};
      consistency->enqueue(std::move(acts));
    } else if (word == "ready") {  // marks, from the next acts on
      ready.clear();
      for (std::uint32_t mark = 0; line >> mark;) {
        ready.insert(mark);
      }
    } else if (word == "check" || word == "leave") {  // "check 3 4 11 12" (revision 4), "leave 3 12"
      Message message{word == "check" ? Kind::check : Kind::removed, 1, {}, {}, -1, {}};
      line >> message.slot.number;
      message.number = asked[message.slot];
      if (word == "leave") {
        message.digest = said[message.slot];
      }
      if (word == "check") {
        line >> message.digest.revision;
      }
      for (std::uint32_t mark = 0; line >> mark;) {
        message.marks.push_back(mark);
      }
      consistency->enqueue(DatagramReceived{message.slot, encode(message)});
    } else if (word == "confirmed") {
      consistency->enqueue(DiscoveryAnswered{});
    } else if (word == "ask" || word == "answer") {
      line >> place;
      Message message{
          word == "ask" ? Kind::poll : Kind::poll_reply, asked[{place}], {place}, digest_in(line), -1, {}};
      if (!(line >> message.discovery_age)) {
        message.discovery_age = -1;
      }
      said[{place}] = message.digest;
      consistency->enqueue(DatagramReceived{{place}, encode(message)});
    } else if (word == "as") {  // "as 2 ask 3": in another's name
      int other = 0;
      line >> place >> word >> other;
      consistency->enqueue(DatagramReceived{{place}, encode({Kind::poll, 1, {other}, {}, -1, {}})});
    } else if (word == "cut-short") {  // any datagram without its last byte
      line >> place;
      const std::string bytes = encode({Kind::poll, 1, {place}, {}, 5, {}});
      consistency->enqueue(DatagramReceived{{place}, bytes.substr(0, bytes.size() - 1)});
    } else if (word == "view") {
      const View view = consistency->view();
      for (int kind = 0; kind < kDigestKinds; ++kind) {
        const Difference& is = view.differences[static_cast<std::size_t>(kind)];
        std::cout << fmt::format("  {}: {} of {} differ{}{}\n", to_string(static_cast<DigestKind>(kind)),
                                 is.differ, is.compared, is.behind ? ", behind" : "",
                                 is.since > 0 ? fmt::format(", since {}", is.since) : "");
      }
      std::cout << fmt::format("  contact {}{}, {} dropped\n", view.last_contact,
                               view.isolated ? ", cut off" : "", view.dropped);
    } else {
      std::cout << "  not known\n";
    }
  }
}
