// The log: one line each to standard error. It never blocks: what standard error does not take waits in a
// bounded text, and lines beyond it are counted. Each kind of line is limited in number, so that a fault that
// repeats does not flood it.
#pragma once

#include <fmt/format.h>

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "links/clock.hpp"

namespace reedspindle::links {

class Log {
 public:
  explicit Log(const Clock& clock) : clock_(clock) {}
  ~Log() { flush(); }
  Log(const Log&) = delete;

  template <typename... T>
  void info(std::string_view kind, fmt::format_string<T...> format, T&&... values) {
    line("info", kind, fmt::format(format, std::forward<T>(values)...));
  }
  template <typename... T>
  void warn(std::string_view kind, fmt::format_string<T...> format, T&&... values) {
    line("warn", kind, fmt::format(format, std::forward<T>(values)...));
  }

  // Writes what standard error takes now.
  void flush();

 private:
  void line(std::string_view level, std::string_view kind, std::string text);

  struct Kind {
    Millis since = 0;
    int written = 0, dropped = 0;
  };
  const Clock& clock_;
  std::map<std::string, Kind, std::less<>> kinds_;
  std::string waiting_;
  int lost_ = 0;
};

}  // namespace reedspindle::links
