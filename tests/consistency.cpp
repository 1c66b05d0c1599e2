// Replays a trace file to the consistency monitor of instance 0 and prints the decisions. "poll 3 list 7" is
// a poll from peer 3 whose endpoint list has digest and revision 7; "reply 3 list 7 discovery-age 2000" is
// its reply to the last request that was sent to it. Lines that start with two spaces are the expected output
// and are skipped on reading.
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

std::map<SlotId, std::uint32_t> last_request;  // number of the last request to each peer
std::map<SlotId, StateDigest> last_digest;     // last digest from each peer

void print(const SendDatagram& decision) {
  const auto message = decode(decision.bytes);
  if (message->kind == Kind::poll || message->kind == Kind::check) {
    last_request[decision.to] = message->number;
  }
  if (message->kind == Kind::check || message->kind == Kind::removed) {
    std::cout << fmt::format("  {} {}:", message->kind == Kind::check ? "sends check to" : "sends removed to",
                             decision.to.number);
    for (const std::uint32_t mark : message->marks) {
      std::cout << ' ' << mark;
    }
    std::cout << '\n';
    return;
  }
  std::cout << fmt::format(
      "  {} {}, list {}{}\n", message->kind == Kind::poll ? "sends poll to" : "sends reply to",
      decision.to.number, message->digest.of(DigestKind::list),
      message->discovery_age < 0 ? "" : fmt::format(", discovery age {} ms", message->discovery_age));
}
void print(const RequestWakeup& /*unused*/) {}
void print(const ConsistencyReport& event) {
  std::cout << "  " << to_string(event.event);
  if (event.event == ConsistencyEvent::diverged || event.event == ConsistencyEvent::converged) {
    std::cout << fmt::format(" in {}, first {}", to_string(event.kind), event.slot.number);
  }
  if (event.event == ConsistencyEvent::diverged) {
    std::cout << fmt::format(", local {}, remote {}", event.local.of(event.kind),
                             event.remote.of(event.kind));
  }
  std::cout << fmt::format(", {} ms\n", event.duration);
}
void print(const SuspectServers& suspects) {
  std::cout << "  suspect servers:";
  for (const std::uint32_t mark : suspects.marks) {
    std::cout << ' ' << mark;
  }
  std::cout << '\n';
}
void print(const Admission& admission) {
  std::cout << fmt::format("  admission: writes {} reads {}\n", admission.writes, admission.reads);
}

StateDigest digest_in(std::istream& line) {
  StateDigest digest;
  std::string word;
  while (line >> word && word != "discovery-age") {
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
    if (word == "option") {
      Millis value = 0;
      line >> word >> value;
      (word == "admit-writes-for"  ? options.admit_writes_for
       : word == "admit-reads-for" ? options.admit_reads_for
                                   : options.isolation_timeout) = value;
      continue;
    }
    if (!consistency) {
      consistency = make_consistency_monitor(options, 7);
    }
    int slot = 0;
    if (word == "at") {
      Millis now = 0;
      line >> now;
      for (const auto& decision : consistency->process(now)) {
        std::visit([](const auto& one) { print(one); }, decision);
      }
    } else if (word == "alive") {  // "alive 4: 1 2 3": alive peers in a fleet of four
      PeersChanged peers;
      line >> peers.fleet_size >> word;
      while (line >> slot) {
        peers.alive.insert({slot});
      }
      consistency->enqueue(std::move(peers));
    } else if (word == "apply") {
      AppliedState applied{digest_in(line), ready};
      consistency->enqueue(std::move(applied));
    } else if (word == "ready") {  // marks, used by the next "apply"
      ready.clear();
      for (std::uint32_t mark = 0; line >> mark;) {
        ready.insert(mark);
      }
    } else if (word == "check" || word == "removed") {  // "check 3 4 11 12": revision 4, "removed 3 12"
      Message message{word == "check" ? Kind::check : Kind::removed, 1, {}, {}, -1, {}};
      line >> message.slot.number;
      message.number = last_request[message.slot];
      if (word == "removed") {
        message.digest = last_digest[message.slot];
      }
      if (word == "check") {
        line >> message.digest.revision;
      }
      for (std::uint32_t mark = 0; line >> mark;) {
        message.marks.push_back(mark);
      }
      consistency->enqueue(DatagramReceived{message.slot, encode(message)});
    } else if (word == "discovery-answered") {
      consistency->enqueue(DiscoveryAnswered{});
    } else if (word == "poll" || word == "reply") {
      line >> slot;
      Message message{word == "poll" ? Kind::poll : Kind::poll_reply,
                      last_request[{slot}],
                      {slot},
                      digest_in(line),
                      -1,
                      {}};
      if (!(line >> message.discovery_age)) {
        message.discovery_age = -1;
      }
      last_digest[{slot}] = message.digest;
      consistency->enqueue(DatagramReceived{{slot}, encode(message)});
    } else if (word == "spoof") {  // "spoof 2 poll 3": sent by 2 with the slot of 3
      int claimed_slot = 0;
      line >> slot >> word >> claimed_slot;
      consistency->enqueue(DatagramReceived{{slot}, encode({Kind::poll, 1, {claimed_slot}, {}, -1, {}})});
    } else if (word == "truncated") {  // a datagram without its last byte
      line >> slot;
      const std::string bytes = encode({Kind::poll, 1, {slot}, {}, 5, {}});
      consistency->enqueue(DatagramReceived{{slot}, bytes.substr(0, bytes.size() - 1)});
    } else if (word == "view") {
      const View view = consistency->view();
      for (int kind = 0; kind < kDigestKinds; ++kind) {
        const Difference& difference = view.differences[static_cast<std::size_t>(kind)];
        std::cout << fmt::format("  {}: {} of {} differ{}{}\n", to_string(static_cast<DigestKind>(kind)),
                                 difference.differ, difference.compared, difference.behind ? ", behind" : "",
                                 difference.since > 0 ? fmt::format(", since {}", difference.since) : "");
      }
      std::cout << fmt::format("  last contact {}{}, {} dropped\n", view.last_contact,
                               view.isolated ? ", isolated" : "", view.dropped);
    } else {
      std::cout << "  unknown statement\n";
    }
  }
}
