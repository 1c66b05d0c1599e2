// Reads a case file, reads each line's text as one of the forms that reach a front, and prints what it says.
// A case file holds its own expected output (lines starting with "  "), which is skipped on reading.
#include <fstream>
#include <iostream>
#include <string>

#include "discovery/client.hpp"
#include "postgres/codec.hpp"

namespace {
namespace postgres = reedspindle::postgres;

void print(const postgres::Fault& fault) { std::cout << "  " << fault.code << ' ' << fault.text << '\n'; }

void statement(const std::string& text) {
  const auto read = postgres::read_statement(text);
  if (const auto* fault = std::get_if<postgres::Fault>(&read)) {
    return print(*fault);
  }
  const auto& at = std::get<postgres::Statement>(read);
  std::cout << "  id " << at.id << ", type " << at.request_class << ", key " << at.key << ", patience "
            << at.remaining << ", group " << at.group << ", position " << std::to_string(at.position)
            << (at.is_retry ? ", a repeat" : "") << '\n';
  std::cout << "  " << postgres::with_remaining_time(text, at.remaining_span, 7.2) << '\n';
}

void list(const std::string& text) {
  const reedspindle::config::NameTable names{{}, {{"a", {0}}, {"b", {1}}}, {{"m2", 1}}};
  try {
    const auto list = reedspindle::discovery::parse_endpoint_list(text, names);
    std::cout << "  " << (list.kind == reedspindle::EndpointListKind::complete ? "complete " : "changes ")
              << list.revision << '\n';
    const char* states[] = {"ready", "draining", "gone"};
    for (const auto& [entry, zone, endpoint] : list.servers) {
      std::cout << "  " << entry.id.address << " at " << endpoint.address().to_string() << ':'
                << endpoint.port() << ", zone " << zone << ' ' << entry.zone.number << ", kind " << entry.kind
                << ", group " << entry.group.number << ", " << states[static_cast<int>(entry.state)]
                << ", size " << entry.relative_capacity << ", up since " << entry.started_at
                << (entry.primary ? ", primary" : "") << '\n';
    }
  } catch (const std::exception& fault) {
    std::cout << "  " << fault.what() << '\n';
  }
}

// Every cut of a message's bytes is partial, the whole is the message, and what follows stays.
void cut(const std::string& name) {
  const std::string bytes = name == "query" ? postgres::query("SELECT 1")
                            : name == "error"
                                ? postgres::error(postgres::Severity::error, "53300", "busy", "40")
                                : postgres::startup("svc", "main");
  const auto read = [&](std::string_view held) {
    return name == "startup" ? postgres::read_startup(held)
           : name == "query" ? postgres::read_from_client(held)
                             : postgres::read_from_server(held);
  };
  std::size_t partial = 0;
  while (partial < bytes.size() &&
         std::holds_alternative<postgres::Partial>(read(bytes.substr(0, partial)))) {
    ++partial;
  }
  const std::string more = bytes + "more";
  const auto whole = read(more);
  const auto* message = std::get_if<postgres::Message>(&whole);
  std::cout << "  partial for " << partial << " of " << bytes.size() << " bytes, then "
            << (message && message->bytes == bytes ? "whole" : "not it") << '\n';
  if (name != "error" || !message) {
    return;
  }
  for (std::size_t size = 0; size <= message->body.size(); ++size) {
    if (const auto fields = postgres::read_error(message->body.substr(0, size));
        fields && fields->code != "53300") {
      std::cout << "  cut after " << size << ": code " << fields->code << '\n';
    }
  }
}

// A row's values with every cut of it.
void row(const std::string& text) {
  std::string body = text;
  for (std::size_t at; (at = body.find("\\x")) != std::string::npos;) {
    body.replace(at, 4, 1, static_cast<char>(std::stoi(body.substr(at + 2, 2), nullptr, 16)));
  }
  std::size_t read = 0;
  for (std::size_t size = 0; size < body.size(); ++size) {
    read += postgres::read_row(body.substr(0, size)).has_value();
  }
  const auto value = postgres::read_row(body);
  std::cout << "  " << (value ? "value " + std::string(*value) : "none") << ", of its cuts " << read << '\n';
}
}  // namespace

int main(int /*unused*/, char** argv) {
  std::ifstream file(argv[1]);
  for (std::string text; std::getline(file, text);) {
    if (text.starts_with("  ")) {
      continue;
    }
    std::cout << text << '\n';
    if (text.empty() || text[0] == '#') {
      continue;
    }
    const std::string word = text.substr(0, text.find(' '));
    const std::string rest = text.substr(text.find(' ') + 1);
    if (word == "statement") {
      statement(rest);
    }
    if (word == "list") {
      list(rest);
    }
    if (word == "cut") {
      cut(rest);
    }
    if (word == "row") {
      row(rest);
    }
  }
}
