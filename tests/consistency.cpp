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
std::map<SlotId, Account> said;         // by each, last

void print(const SendDatagram& tell) {
  const auto message = message_in(tell.bytes);
  if (message->kind == Kind::asks || message->kind == Kind::checks) {
    asked[tell.to] = message->number;
  }
  if (message->kind == Kind::checks || message->kind == Kind::leave) {
    std::cout << fmt::format("  {} {}:", message->kind == Kind::checks ? "checks with" : "tells who leave",
                             tell.to.number);
    for (const std::uint32_t mark : message->marks) {
      std::cout << ' ' << mark;
    }
    std::cout << '\n';
    return;
  }
  std::cout << fmt::format("  {} {}, list {}{}\n", message->kind == Kind::asks ? "asks" : "answers",
                           tell.to.number, message->account.of(Matter::list),
                           message->word_age < 0 ? "" : fmt::format(", word {} ms old", message->word_age));
}
void print(const RequestWakeup& /*unused*/) {}
void print(const Found& found) {
  std::cout << "  " << word_of(found.finding);
  if (found.finding == Finding::differs || found.finding == Finding::agrees) {
    std::cout << fmt::format(" in {}, first {}", word_of(found.matter), found.place.number);
  }
  if (found.finding == Finding::differs) {
    std::cout << fmt::format(", {} here, {} there", found.mine.of(found.matter),
                             found.theirs.of(found.matter));
  }
  std::cout << fmt::format(", {} ms\n", found.span);
}
void print(const Doubted& doubted) {
  std::cout << "  doubts:";
  for (const std::uint32_t mark : doubted.marks) {
    std::cout << ' ' << mark;
  }
  std::cout << '\n';
}
void print(const Allowed& allowed) {
  std::cout << fmt::format("  writes {} reads {}\n", allowed.writes, allowed.reads);
}

Account account_in(std::istream& line) {
  Account account;
  std::string word;
  while (line >> word && word != "word") {
    std::uint32_t sum = 0;
    line >> sum;
    if (word == "list") {
      account.sums[0] = sum, account.revision = sum;
    }
    if (word == "primaries") {
      account.sums[1] = sum;
    }
    if (word == "view") {
      account.sums[2] = sum;
    }
  }
  return account;
}
}  // namespace

int main(int /*unused*/, char** argv) {
  std::ifstream file(argv[1]);
  Options charge;
  charge.place = {0};
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
      (word == "writes-for"  ? charge.writes_for
       : word == "reads-for" ? charge.reads_for
                             : charge.silence) = value;
      continue;
    }
    if (!consistency) {
      consistency = make_consistency_monitor(charge, 7);
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
      line >> fellows.counted >> word;
      while (line >> place) {
        fellows.there.insert({place});
      }
      consistency->enqueue(std::move(fellows));
    } else if (word == "acts") {
      Acts acts{account_in(line), ready};
      consistency->enqueue(std::move(acts));
    } else if (word == "ready") {  // marks, from the next acts on
      ready.clear();
      for (std::uint32_t mark = 0; line >> mark;) {
        ready.insert(mark);
      }
    } else if (word == "check" || word == "leave") {  // "check 3 4 11 12" (revision 4), "leave 3 12"
      Message message{word == "check" ? Kind::checks : Kind::leave, 1, {}, {}, -1, {}};
      line >> message.place.number;
      message.number = asked[message.place];
      if (word == "leave") {
        message.account = said[message.place];
      }
      if (word == "check") {
        line >> message.account.revision;
      }
      for (std::uint32_t mark = 0; line >> mark;) {
        message.marks.push_back(mark);
      }
      consistency->enqueue(DatagramReceived{message.place, bytes_of(message)});
    } else if (word == "confirmed") {
      consistency->enqueue(Confirmed{});
    } else if (word == "ask" || word == "answer") {
      line >> place;
      Message message{
          word == "ask" ? Kind::asks : Kind::answers, asked[{place}], {place}, account_in(line), -1, {}};
      if (!(line >> message.word_age)) {
        message.word_age = -1;
      }
      said[{place}] = message.account;
      consistency->enqueue(DatagramReceived{{place}, bytes_of(message)});
    } else if (word == "as") {  // "as 2 ask 3": in another's name
      int other = 0;
      line >> place >> word >> other;
      consistency->enqueue(DatagramReceived{{place}, bytes_of({Kind::asks, 1, {other}, {}, -1, {}})});
    } else if (word == "cut-short") {  // any datagram without its last byte
      line >> place;
      const std::string bytes = bytes_of({Kind::asks, 1, {place}, {}, 5, {}});
      consistency->enqueue(DatagramReceived{{place}, bytes.substr(0, bytes.size() - 1)});
    } else if (word == "view") {
      const View view = consistency->view();
      for (int matter = 0; matter < kMatters; ++matter) {
        const Difference& is = view.differences[static_cast<std::size_t>(matter)];
        std::cout << fmt::format("  {}: {} of {} differ{}{}\n", word_of(static_cast<Matter>(matter)),
                                 is.differ, is.compared, is.behind ? ", behind" : "",
                                 is.since > 0 ? fmt::format(", since {}", is.since) : "");
      }
      std::cout << fmt::format("  contact {}{}, {} dropped\n", view.contact, view.cut_off ? ", cut off" : "",
                               view.dropped);
    } else {
      std::cout << "  not known\n";
    }
  }
}
