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
constexpr Millis kSpan = 10000;          // in which a kind may write so many lines
constexpr std::size_t kWaiting = 65536;  // what waits for a slow reader at most
constexpr std::size_t kAtomic = 4096;    // a pipe that is writable takes as much at once

bool is_control(char letter) { return static_cast<unsigned char>(letter) < ' ' || letter == 0x7f; }

// What peers sent may stand in a value: nothing in it ends a line or a value.
std::string plain(std::string_view value) {
  std::string text(value);
  std::ranges::replace_if(text, is_control, ' ');
  if (text.find_first_of(" \"=") == std::string::npos && !text.empty()) {
    return text;
  }
  std::string quoted = "\"";
  for (const char letter : text) {
    if (letter == '"' || letter == '\\') {
      quoted += '\\';
    }
    quoted += letter;
  }
  return quoted + '"';
}

// As a JSON text. What is no UTF-8 is told byte by byte as the letters of Latin-1.
std::string in_json(std::string_view value) {
  const auto follows = [&value](std::size_t at, std::size_t count) {
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
    const auto letter = static_cast<unsigned char>(value[at]);
    const std::size_t more = letter >= 0xf0 && letter < 0xf5   ? 3
                             : letter >= 0xe0 && letter < 0xf0 ? 2
                             : letter >= 0xc2 && letter < 0xe0 ? 1
                                                               : 0;
    if (letter == '"' || letter == '\\') {
      quoted += '\\', quoted += value[at];
    } else if (is_control(value[at]) || (letter >= 0x80 && (more == 0 || !follows(at, more)))) {
      quoted += fmt::format("\\u{:04x}", letter);
    } else {
      quoted.append(value.substr(at, more + 1)), at += more;
    }
  }
  return quoted + '"';
}

spdlog::level::level_enum level_of(LogLevel level) {
  constexpr spdlog::level::level_enum levels[] = {spdlog::level::debug, spdlog::level::info,
                                                  spdlog::level::warn, spdlog::level::err};
  return levels[static_cast<int>(level)];
}
}  // namespace

// Takes finished lines and holds them until standard error does.
class Log::Waiting final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  void write() {
    while (!text_.empty()) {
      pollfd out{STDERR_FILENO, POLLOUT, 0};
      if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT)) {
        return;
      }
      const ssize_t written = ::write(STDERR_FILENO, text_.data(), std::min(text_.size(), kAtomic));
      if (written <= 0) {
        return;
      }
      text_.erase(0, static_cast<std::size_t>(written));
    }
  }
  // Lines lost since it was asked last, once there is room to tell.
  int lost() { return text_.size() < kWaiting / 2 ? std::exchange(lost_, 0) : 0; }

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (text_.size() + line.size() > kWaiting) {
      return void(++lost_);
    }
    text_.append(line.data(), line.size());
  }
  void flush_() override { write(); }

  std::string text_;
  int lost_ = 0;
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
      waiting_(std::make_shared<Waiting>()),
      logger_(std::make_unique<spdlog::logger>("", waiting_)) {
  set_options({});
}

Log::~Log() { flush(); }

void Log::set_options(const LogOptions& options) {
  options_ = options;
  const char* pattern =
      options.format == LogFormat::json ? "{\"time\":%E.%e,\"level\":\"%l\",%v}" : "%E.%e %l %v";
  logger_->set_formatter(std::make_unique<spdlog::pattern_formatter>(pattern));
  logger_->set_level(level_of(options.level));
}

void Log::line(LogLevel level, std::string_view kind, std::string_view event, Fields fields) {
  if (level < options_.level) {
    return;
  }
  const Millis now = clock_.now();
  auto of = kinds_.find(kind);
  if (of == kinds_.end()) {
    of = kinds_.emplace(kind, Kind{}).first;
  }
  int left_out = 0;
  if (now - of->second.since > kSpan) {
    left_out = of->second.dropped;
    of->second = {now, 0, 0};
  }
  if (++of->second.written > options_.max_lines_per_component) {
    return void(++of->second.dropped);
  }
  const auto write = [this](LogLevel at, const std::string& text) {
    logger_->log(level_of(at), spdlog::string_view_t(text));
  };
  const auto put = [&](LogLevel at, std::string_view part, std::string_view what, Fields told, int missing) {
    write(at, options_.format == LogFormat::json ? json_of(part, what, told, missing)
                                                 : text_of(part, what, told, missing));
  };
  if (const int lost = waiting_->lost(); lost > 0) {
    put(LogLevel::warn, "log", "lines lost", {{"lines", lost}}, 0);
  }
  put(level, kind, event, fields, left_out);
}

std::string Log::text_of(std::string_view kind, std::string_view event, Fields fields, int left_out) const {
  std::string text = fmt::format("{}: {}", kind, event);
  for (const Field& field : fields) {
    text += fmt::format(" {}={}", field.name, plain(field.value));
  }
  if (left_out > 0) {
    text += fmt::format(" left_out={}", left_out);
  }
  return text;
}

std::string Log::json_of(std::string_view kind, std::string_view event, Fields fields, int left_out) const {
  std::string text = fmt::format("\"kind\":{},\"event\":{}", in_json(kind), in_json(event));
  for (const Field& field : fields) {
    const bool bare = field.number && field.value.find_first_not_of("+-.0123456789e") == std::string::npos;
    text += fmt::format(",{}:{}", in_json(field.name), bare ? field.value : in_json(field.value));
  }
  if (left_out > 0) {
    text += fmt::format(",\"left_out\":{}", left_out);
  }
  return text;
}

void Log::flush() { waiting_->write(); }

}  // namespace reedspindle::logging
