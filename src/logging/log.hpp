// The log of all programs: structured lines to standard error through spdlog, as text or as JSON. It never
// blocks: what standard error does not take waits in a bounded text, and lines beyond it are counted. Each
// kind of line is limited in number, so that a fault that repeats does not flood it.
#pragma once

#include <fmt/format.h>

#include <initializer_list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <type_traits>

#include "net/clock.hpp"

namespace spdlog {
class logger;
}

namespace reedspindle::logging {

// What a line tells of: "member", "group", "version", "peer", "why", ...
struct Field {
  template <typename T>
  Field(std::string_view of, const T& told)
      : name(of), value(fmt::format("{}", told)), number(std::is_arithmetic_v<T>) {}
  std::string_view name;
  std::string value;
  bool number;
};

enum class LogFormat { text, json };
enum class LogLevel { debug, info, warn, error };
struct LogOptions {
  LogFormat format = LogFormat::text;
  LogLevel level = LogLevel::info;
  int max_lines_per_component = 5;  // in ten seconds: enough to see what it is and that it goes on
};
// Of the operators' file, complete and checked.
LogOptions parse_log_options(const nlohmann::json& log);

class Log {
 public:
  using Fields = std::initializer_list<Field>;

  explicit Log(const net::Clock& clock);
  ~Log();
  Log(const Log&) = delete;

  // From now on.
  void set_options(const LogOptions& options);

  // The kind says what part of the program speaks, the event what happened, in one word or two.
  void debug(std::string_view kind, std::string_view event, Fields fields = {}) {
    line(LogLevel::debug, kind, event, fields);
  }
  void info(std::string_view kind, std::string_view event, Fields fields = {}) {
    line(LogLevel::info, kind, event, fields);
  }
  void warn(std::string_view kind, std::string_view event, Fields fields = {}) {
    line(LogLevel::warn, kind, event, fields);
  }
  void error(std::string_view kind, std::string_view event, Fields fields = {}) {
    line(LogLevel::error, kind, event, fields);
  }

  // Whether lines of this level are written: for those whose fields cost something to make.
  [[nodiscard]] bool enabled(LogLevel level) const { return level >= options_.level; }

  // Writes what standard error takes now.
  void flush();

 private:
  class Waiting;  // spdlog's sink

  void line(LogLevel level, std::string_view kind, std::string_view event, Fields fields);
  [[nodiscard]] std::string text_of(std::string_view kind, std::string_view event, Fields fields,
                                    int left_out) const;
  [[nodiscard]] std::string json_of(std::string_view kind, std::string_view event, Fields fields,
                                    int left_out) const;

  struct Kind {
    Millis since = 0;
    int written = 0, dropped = 0;
  };
  const net::Clock& clock_;
  LogOptions options_;
  std::map<std::string, Kind, std::less<>> kinds_;
  std::shared_ptr<Waiting> waiting_;
  std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace reedspindle::logging
