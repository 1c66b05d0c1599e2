// Holds each path that ends client connections against each state of a connection, cell by cell: guards
// against a path that closes a connection in the middle of a command without an answer.
#include "proxy/connection_ending.hpp"

#include <array>
#include <iostream>
#include <string_view>

namespace {
using namespace reedspindle::proxy;

constexpr std::array<std::string_view, kActivities> kActivityNames = {"connecting",    "unused", "resting",
                                                                      "command begun", "unread", "owing"};
struct Row {
  EndReason reason;
  std::string_view name;
  // One letter for each activity: k for keep, c for close, e for close with an error.
  std::string_view expected;
};
// A command that has been begun (the fourth letter) is never ended without an error, and by no path that only
// makes room: the client's last byte may be on its way.
constexpr std::array<Row, kEndReasons> kRows = {{
    {EndReason::idle_limit, "idle limit", "kkckkk"},
    {EndReason::capacity, "capacity", "eeckkk"},
    {EndReason::memory_for_others, "memory for others", "kkkekk"},
    {EndReason::no_memory, "no memory", "eeeeee"},
    {EndReason::draining, "draining", "kcckkk"},
    {EndReason::rejecting, "rejecting", "ccckkk"},
    {EndReason::rejected, "rejected", "cccekk"},
    {EndReason::time_limit, "time limit", "eekeee"},
}};

char letter_of(EndAction action) {
  return action == EndAction::keep ? 'k' : action == EndAction::close ? 'c' : 'e';
}
}  // namespace

int main() {
  int failed = 0;
  for (const Row& row : kRows) {
    for (int activity = 0; activity < kActivities; ++activity) {
      const char actual = letter_of(end_action(row.reason, static_cast<Activity>(activity)));
      const char expected = row.expected[static_cast<std::size_t>(activity)];
      if (actual != expected) {
        std::cout << row.name << ", " << kActivityNames[static_cast<std::size_t>(activity)] << ": " << actual
                  << ", expected " << expected << '\n';
        ++failed;
      }
    }
  }
  return failed == 0 ? 0 : 1;
}
