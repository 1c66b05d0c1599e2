// Reads a case file and decodes the text of each line as the form that its first word names, as an instance
// would receive it, then prints the result. The file holds its own expected output in lines that start with
// two blanks, which are skipped on reading.
//
//   statement TEXT      a statement of a client
//   endpoint_list JSON  a list from discovery
//   truncate NAME       a message (query, error or startup) and all its prefixes
//   data_row BYTES      the body of a row, with bytes as \xHH, and all its prefixes
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
  std::cout << "  id " << at.id << ", request class " << at.request_class << ", key " << at.key
            << ", remaining_ms " << at.remaining << ", group " << at.group << ", position "
            << std::to_string(at.position) << (at.is_retry ? ", retry" : "") << '\n';
  const postgres::QueryParts parts = postgres::query_parts(text, at.remaining_span, 7.2);
  const std::string query = parts.head + std::string(parts.statement) + parts.tail;
  const auto message = std::get<postgres::Message>(postgres::read_from_client(query));
  std::cout << "  " << message.body.substr(0, message.body.size() - 1) << '\n';
}

void endpoint_list(const std::string& text) {
  const reedspindle::config::NameTable names{{}, {{"a", {0}}, {"b", {1}}}, {{"m2", 1}}};
  try {
    const auto list = reedspindle::discovery::parse_endpoint_list(text, names);
    std::cout << "  "
              << (list.kind == reedspindle::EndpointListKind::complete ? "complete, revision "
                                                                       : "changes, revision ")
              << list.revision << '\n';
    const char* states[] = {"ready", "draining", "gone"};
    for (const auto& [entry, zone, endpoint] : list.servers) {
      std::cout << "  " << entry.id.address << " at " << endpoint.address().to_string() << ':'
                << endpoint.port() << ", zone " << zone << ' ' << entry.zone.number << ", kind " << entry.kind
                << ", group " << entry.group.number << ", " << states[static_cast<int>(entry.state)]
                << ", size " << entry.relative_capacity << ", started at " << entry.started_at
                << (entry.primary ? ", primary" : "") << '\n';
    }
  } catch (const std::exception& fault) {
    std::cout << "  " << fault.what() << '\n';
  }
}

// Every prefix of a message has to read as incomplete and all its bytes as the message; bytes behind it have
// to stay unread.
void truncate(const std::string& name) {
  const std::string bytes = name == "query" ? postgres::query("SELECT 1")
                            : name == "error"
                                ? postgres::error(postgres::Severity::error, "53300", "busy", "40")
                                : postgres::startup("svc", "main");
  const auto read = [&](std::string_view received) {
    return name == "startup" ? postgres::read_startup(received)
           : name == "query" ? postgres::read_from_client(received)
                             : postgres::read_from_server(received);
  };
  std::size_t partial = 0;
  while (partial < bytes.size() &&
         std::holds_alternative<postgres::Partial>(read(bytes.substr(0, partial)))) {
    ++partial;
  }
  const std::string more = bytes + "more";
  const auto complete = read(more);
  const auto* message = std::get_if<postgres::Message>(&complete);
  std::cout << "  incomplete for " << partial << " of " << bytes.size() << " prefixes, then "
            << (message && message->bytes == bytes ? "complete" : "a different message") << '\n';
  if (name != "error" || !message) {
    return;
  }
  for (std::size_t size = 0; size <= message->body.size(); ++size) {
    if (const auto fields = postgres::read_error(message->body.substr(0, size));
        fields && fields->code != "53300") {
      std::cout << "  prefix of " << size << " bytes: code " << fields->code << '\n';
    }
  }
}

// The value of a row, and how many of its prefixes read as a row with a value.
void data_row(const std::string& text) {
  std::string body = text;
  for (std::size_t at; (at = body.find("\\x")) != std::string::npos;) {
    body.replace(at, 4, 1, static_cast<char>(std::stoi(body.substr(at + 2, 2), nullptr, 16)));
  }
  std::size_t read = 0;
  for (std::size_t size = 0; size < body.size(); ++size) {
    read += postgres::read_row(body.substr(0, size)).has_value();
  }
  const auto value = postgres::read_row(body);
  std::cout << "  " << (value ? "value " + std::string(*value) : "no value")
            << ", prefixes with a value: " << read << '\n';
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
    if (word == "endpoint_list") {
      endpoint_list(rest);
    }
    if (word == "truncate") {
      truncate(rest);
    }
    if (word == "data_row") {
      data_row(rest);
    }
  }
}
