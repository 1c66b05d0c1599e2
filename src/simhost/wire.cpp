#include "simhost/wire.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace reedspindle::simhost {
namespace {

using Json = nlohmann::json;

double needed(const Json& line, std::size_t at) {
  if (field(line, at).is_null()) throw Malformed("value " + std::to_string(at) + " is missing");
  return number_or(field(line, at), 0);
}

double ms(const Json& line, std::size_t at) { return number_or(field(line, at), 0) / kNsPerMs; }

std::string needed_word(const Json& line, std::size_t at) {
  if (field(line, at).is_null()) throw Malformed("value " + std::to_string(at) + " is missing");
  return word_or(line[at], "");
}

std::uint64_t needed_id(const Json& line, std::size_t at) {
  const Json& value = field(line, at);
  if (!value.is_number_integer() || value < 0) throw Malformed("value " + std::to_string(at) + " is no id");
  return value.get<std::uint64_t>();
}

ListedMember listed(const Json& row) {
  if (!row.is_array()) throw Malformed("a list entry is no array");
  ListedMember member;
  member.member = {needed_word(row, 0)};
  member.zone = {static_cast<int>(number_or(field(row, 1), 0))};
  member.kind = static_cast<int>(number_or(field(row, 2), 0));
  member.group = {static_cast<int>(needed(row, 3))};
  const std::string state = needed_word(row, 4);
  if (state == "ready")
    member.state = MemberState::ready;
  else if (state == "draining")
    member.state = MemberState::draining;
  else if (state == "gone")
    member.state = MemberState::gone;
  else
    throw Malformed("unknown state " + state);
  member.size = number_or(field(row, 5), 1);
  member.up_since = ms(row, 6);
  member.primary = number_or(field(row, 7), 0) > 0;
  return member;
}

Ending ending_of(const Json& line, std::size_t at) {
  constexpr std::array<Ending, 9> endings = {
      Ending::errored,    Ending::acked,          Ending::turned_away_full,
      Ending::timed_out,  Ending::connect_failed, Ending::reset,
      Ending::called_off, Ending::never_sent,     Ending::turned_away_untouched};
  const double code = needed(line, at);
  if (code < 0 || code >= static_cast<double>(endings.size()))
    throw Malformed("unknown outcome " + line[at].dump());
  return endings[static_cast<std::size_t>(code)];
}

Sighting from_report(const Json& load, double zero_ms) {
  Sighting seen;
  if (!load.is_object()) return seen;
  if (load.contains("x0") && load["x0"].is_number())
    seen.position = zero_ms + load["x0"].get<double>() * 1000;
  if (load.contains("x1")) seen.role = number_or(load["x1"], 0) > 0 ? Role::primary : Role::replica;
  if (load.contains("cpu")) seen.busy = number_or(load["cpu"], -1);
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
    for (const std::string& value : values) out.append(1, ',').append(value);
    out.append("]\n");
  }
  static std::string id(OpId op) { return std::to_string(op.number); }

  void operator()(const Send& d) { line("CallOut", {id(d.op), ns(d.time_out), quoted(d.member.address)}); }
  void operator()(const CallOff& d) { line("Retract", {id(d.op), std::to_string(d.send.number)}); }
  void operator()(const BusyReply& d) { line("NotNow", {id(d.op), ns(d.come_back)}); }
  void operator()(const ErrorReply& d) { line("FinishError", {id(d.op)}); }
  void operator()(const Wake& d) { line("Defer", {std::to_string(d.timer.number), ns(d.at)}); }
  void operator()(const Probe& d) { line("AskLoad", {quoted(d.member.address)}); }
  void operator()(const Forget&) {}  // the simulator forgets by itself
  void operator()(const WatchList&) { line("KeepInformed", {"true"}); }
  void operator()(const TellPeers& d) { line("Share", {"null", quoted(d.text)}); }
  void operator()(const LogLine& d) { line("WriteLog", {quoted(d.text)}); }
};

}  // namespace

std::string Host::take(const std::string& line) {
  if (line.find_first_not_of(" \t\r") == std::string::npos) return "";
  Json parsed = Json::parse(line, nullptr, false);
  if (parsed.is_discarded()) throw Malformed("bad JSON");
  if (!parsed.is_array() || parsed.empty() || !parsed[0].is_string()) throw Malformed("no message name");
  const std::string name = parsed[0].get<std::string>();
  try {
    if (name == "Frame") {
      if (in_batch_) throw Malformed("Frame inside a batch");
      now_ms_ = needed(parsed, 1) / kNsPerMs;
      in_batch_ = true;
      return "";
    }
    if (!in_batch_) throw Malformed(name + " outside a batch");
    if (name == "Flush") return reply();
    if (name == "Born")
      born(parsed);
    else if (name == "Manifest")
      manifest(parsed);
    else
      event(name, parsed);
  } catch (const Json::exception& fault) {
    throw Malformed(name + ": " + fault.what());
  }
  return "";
}

void Host::touch(const std::string& name, Instance& instance) {
  if (std::exchange(instance.touched, true)) return;
  order_.push_back(name);
}

Host::Instance& Host::instance(const Json& line) {
  const std::string name = needed_word(line, 1);
  const auto found = instances_.find(name);
  if (found == instances_.end()) throw Malformed(line[0].get<std::string>() + " for unborn instance " + name);
  touch(name, found->second);
  return found->second;
}

void Host::born(const Json& line) {
  const std::string name = needed_word(line, 1);
  const std::uint64_t seed = needed_id(line, 2);
  const Json& conf = field(line, 3);
  std::erase(order_, name);
  Instance& fresh = instances_[name] = Instance{};
  const Values values = values_of(conf);
  if (conf.contains("familyInfo") && conf["familyInfo"].is_object()) {
    fresh.zero_ms = number_or(conf["familyInfo"].value("positionZero", Json(0)), 0) / kNsPerMs;
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
  if (number < 0 || number > 15) throw Malformed("list number out of range");
  if (!field(line, 2).is_array()) throw Malformed("a list without entries");
  std::vector<ListedMember> members;
  for (const Json& row : line[2]) members.push_back(listed(row));
  lists_[static_cast<int>(number)] = std::move(members);
}

Event Host::membership(const Json& line) const {
  static const std::map<std::string, ListKind> kinds = {{"INCREMENTAL", ListKind::changes},
                                                        {"FULL", ListKind::complete},
                                                        {"SAVED", ListKind::saved},
                                                        {"FAILED", ListKind::failed}};
  const auto kind = kinds.find(needed_word(line, 2));
  if (kind == kinds.end()) throw Malformed("unknown list kind " + line[2].dump());
  ListRead read{kind->second, {}};
  if (read.kind != ListKind::failed) {
    const auto list = lists_.find(static_cast<int>(needed(line, 4)));
    if (list == lists_.end()) throw Malformed("unknown list number " + line[4].dump());
    read.members = list->second;
  }
  return read;
}

Event Host::result(const Instance& at, const Json& line) const {
  SendEnded ended;
  ended.op = {needed_id(line, 2)};
  ended.send = {static_cast<int>(needed(line, 3))};
  ended.member = {needed_word(line, 4)};
  ended.ending = ending_of(line, 5);
  ended.took = ms(line, 6);
  ended.op_ended = number_or(field(line, 7), 0) > 0;
  ended.seen = from_report(field(line, 9), at.zero_ms);
  const auto note = static_cast<long long>(number_or(field(line, 8), 0));
  if (note > 0) {
    ended.seen.role = note % 4 == 1 ? Role::primary : note % 4 == 2 ? Role::replica : Role::unknown;
    if (note / 4 > 0) ended.seen.position = at.zero_ms + static_cast<double>(note / 4);
  }
  return ended;
}

void Host::event(const std::string& name, const Json& line) {
  if (name == "Detach") {
    const std::string gone = needed_word(line, 1);
    if (instances_.erase(gone) == 0) throw Malformed("Detach for unborn instance " + gone);
    std::erase(order_, gone);
    return;
  }
  static const std::vector<std::string> known = {"Membership", "Submit", "Accepted", "Result",
                                                 "Expired",    "Due",    "Checked",  "PeerData"};
  if (std::find(known.begin(), known.end(), name) == known.end()) throw Malformed("unknown event " + name);
  Instance& at = instance(line);
  if (name == "Accepted" || !at.router) return;  // streams are not used by this kind of service
  Event noted;
  if (name == "Membership") {
    noted = membership(line);
  } else if (name == "Submit") {
    OpArrived op;
    op.op = {needed_id(line, 2)};
    op.token_age = number_or(field(line, 3), 0);
    op.session = word_or(field(line, 5), "");
    op.group = {static_cast<int>(needed(line, 6))};
    op.patience = needed(line, 7) / kNsPerMs;
    op.type = {static_cast<int>(needed(line, 9))};
    op.repeat = (static_cast<long long>(number_or(field(line, 10), 0)) & 2) != 0;
    noted = op;
  } else if (name == "Result") {
    noted = result(at, line);
  } else if (name == "Expired") {
    noted = OpGone{{needed_id(line, 2)}};
  } else if (name == "Due") {
    noted = TimerDue{{static_cast<std::int64_t>(needed(line, 2))}};
  } else if (name == "Checked") {
    const bool answered = needed(line, 3) == 1;
    const Sighting seen = answered ? from_report(field(line, 5), at.zero_ms) : Sighting{};
    noted = ProbeEnded{{needed_word(line, 2)}, answered, ms(line, 4), seen};
  } else {
    noted = PeerSpoke{static_cast<int>(needed(line, 2)), word_or(field(line, 3), "")};
  }
  try {
    at.router->note(noted);
  } catch (const std::exception& fault) {
    if (at.fault.empty()) at.fault = fault.what();
  }
}

std::string Host::reply() {
  std::string out;
  for (const std::string& name : order_) {
    Instance& at = instances_.at(name);
    at.touched = false;
    Writer writer{out, quoted(name)};
    try {
      if (!at.fault.empty()) throw std::runtime_error(at.fault);
      for (const Decision& decision : at.router->settle(now_ms_)) std::visit(writer, decision);
    } catch (const std::exception& fault) {
      writer.line("Die", {quoted(fault.what())});
    }
  }
  order_.clear();
  in_batch_ = false;
  return out + "[\"Finished\"]\n";
}

}  // namespace reedspindle::simhost
