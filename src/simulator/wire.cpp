#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "simulator/wire.hpp"

namespace reedspindle::simulator {
namespace {

using Json = nlohmann::json;

double needed(const Json& line, std::size_t at) {
  if (element_or_null(line, at).is_null()) {
    throw InvalidInput("value " + std::to_string(at) + " is missing");
  }
  return number_or_default(element_or_null(line, at), 0);
}

double ms(const Json& line, std::size_t at) {
  return number_or_default(element_or_null(line, at), 0) / kNsPerMs;
}

std::string needed_word(const Json& line, std::size_t at) {
  if (element_or_null(line, at).is_null()) {
    throw InvalidInput("value " + std::to_string(at) + " is missing");
  }
  return string_or_default(line[at], "");
}

std::uint64_t needed_id(const Json& line, std::size_t at) {
  const Json& value = element_or_null(line, at);
  if (!value.is_number_integer() || value < 0) {
    throw InvalidInput("value " + std::to_string(at) + " is no id");
  }
  return value.get<std::uint64_t>();
}

ServerEntry listed(const Json& row) {
  if (!row.is_array()) {
    throw InvalidInput("a list entry is no array");
  }
  ServerEntry member;
  member.id = {needed_word(row, 0)};
  member.zone = {static_cast<int>(number_or_default(element_or_null(row, 1), 0))};
  member.kind = static_cast<int>(number_or_default(element_or_null(row, 2), 0));
  member.group = {static_cast<int>(needed(row, 3))};
  const std::string state = needed_word(row, 4);
  if (state == "ready") {
    member.state = ServerState::ready;
  } else if (state == "draining") {
    member.state = ServerState::draining;
  } else if (state == "gone") {
    member.state = ServerState::gone;
  } else {
    throw InvalidInput("unknown state " + state);
  }
  member.relative_capacity = number_or_default(element_or_null(row, 5), 1);
  member.started_at = ms(row, 6);
  member.primary = number_or_default(element_or_null(row, 7), 0) > 0;
  return member;
}

AttemptOutcome ending_of(const Json& line, std::size_t at) {
  constexpr std::array<AttemptOutcome, 9> endings = {
      AttemptOutcome::failed,    AttemptOutcome::acknowledged,   AttemptOutcome::rejected_overloaded,
      AttemptOutcome::timed_out, AttemptOutcome::connect_failed, AttemptOutcome::reset,
      AttemptOutcome::cancelled, AttemptOutcome::not_sent,       AttemptOutcome::rejected_not_executed};
  const double code = needed(line, at);
  if (code < 0 || code >= static_cast<double>(endings.size())) {
    throw InvalidInput("unknown outcome " + line[at].dump());
  }
  return endings[static_cast<std::size_t>(code)];
}

ReplicaSample from_report(const Json& load, double zero_ms) {
  ReplicaSample seen;
  if (!load.is_object()) {
    return seen;
  }
  if (load.contains("x0") && load["x0"].is_number()) {
    seen.position = zero_ms + load["x0"].get<double>() * 1000;
  }
  if (load.contains("x1")) {
    seen.role = number_or_default(load["x1"], 0) > 0 ? Role::primary : Role::replica;
  }
  if (load.contains("cpu")) {
    seen.utilization = number_or_default(load["cpu"], -1);
  }
  return seen;
}

std::string ns(Millis at) { return std::to_string(static_cast<long long>(std::ceil(at * kNsPerMs - 1e-3))); }

std::string quoted(const std::string& value) {
  return Json(value).dump(-1, ' ', false, Json::error_handler_t::replace);
}

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
  static std::string id(RequestId op) { return std::to_string(op.number); }

  void operator()(const StartAttempt& d) {
    line("CallOut", {id(d.request), ns(d.timeout), quoted(d.server.address)});
  }
  void operator()(const CancelAttempt& d) {
    line("Retract", {id(d.request), std::to_string(d.attempt.number)});
  }
  void operator()(const RejectRequest& d) { line("NotNow", {id(d.request), ns(d.retry_after)}); }
  void operator()(const FailRequest& d) { line("FinishError", {id(d.request)}); }
  void operator()(const SetTimer& d) { line("Defer", {std::to_string(d.timer.number), ns(d.at)}); }
  void operator()(const StartProbe& d) { line("AskLoad", {quoted(d.server.address)}); }
  void operator()(const ForgetServer& /*unused*/) {}  // the simulator forgets by itself
  void operator()(const WatchEndpoints& /*unused*/) { line("KeepInformed", {"true"}); }
  void operator()(const BroadcastToPeers& d) { line("Share", {"null", quoted(d.text)}); }
  void operator()(const LogMessage& d) { line("WriteLog", {quoted(d.text)}); }
};

}  // namespace

std::string Host::handle_line(const std::string& line) {
  if (line.find_first_not_of(" \t\r") == std::string::npos) {
    return "";
  }
  Json parsed = Json::parse(line, nullptr, false);
  if (parsed.is_discarded()) {
    throw InvalidInput("bad JSON");
  }
  if (!parsed.is_array() || parsed.empty() || !parsed[0].is_string()) {
    throw InvalidInput("no message name");
  }
  const std::string name = parsed[0].get<std::string>();
  try {
    if (name == "Frame") {
      if (in_batch_) {
        throw InvalidInput("Frame inside a batch");
      }
      now_ms_ = needed(parsed, 1) / kNsPerMs;
      in_batch_ = true;
      return "";
    }
    if (!in_batch_) {
      throw InvalidInput(name + " outside a batch");
    }
    if (name == "Flush") {
      return reply();
    }
    if (name == "Born") {
      born(parsed);
    } else if (name == "Manifest") {
      manifest(parsed);
    } else {
      event(name, parsed);
    }
  } catch (const Json::exception& fault) {
    throw InvalidInput(name + ": " + fault.what());
  }
  return "";
}

void Host::touch(const std::string& name, Instance& instance) {
  if (std::exchange(instance.touched, true)) {
    return;
  }
  order_.push_back(name);
}

Host::Instance& Host::instance(const Json& line) {
  const std::string name = needed_word(line, 1);
  const auto found = instances_.find(name);
  if (found == instances_.end()) {
    throw InvalidInput(line[0].get<std::string>() + " for unborn instance " + name);
  }
  touch(name, found->second);
  return found->second;
}

void Host::born(const Json& line) {
  const std::string name = needed_word(line, 1);
  const std::uint64_t seed = needed_id(line, 2);
  const Json& conf = element_or_null(line, 3);
  std::erase(order_, name);
  Instance& fresh = instances_[name] = Instance{};
  const Settings values = parse_router_settings(conf);
  if (conf.contains("familyInfo") && conf["familyInfo"].is_object()) {
    fresh.zero_ms = number_or_default(conf["familyInfo"].value("positionZero", Json(0)), 0) / kNsPerMs;
  }
  touch(name, fresh);
  try {
    fresh.router = make_router(values, seed);
  } catch (const std::exception& fault) {
    fresh.fault = fault.what();
  }
}

void Host::manifest(const Json& line) {
  const double number = needed(line, 1);
  if (number < 0 || number > 15) {
    throw InvalidInput("list number out of range");
  }
  if (!element_or_null(line, 2).is_array()) {
    throw InvalidInput("a list without entries");
  }
  std::vector<ServerEntry> members;
  for (const Json& row : line[2]) {
    members.push_back(listed(row));
  }
  lists_[static_cast<int>(number)] = std::move(members);
}

Event Host::membership(const Json& line) const {
  static const std::map<std::string, EndpointListKind> kinds = {{"INCREMENTAL", EndpointListKind::changes},
                                                                {"FULL", EndpointListKind::complete},
                                                                {"SAVED", EndpointListKind::saved},
                                                                {"FAILED", EndpointListKind::failed}};
  const auto kind = kinds.find(needed_word(line, 2));
  if (kind == kinds.end()) {
    throw InvalidInput("unknown list kind " + line[2].dump());
  }
  EndpointListReceived read{kind->second, {}};
  if (read.kind != EndpointListKind::failed) {
    const auto list = lists_.find(static_cast<int>(needed(line, 4)));
    if (list == lists_.end()) {
      throw InvalidInput("unknown list number " + line[4].dump());
    }
    read.servers = list->second;
  }
  return read;
}

Event Host::result(const Instance& at, const Json& line) const {
  AttemptCompleted ended;
  ended.request = {needed_id(line, 2)};
  ended.attempt = {static_cast<int>(needed(line, 3))};
  ended.server = {needed_word(line, 4)};
  ended.outcome = ending_of(line, 5);
  ended.latency = ms(line, 6);
  ended.request_completed = number_or_default(element_or_null(line, 7), 0) > 0;
  ended.sample = from_report(element_or_null(line, 9), at.zero_ms);
  const auto note = static_cast<long long>(number_or_default(element_or_null(line, 8), 0));
  if (note > 0) {
    ended.sample.role = note % 4 == 1 ? Role::primary : note % 4 == 2 ? Role::replica : Role::unknown;
    if (note / 4 > 0) {
      ended.sample.position = at.zero_ms + static_cast<double>(note / 4);
    }
  }
  return ended;
}

void Host::event(const std::string& name, const Json& line) {
  if (name == "Detach") {
    const std::string gone = needed_word(line, 1);
    if (instances_.erase(gone) == 0) {
      throw InvalidInput("Detach for unborn instance " + gone);
    }
    std::erase(order_, gone);
    return;
  }
  static const std::vector<std::string> known = {"Membership", "Submit", "Accepted", "Result",
                                                 "Expired",    "Due",    "Checked",  "PeerData"};
  if (std::find(known.begin(), known.end(), name) == known.end()) {
    throw InvalidInput("unknown event " + name);
  }
  Instance& at = instance(line);
  if (name == "Accepted" || !at.router) {
    return;  // streams are not used by this kind of service
  }
  Event noted;
  if (name == "Membership") {
    noted = membership(line);
  } else if (name == "Submit") {
    RequestReceived op;
    op.request = {needed_id(line, 2)};
    op.token_age = number_or_default(element_or_null(line, 3), 0);
    op.session = string_or_default(element_or_null(line, 5), "");
    op.group = {static_cast<int>(needed(line, 6))};
    op.remaining = needed(line, 7) / kNsPerMs;
    op.request_class = {static_cast<int>(needed(line, 9))};
    op.is_retry = (static_cast<long long>(number_or_default(element_or_null(line, 10), 0)) & 2) != 0;
    noted = op;
  } else if (name == "Result") {
    noted = result(at, line);
  } else if (name == "Expired") {
    noted = RequestAbandoned{{needed_id(line, 2)}};
  } else if (name == "Due") {
    noted = TimerExpired{{static_cast<std::int64_t>(needed(line, 2))}};
  } else if (name == "Checked") {
    const bool answered = needed(line, 3) == 1;
    const ReplicaSample seen = answered ? from_report(element_or_null(line, 5), at.zero_ms) : ReplicaSample{};
    noted = ProbeCompleted{{needed_word(line, 2)}, answered, ms(line, 4), seen};
  } else {
    noted = PeerMessageReceived{static_cast<int>(needed(line, 2)),
                                string_or_default(element_or_null(line, 3), "")};
  }
  try {
    at.router->enqueue(noted);
  } catch (const std::exception& fault) {
    if (at.fault.empty()) {
      at.fault = fault.what();
    }
  }
}

std::string Host::reply() {
  std::string out;
  for (const std::string& name : order_) {
    Instance& at = instances_.at(name);
    at.touched = false;
    Writer writer{out, quoted(name)};
    try {
      if (!at.fault.empty()) {
        throw std::runtime_error(at.fault);
      }
      for (const Decision& decision : at.router->process(now_ms_)) {
        std::visit(writer, decision);
      }
    } catch (const std::exception& fault) {
      writer.line("Die", {quoted(fault.what())});
    }
  }
  order_.clear();
  in_batch_ = false;
  return out + "[\"Finished\"]\n";
}

}  // namespace reedspindle::simulator
