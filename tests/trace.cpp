// Reads a case file, plays its event lines to a Router and prints each line with the decisions taken after
// it. A case file holds its own expected decisions (lines starting with "  "), which are skipped on reading:
// the output is compared with the file itself. Lines starting with '#' are echoed. Times are in ms.
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "logic.hpp"

namespace {
using namespace reedspindle;

Values usual() {
  Values values{{"instances", 1.0},
                {"tick", 5.0},
                {"op_types", 0.0},
                {"list", "push"},
                {"checks", "none"},
                {"allow.call_off", 1.0},
                {"allow.probes", 1.0},
                {"allow.come_back", 1.0},
                {"allow.longest_come_back", 1000.0},
                {"allow.sends_per_op", 4.0},
                {"rule.cold_from", 0.2},
                {"rule.warm_within", 10000.0},
                {"rule.fall_multiple", 2.0},
                {"rule.fall", 1000.0}};
  const char* types[][3] = {{"write", "tokened", "0"},       {"session", "retryable", "0"},
                            {"bounded", "retryable", "300"}, {"current", "retryable", "0"},
                            {"any", "retryable", "0"},       {"write", "non-retryable", "0"}};
  for (int i = 0; i < 6; ++i) {
    const std::string at = "op_type." + std::to_string(i) + ".";
    values[at + "needs"] = types[i][0];
    values[at + "effect"] = types[i][1];
    values[at + "bound"] = std::stod(types[i][2]);
    values[at + "latency_target"] = i == 4 ? 5000.0 : 400.0;
    values[at + "token_memory"] = 1000.0;
  }
  values["op_types"] = 6.0;
  return values;
}

struct Printer {
  void operator()(const Send& d) const {
    std::cout << "  send " << d.op.number << " to " << d.member.address;
    if (d.start_within) std::cout << ", begun within " << *d.start_within;
    std::cout << '\n';
  }
  void operator()(const CallOff& d) const {
    std::cout << "  call off " << d.op.number << '/' << d.send.number << '\n';
  }
  void operator()(const BusyReply& d) const {
    std::cout << "  busy-reply " << d.op.number << (d.come_back > 0 ? ", come back later" : "") << '\n';
  }
  void operator()(const ErrorReply& d) const { std::cout << "  error reply " << d.op.number << '\n'; }
  void operator()(const Wake&) const {}
  void operator()(const Probe& d) const { std::cout << "  probe " << d.member.address << '\n'; }
  void operator()(const Forget& d) const { std::cout << "  forget " << d.member.address << '\n'; }
  void operator()(const WatchList&) const { std::cout << "  watch the list\n"; }
  void operator()(const TellPeers& d) const { std::cout << "  tell " << d.text << '\n'; }
  void operator()(const LogLine& d) const { std::cout << "  log " << d.text << '\n'; }
};

// What the module holds true as of the last settle: "view" prints it.
void print(const std::vector<MemberView>& views) {
  const char* const words[] = {"", " drains", " gone", " down", " resting"};
  for (const MemberView& view : views) {
    std::cout << "  " << view.entry.member.address << (view.primary ? " primary" : "")
              << words[static_cast<int>(view.hindrance)];
    if (view.warmth < 1) std::cout << " warm " << view.warmth;
    if (view.position >= 0) std::cout << " at " << view.position << " seen " << view.sampled;
    for (const FreshFor& fresh : view.fresh) std::cout << ", for " << fresh.bound << " until " << fresh.until;
    std::cout << '\n';
  }
}

Role role_of(const std::string& word) {
  return word == "primary" ? Role::primary : word == "replica" ? Role::replica : Role::unknown;
}

Ending ending_of(const std::string& word) {
  const char* words[] = {"acked", "errored",    "full",       "timed-out", "unconnected",
                         "reset", "called-off", "never-sent", "untouched"};
  for (int i = 0; i < 9; ++i)
    if (word == words[i]) return static_cast<Ending>(i);
  throw std::runtime_error("unknown ending " + word);
}

// "list complete a:ready b:draining:9000" (address, state, up since), "op 1 type 2 patience 400 token 50",
// "ended 1/0 a acked replica 9900 took 40", "probed b replica 9950 busy 0.5", "unprobed b", "gone 1", "among
// 1,2 of 0.6 no-writes no-reads", "wake".
Event event_of(std::istream& line, const std::string& word) {
  std::string text, rest;
  char slash;
  if (word == "list") {
    ListRead read;
    line >> text;
    read.kind = text == "complete"  ? ListKind::complete
                : text == "changes" ? ListKind::changes
                : text == "saved"   ? ListKind::saved
                                    : ListKind::failed;
    while (line >> text) {
      std::istringstream parts(text);
      ListedMember member;
      std::getline(parts, member.member.address, ':');
      std::getline(parts, rest, ':');
      member.state = rest == "ready"      ? MemberState::ready
                     : rest == "draining" ? MemberState::draining
                                          : MemberState::gone;
      parts >> member.up_since;
      read.members.push_back(member);
    }
    return read;
  }
  if (word == "op") {
    OpArrived op;
    line >> op.op.number >> text >> op.type.number >> text >> op.patience >> text >> op.token_age;
    return op;
  }
  if (word == "ended") {
    SendEnded ended;
    line >> ended.op.number >> slash >> ended.send.number >> ended.member.address >> text >> rest;
    ended.ending = ending_of(text);
    ended.op_ended = ended.ending == Ending::acked;
    ended.seen.role = role_of(rest);
    if (!(line >> ended.seen.position)) ended.seen.position = -1;
    if (!(line >> text >> ended.took)) ended.took = 40;
    return ended;
  }
  if (word == "probed") {
    ProbeEnded ended;
    line >> ended.member.address >> text >> ended.seen.position;
    if (!(line >> rest >> ended.seen.busy)) ended.seen.busy = -1;
    ended.answered = true;
    ended.seen.role = role_of(text);
    return ended;
  }
  if (word == "unprobed") {
    ProbeEnded ended;
    line >> ended.member.address;
    return ended;
  }
  if (word == "gone") {
    OpGone gone;
    line >> gone.op.number;
    return gone;
  }
  if (word == "told") {
    PeerSpoke spoke;
    line >> spoke.text;
    return spoke;
  }
  if (word == "among") {
    AmongPeers among;
    line >> text >> rest >> among.of_all;
    std::istringstream peers(text);
    for (std::string peer; std::getline(peers, peer, ',');)
      if (peer != "none") among.there.insert(std::stoi(peer));
    while (line >> text) (text == "no-writes" ? among.writes : among.reads) = false;
    return among;
  }
  if (word == "wake") return TimerDue{};
  throw std::runtime_error("unknown event " + word);
}
}  // namespace

int main(int, char** argv) {
  std::ifstream file(argv[1]);
  Values values = usual();
  std::unique_ptr<reedspindle::Router> router;
  for (std::string text; std::getline(file, text);) {
    if (text.starts_with("  ")) continue;
    std::cout << text << '\n';
    std::istringstream line(text);
    std::string word, name;
    line >> word;
    if (word.empty() || word == "#") continue;
    if (word == "given") {  // a value that differs from the usual: "given checks turns_away"
      line >> name >> word;
      if (word.find_first_not_of("0123456789.") == std::string::npos)
        values[name] = std::stod(word);
      else
        values[name] = word;
      continue;
    }
    if (word == "view") {
      print(router->view());
      continue;
    }
    if (!router) router = reedspindle::make_router(values, 7);
    if (word == "at") {  // "at 10000" settles what came before; events may follow on later lines
      double now = 0;
      line >> now;
      for (const auto& decision : router->settle(now)) std::visit(Printer{}, decision);
    } else {
      router->note(event_of(line, word));
    }
  }
}
