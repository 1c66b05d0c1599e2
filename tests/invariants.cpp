// Replays a trace of events to the invariant checker and prints the violations that it reports. Each line has
// a time in ms, an event and its fields; "check" only advances the time. Lines that begin with two spaces are
// the expected output and are skipped.
#include "invariants/invariants.hpp"

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace reedspindle;
using namespace reedspindle::invariants;

int main(int /*unused*/, char** arguments) {
  CheckerOptions options;
  options.slack = 100, options.slow_start_minimum = 0.2, options.slow_start_window = 10000,
  options.overload_window = 1000, options.capacity = 100;
  InvariantChecker checker(options);
  std::ifstream file(arguments[1]);
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("  ")) {
      continue;
    }
    std::cout << line << '\n';
    if (line.empty() || line[0] == '#') {
      continue;
    }
    std::istringstream fields(line);
    Millis at = 0;
    std::string event;
    std::string request;
    std::string word;
    InstanceIndex instance;
    ServerIndex server;
    fields >> at >> event;
    if (event == "received") {
      RequestArrived received;
      fields >> received.request >> instance.number >> word >> received.timeout >> received.max_age >>
          received.required_position;
      received.instance = instance, received.at = at;
      received.needs = word == "bounded" ? Needs::bounded : word == "session" ? Needs::session : Needs::write;
      checker.record(received);
    } else if (event == "sent") {
      fields >> request >> instance.number >> server.number;
      int count = 1;
      if (!(fields >> count)) {
        count = 1;
      }
      while (count-- > 0) {
        checker.record(RequestSent{request, instance, server, at});
      }
    } else if (event == "executed") {
      RequestProcessed processed;
      fields >> processed.request >> processed.server.number >> processed.sent >> processed.position >>
          processed.token;
      processed.effect = !processed.token.empty();
      if (processed.token == "-") {
        processed.token.clear();
      }
      checker.record(processed);
    } else if (event == "responded") {
      fields >> request >> word;
      checker.record(ResponseSent{request, word == "busy" ? ResponseKind::busy : ResponseKind::acknowledged,
                                  at, word != "wrong-result"});
    } else if (event == "closed") {
      fields >> request;
      checker.record(ConnectionClosed{request, at});
    } else if (event == "disconnected") {
      fields >> request;
      checker.record(ClientDisconnected{request});
    } else if (event == "killed" || event == "paused" || event == "resumed") {
      fields >> instance.number;
      if (event == "killed") {
        checker.record(InstanceKilled{instance});
      }
      if (event == "paused") {
        checker.record(InstancePaused{instance, at});
      }
      if (event == "resumed") {
        checker.record(InstanceResumed{instance, at});
      }
    } else if (event == "listed") {
      Millis started_at = 0;
      fields >> instance.number >> server.number >> word >> started_at;
      checker.record(ListingDelivered{instance, server, word == "ready", started_at, at});
    } else if (event == "started") {
      fields >> server.number;
      checker.record(ServerStarted{server, at});
    } else if (event != "check") {
      std::cout << "  unknown event\n";
      return 1;
    }
    for (const Violation& violation : checker.check(at)) {
      std::cout << fmt::format(
          "  {}{}{}{}: {}\n", description_of(violation.rule),
          violation.request.empty() ? "" : ", request " + violation.request,
          violation.instance.number < 0 ? "" : fmt::format(", instance {}", violation.instance.number),
          violation.server.number < 0 ? "" : fmt::format(", server {}", violation.server.number),
          violation.details);
    }
  }
}
