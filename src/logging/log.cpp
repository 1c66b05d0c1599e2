#include "logging/log.hpp"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace reedspindle::logging {
namespace {
// Length of the span in which the lines of a component are limited.
constexpr Millis kRateLimitSpan = 10000;
// Maximum number of bytes that wait for a slow reader.
constexpr std::size_t kMaxBufferBytes = 65536;
// A pipe that is writable accepts this many bytes without blocking.
constexpr std::size_t kMaxWriteBytes = 4096;

bool is_control(char character) { return static_cast<unsigned char>(character) < ' ' || character == 0x7f; }

// Formats a value of a text line. It may have come from the network: control characters are replaced and
// quotes escaped, so that it can end neither the line nor the value.
std::string quote_text(std::string_view value) {
  std::string text(value);
  std::ranges::replace_if(text, is_control, ' ');
  if (text.find_first_of(" \"=") == std::string::npos && !text.empty()) {
    return text;
  }
  std::string quoted = "\"";
  for (const char character : text) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    quoted += character;
  }
  return quoted + '"';
}

// Formats a JSON string. Bytes that are not valid UTF-8 are written as the Latin-1 characters with their
// codes.
std::string quote_json(std::string_view value) {
  const auto continues = [&value](std::size_t at, std::size_t count) {
    if (at + count >= value.size()) {
      return false;
    }
    for (std::size_t i = 1; i <= count; ++i) {
      if ((static_cast<unsigned char>(value[at + i]) & 0xc0) != 0x80) {
        return false;
      }
    }
    return true;
  };
  std::string quoted = "\"";
  for (std::size_t at = 0; at < value.size(); ++at) {
    const auto character = static_cast<unsigned char>(value[at]);
    const std::size_t continuation = character >= 0xf0 && character < 0xf5   ? 3
                                     : character >= 0xe0 && character < 0xf0 ? 2
                                     : character >= 0xc2 && character < 0xe0 ? 1
                                                                             : 0;
    if (character == '"' || character == '\\') {
      quoted += '\\', quoted += value[at];
    } else if (is_control(value[at]) ||
               (character >= 0x80 && (continuation == 0 || !continues(at, continuation)))) {
      quoted += fmt::format("\\u{:04x}", character);
    } else {
      quoted.append(value.substr(at, continuation + 1)), at += continuation;
    }
  }
  return quoted + '"';
}

spdlog::level::level_enum spdlog_level(LogLevel level) {
  constexpr spdlog::level::level_enum levels[] = {spdlog::level::debug, spdlog::level::info,
                                                  spdlog::level::warn, spdlog::level::err};
  return levels[static_cast<int>(level)];
}
}  // namespace

// Holds formatted lines until standard error accepts them.
class Log::BufferedSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  void write() {
    while (!text_.empty()) {
      pollfd out{STDERR_FILENO, POLLOUT, 0};
      if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT)) {
        return;
      }
      const ssize_t written = ::write(STDERR_FILENO, text_.data(), std::min(text_.size(), kMaxWriteBytes));
      if (written <= 0) {
        return;
      }
      text_.erase(0, static_cast<std::size_t>(written));
    }
  }
  // Returns the number of lines dropped since the last call; 0 as long as the buffer is at least half full.
  int take_dropped() { return text_.size() < kMaxBufferBytes / 2 ? std::exchange(dropped_, 0) : 0; }

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (text_.size() + line.size() > kMaxBufferBytes) {
      return void(++dropped_);
    }
    text_.append(line.data(), line.size());
  }
  void flush_() override { write(); }

  std::string text_;
  int dropped_ = 0;
};

LogOptions parse_log_options(const nlohmann::json& log) {
  const std::string level = log["level"];
  return {log["form"] == "json" ? LogFormat::json : LogFormat::text,
          level == "debug"  ? LogLevel::debug
          : level == "info" ? LogLevel::info
          : level == "warn" ? LogLevel::warn
                            : LogLevel::error,
          log["lines-of-a-kind"]};
}

Log::Log(const net::Clock& clock)
    : clock_(clock),
      sink_(std::make_shared<BufferedSink>()),
      logger_(std::make_unique<spdlog::logger>("", sink_)) {
  set_options({});
}

Log::~Log() { flush(); }

void Log::set_options(const LogOptions& options) {
  options_ = options;
  const char* pattern =
      options.format == LogFormat::json ? "{\"time\":%E.%e,\"level\":\"%l\",%v}" : "%E.%e %l %v";
  logger_->set_formatter(std::make_unique<spdlog::pattern_formatter>(pattern));
  logger_->set_level(spdlog_level(options.level));
}

void Log::write(LogLevel level, std::string_view component, std::string_view event, Fields fields) {
  if (level < options_.level) {
    return;
  }
  const Millis now = clock_.now();
  auto found = components_.find(component);
  if (found == components_.end()) {
    found = components_.emplace(component, Component{}).first;
  }
  int suppressed = 0;
  if (now - found->second.since > kRateLimitSpan) {
    suppressed = found->second.suppressed;
    found->second = {now, 0, 0};
  }
  if (++found->second.written > options_.max_lines_per_component) {
    return void(++found->second.suppressed);
  }
  const auto write_line = [this](LogLevel at, const std::string& text) {
    logger_->log(spdlog_level(at), spdlog::string_view_t(text));
  };
  const auto format_and_write = [&](LogLevel line_level, std::string_view line_component,
                                    std::string_view line_event, Fields line_fields, int line_suppressed) {
    write_line(line_level, options_.format == LogFormat::json
                               ? format_json(line_component, line_event, line_fields, line_suppressed)
                               : format_text(line_component, line_event, line_fields, line_suppressed));
  };
  if (const int dropped = sink_->take_dropped(); dropped > 0) {
    format_and_write(LogLevel::warn, "log", "lines dropped", {{"lines", dropped}}, 0);
  }
  format_and_write(level, component, event, fields, suppressed);
}

std::string Log::format_text(std::string_view component, std::string_view event, Fields fields,
                             int suppressed) const {
  std::string text = fmt::format("{}: {}", component, event);
  for (const Field& field : fields) {
    text += fmt::format(" {}={}", field.name, quote_text(field.value));
  }
  if (suppressed > 0) {
    text += fmt::format(" suppressed={}", suppressed);
  }
  return text;
}

std::string Log::format_json(std::string_view component, std::string_view event, Fields fields,
                             int suppressed) const {
  std::string text = fmt::format("\"component\":{},\"event\":{}", quote_json(component), quote_json(event));
  for (const Field& field : fields) {
    const bool unquoted =
        field.is_number && field.value.find_first_not_of("+-.0123456789e") == std::string::npos;
    text += fmt::format(",{}:{}", quote_json(field.name), unquoted ? field.value : quote_json(field.value));
  }
  if (suppressed > 0) {
    text += fmt::format(",\"suppressed\":{}", suppressed);
  }
  return text;
}

void Log::flush() { sink_->write(); }

}  // namespace reedspindle::logging
