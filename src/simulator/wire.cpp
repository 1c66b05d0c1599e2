#include "simulator/wire.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace reedspindle::simulator {
namespace {

using Json = nlohmann::json;

double required_number(const Json& line, std::size_t index) {
  if (element_or_null(line, index).is_null()) {
    throw InvalidInput("value " + std::to_string(index) + ": missing");
  }
  return number_or_default(element_or_null(line, index), 0);
}

double millis_at(const Json& line, std::size_t index) {
  return number_or_default(element_or_null(line, index), 0) / kNsPerMs;
}

std::string required_string(const Json& line, std::size_t index) {
  if (element_or_null(line, index).is_null()) {
    throw InvalidInput("value " + std::to_string(index) + ": missing");
  }
  return string_or_default(line[index], "");
}

std::uint64_t required_id(const Json& line, std::size_t index) {
  const Json& value = element_or_null(line, index);
  if (!value.is_number_integer() || value < 0) {
    throw InvalidInput("value " + std::to_string(index) + ": expected an id, an integer of at least 0");
  }
  return value.get<std::uint64_t>();
}

ServerEntry parse_server(const Json& row) {
  if (!row.is_array()) {
    throw InvalidInput("list entry: expected an array");
  }
  ServerEntry server;
  server.id = {required_string(row, 0)};
  server.zone = {static_cast<int>(number_or_default(element_or_null(row, 1), 0))};
  server.kind = static_cast<int>(number_or_default(element_or_null(row, 2), 0));
  server.group = {static_cast<int>(required_number(row, 3))};
  const std::string state = required_string(row, 4);
  if (state == "ready") {
    server.state = ServerState::ready;
  } else if (state == "draining") {
    server.state = ServerState::draining;
  } else if (state == "gone") {
    server.state = ServerState::gone;
  } else {
    throw InvalidInput("list entry: expected state ready, draining or gone, got " + state);
  }
  server.relative_capacity = number_or_default(element_or_null(row, 5), 1);
  server.started_at = millis_at(row, 6);
  server.primary = number_or_default(element_or_null(row, 7), 0) > 0;
  return server;
}

// Parses an outcome, which the simulator writes as its index here.
AttemptOutcome parse_outcome(const Json& line, std::size_t index) {
  constexpr std::array<AttemptOutcome, 9> outcomes = {
      AttemptOutcome::failed,    AttemptOutcome::acknowledged,   AttemptOutcome::rejected_overloaded,
      AttemptOutcome::timed_out, AttemptOutcome::connect_failed, AttemptOutcome::reset,
      AttemptOutcome::cancelled, AttemptOutcome::not_sent,       AttemptOutcome::rejected_not_executed};
  const double code = required_number(line, index);
  if (code < 0 || code >= static_cast<double>(outcomes.size())) {
    throw InvalidInput("Result: unknown outcome " + line[index].dump());
  }
  return outcomes[static_cast<std::size_t>(code)];
}

// Reads a server's load report: x0 is its position in seconds after position zero, x1 is 1 on the primary.
ReplicaSample parse_report(const Json& load, double zero_ms) {
  ReplicaSample sample;
  if (!load.is_object()) {
    return sample;
  }
  if (load.contains("x0") && load["x0"].is_number()) {
    sample.position = zero_ms + load["x0"].get<double>() * 1000;
  }
  if (load.contains("x1")) {
    sample.role = number_or_default(load["x1"], 0) > 0 ? Role::primary : Role::replica;
  }
  if (load.contains("cpu")) {
    sample.utilization = number_or_default(load["cpu"], -1);
  }
  return sample;
}

// Returns a time in whole nanoseconds, rounded up except for errors of floating point.
std::string ns(Millis time) {
  return std::to_string(static_cast<long long>(std::ceil(time * kNsPerMs - 1e-3)));
}

std::string quoted(const std::string& value) {
  return Json(value).dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Writes the decisions of one instance as lines of the reply.
struct Writer {
  std::string& out;
  std::string instance;

  void line(const char* name, std::initializer_list<std::string> values) {
    out.append("[\"").append(name).append("\",").append(instance);
    for (const std::string& value : values) {
      out.append(1, ',').append(value);
    }
    out.append("]\n");
  }
  static std::string id(RequestId request) { return std::to_string(request.number); }

  void operator()(const StartAttempt& decision) {
    line("CallOut", {id(decision.request), ns(decision.timeout), quoted(decision.server.address)});
  }
  void operator()(const CancelAttempt& decision) {
    line("Retract", {id(decision.request), std::to_string(decision.attempt.number)});
  }
  void operator()(const RejectRequest& decision) {
    line("NotNow", {id(decision.request), ns(decision.retry_after)});
  }
  void operator()(const FailRequest& decision) { line("FinishError", {id(decision.request)}); }
  void operator()(const SetTimer& decision) {
    line("Defer", {std::to_string(decision.timer.number), ns(decision.at)});
  }
  void operator()(const StartProbe& decision) { line("AskLoad", {quoted(decision.server.address)}); }
  void operator()(const ForgetServer& /*unused*/) {}  // the simulator does this itself
  void operator()(const WatchEndpoints& /*unused*/) { line("KeepInformed", {"true"}); }
  void operator()(const BroadcastToPeers& decision) { line("Share", {"null", quoted(decision.text)}); }
  void operator()(const LogMessage& decision) { line("WriteLog", {quoted(decision.text)}); }
};

}  // namespace

std::string Host::handle_line(const std::string& line) {
  if (line.find_first_not_of(" \t\r") == std::string::npos) {
    return "";
  }
  Json message = Json::parse(line, nullptr, false);
  if (message.is_discarded()) {
    throw InvalidInput("invalid JSON");
  }
  if (!message.is_array() || message.empty() || !message[0].is_string()) {
    throw InvalidInput("expected an array that begins with a message name");
  }
  const std::string name = message[0].get<std::string>();
  try {
    if (name == "Frame") {
      if (in_batch_) {
        throw InvalidInput("Frame: not allowed inside a batch");
      }
      now_ms_ = required_number(message, 1) / kNsPerMs;
      in_batch_ = true;
      return "";
    }
    if (!in_batch_) {
      throw InvalidInput(name + ": not allowed outside a batch");
    }
    if (name == "Flush") {
      return reply();
    }
    if (name == "Born") {
      create_instance(message);
    } else if (name == "Manifest") {
      set_list(message);
    } else {
      handle_event(name, message);
    }
  } catch (const Json::exception& error) {
    throw InvalidInput(name + ": " + error.what());
  }
  return "";
}

void Host::add_to_order(const std::string& name, Instance& instance) {
  if (std::exchange(instance.in_order, true)) {
    return;
  }
  order_.push_back(name);
}

Host::Instance& Host::find_instance(const Json& line) {
  const std::string name = required_string(line, 1);
  const auto found = instances_.find(name);
  if (found == instances_.end()) {
    throw InvalidInput(line[0].get<std::string>() + ": unknown instance " + name);
  }
  add_to_order(name, found->second);
  return found->second;
}

void Host::create_instance(const Json& line) {
  const std::string name = required_string(line, 1);
  const std::uint64_t seed = required_id(line, 2);
  const Json& settings = element_or_null(line, 3);
  std::erase(order_, name);
  Instance& fresh = instances_[name] = Instance{};
  const Settings router_settings = parse_router_settings(settings);
  if (settings.contains("familyInfo") && settings["familyInfo"].is_object()) {
    fresh.zero_ms = number_or_default(settings["familyInfo"].value("positionZero", Json(0)), 0) / kNsPerMs;
  }
  add_to_order(name, fresh);
  try {
    fresh.router = make_router(router_settings, seed);
  } catch (const std::exception& error) {
    fresh.error = error.what();
  }
}

void Host::set_list(const Json& line) {
  const double number = required_number(line, 1);
  if (number < 0 || number > 15) {
    throw InvalidInput("Manifest: expected a list number from 0 to 15");
  }
  if (!element_or_null(line, 2).is_array()) {
    throw InvalidInput("Manifest: expected an array of list entries");
  }
  std::vector<ServerEntry> servers;
  for (const Json& row : line[2]) {
    servers.push_back(parse_server(row));
  }
  lists_[static_cast<int>(number)] = std::move(servers);
}

Event Host::membership_event(const Json& line) const {
  static const std::map<std::string, EndpointListKind> kinds = {{"INCREMENTAL", EndpointListKind::changes},
                                                                {"FULL", EndpointListKind::complete},
                                                                {"SAVED", EndpointListKind::saved},
                                                                {"FAILED", EndpointListKind::failed}};
  const auto kind = kinds.find(required_string(line, 2));
  if (kind == kinds.end()) {
    throw InvalidInput("Membership: unknown list kind " + line[2].dump());
  }
  EndpointListReceived received{kind->second, {}};
  if (received.kind != EndpointListKind::failed) {
    const auto list = lists_.find(static_cast<int>(required_number(line, 4)));
    if (list == lists_.end()) {
      throw InvalidInput("Membership: unknown list number " + line[4].dump());
    }
    received.servers = list->second;
  }
  return received;
}

Event Host::result_event(const Instance& instance, const Json& line) const {
  AttemptCompleted completed;
  completed.request = {required_id(line, 2)};
  completed.attempt = {static_cast<int>(required_number(line, 3))};
  completed.server = {required_string(line, 4)};
  completed.outcome = parse_outcome(line, 5);
  completed.latency = millis_at(line, 6);
  completed.request_completed = number_or_default(element_or_null(line, 7), 0) > 0;
  completed.report = parse_report(element_or_null(line, 9), instance.zero_ms);
  // A note, if there is one, is 4 x position in ms after position zero + role: 1 primary, 2 replica.
  const auto note = static_cast<long long>(number_or_default(element_or_null(line, 8), 0));
  if (note > 0) {
    completed.sample.role = note % 4 == 1 ? Role::primary : note % 4 == 2 ? Role::replica : Role::unknown;
    if (note / 4 > 0) {
      completed.sample.position = instance.zero_ms + static_cast<double>(note / 4);
    }
  }
  return completed;
}

void Host::handle_event(const std::string& name, const Json& line) {
  if (name == "Detach") {
    const std::string detached = required_string(line, 1);
    if (instances_.erase(detached) == 0) {
      throw InvalidInput("Detach: unknown instance " + detached);
    }
    std::erase(order_, detached);
    return;
  }
  static const std::vector<std::string> known_events = {"Membership", "Submit", "Accepted", "Result",
                                                        "Expired",    "Due",    "Checked",  "PeerData"};
  if (std::find(known_events.begin(), known_events.end(), name) == known_events.end()) {
    throw InvalidInput("unknown event " + name);
  }
  Instance& instance = find_instance(line);
  if (name == "Accepted" || !instance.router) {
    return;  // this kind of service does not use streams
  }
  Event event;
  if (name == "Membership") {
    event = membership_event(line);
  } else if (name == "Submit") {
    RequestReceived request;
    request.request = {required_id(line, 2)};
    request.token_age = number_or_default(element_or_null(line, 3), 0);
    request.session = string_or_default(element_or_null(line, 5), "");
    request.group = {static_cast<int>(required_number(line, 6))};
    request.remaining = required_number(line, 7) / kNsPerMs;
    request.request_class = {static_cast<int>(required_number(line, 9))};
    request.is_retry = (static_cast<long long>(number_or_default(element_or_null(line, 10), 0)) & 2) != 0;
    event = request;
  } else if (name == "Result") {
    event = result_event(instance, line);
  } else if (name == "Expired") {
    event = RequestAbandoned{{required_id(line, 2)}};
  } else if (name == "Due") {
    event = TimerExpired{{static_cast<std::int64_t>(required_number(line, 2))}};
  } else if (name == "Checked") {
    const bool answered = required_number(line, 3) == 1;
    const ReplicaSample sample =
        answered ? parse_report(element_or_null(line, 5), instance.zero_ms) : ReplicaSample{};
    event = ProbeCompleted{{required_string(line, 2)}, answered, millis_at(line, 4), sample};
  } else {
    event = PeerMessageReceived{static_cast<int>(required_number(line, 2)),
                                string_or_default(element_or_null(line, 3), "")};
  }
  try {
    instance.router->enqueue(event);
  } catch (const std::exception& error) {
    if (instance.error.empty()) {
      instance.error = error.what();
    }
  }
}

std::string Host::reply() {
  std::string out;
  for (const std::string& name : order_) {
    Instance& instance = instances_.at(name);
    instance.in_order = false;
    Writer writer{out, quoted(name)};
    try {
      if (!instance.error.empty()) {
        throw std::runtime_error(instance.error);
      }
      for (const Decision& decision : instance.router->process(now_ms_)) {
        std::visit(writer, decision);
      }
    } catch (const std::exception& error) {
      writer.line("Die", {quoted(error.what())});
    }
  }
  order_.clear();
  in_batch_ = false;
  return out + "[\"Finished\"]\n";
}

}  // namespace reedspindle::simulator
