// Structured logging of all programs: lines as text or JSON to standard error, through spdlog. Logging never
// blocks: lines that standard error does not accept wait in a bounded buffer, and lines beyond its size are
// dropped and counted. The rate of lines per component is limited, so that a repeating fault does not flood
// the log.
#pragma once

#include <fmt/format.h>

#include <cmath>
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

// Formats a value of a log line. The sign of a NaN depends on the processor, and is left out.
template <typename T>
std::string format_value(const T& value) {
  if constexpr (std::is_floating_point_v<T>) {
    if (std::isnan(value)) {
      return "nan";
    }
  }
  return fmt::format("{}", value);
}

// A named value of a log line, such as "server", "group", "peer" or "error".
struct Field {
  template <typename T>
  Field(std::string_view field_name, const T& field_value)
      : name(field_name), value(format_value(field_value)), is_number(std::is_arithmetic_v<T>) {}
  std::string_view name;
  std::string value;
  bool is_number;
};

enum class LogFormat { text, json };
enum class LogLevel { debug, info, warn, error };
struct LogOptions {
  LogFormat format = LogFormat::text;
  LogLevel level = LogLevel::info;
  // Per ten seconds: enough to recognize a fault and to see that it goes on.
  int max_lines_per_component = 5;
};
// Reads the options from the log section of the operators' file, which must be complete and checked.
LogOptions parse_log_options(const nlohmann::json& log);

class Log {
 public:
  using Fields = std::initializer_list<Field>;

  explicit Log(const net::Clock& clock);
  ~Log();
  Log(const Log&) = delete;

  // Applies to all later lines.
  void set_options(const LogOptions& options);

  // Each writes one line. The component is the part of the program that logs, the event a short phrase that
  // says what happened.
  void debug(std::string_view component, std::string_view event, Fields fields = {}) {
    write(LogLevel::debug, component, event, fields);
  }
  void info(std::string_view component, std::string_view event, Fields fields = {}) {
    write(LogLevel::info, component, event, fields);
  }
  void warn(std::string_view component, std::string_view event, Fields fields = {}) {
    write(LogLevel::warn, component, event, fields);
  }
  void error(std::string_view component, std::string_view event, Fields fields = {}) {
    write(LogLevel::error, component, event, fields);
  }

  // Returns whether lines of this level are written. Callers check it where the fields are costly to compute.
  [[nodiscard]] bool enabled(LogLevel level) const { return level >= options_.level; }

  // Writes as much of the buffer as standard error accepts without blocking.
  void flush();

 private:
  class BufferedSink;  // spdlog's sink

  void write(LogLevel level, std::string_view component, std::string_view event, Fields fields);
  [[nodiscard]] std::string format_text(std::string_view component, std::string_view event, Fields fields,
                                        int suppressed) const;
  [[nodiscard]] std::string format_json(std::string_view component, std::string_view event, Fields fields,
                                        int suppressed) const;

  // Lines of a component in the current span of ten seconds.
  struct Component {
    Millis since = 0;
    int written = 0, suppressed = 0;
  };
  const net::Clock& clock_;
  LogOptions options_;
  std::map<std::string, Component, std::less<>> components_;
  std::shared_ptr<BufferedSink> sink_;
  std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace reedspindle::logging
