#include "links/log.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace reedspindle::links {
namespace {
constexpr Millis kSpan = 10000;          // in which a kind may write so many lines
constexpr int kLinesPerSpan = 5;         // enough to see what it is and that it goes on
constexpr std::size_t kWaiting = 65536;  // what waits for a slow reader at most
constexpr std::size_t kAtomic = 4096;    // a pipe that is writable takes as much at once
}  // namespace

void Log::line(std::string_view level, std::string_view kind, std::string text) {
  const Millis now = clock_.now();
  Kind& of = kinds_.try_emplace(std::string(kind)).first->second;
  if (now - of.since > kSpan) {
    if (of.dropped > 0) text += fmt::format(" ({} such lines left out)", of.dropped);
    of = {now, 0, 0};
  }
  if (++of.written > kLinesPerSpan) return void(++of.dropped);
  for (char& letter : text)
    if (static_cast<unsigned char>(letter) < ' ') letter = ' ';
  if (waiting_.size() + text.size() > kWaiting) return void(++lost_);
  if (lost_ > 0)
    waiting_ += fmt::format("{:.3f} warn log: {} lines lost\n", now / 1000, std::exchange(lost_, 0));
  waiting_ += fmt::format("{:.3f} {} {}: {}\n", now / 1000, level, kind, text);
}

void Log::flush() {
  while (!waiting_.empty()) {
    pollfd out{STDERR_FILENO, POLLOUT, 0};
    if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT)) return;
    const ssize_t written = write(STDERR_FILENO, waiting_.data(), std::min(waiting_.size(), kAtomic));
    if (written <= 0) return;
    waiting_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace reedspindle::links
