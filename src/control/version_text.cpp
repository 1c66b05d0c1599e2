#include "control/version_text.hpp"

#include <fmt/format.h>

#include <charconv>

namespace reedspindle::control {
namespace {

// Parses "<letter><number>." at the position and moves the position past it. Returns false if the text has
// another form.
template <typename Number>
bool parse_component(const char*& position, const char* end, char letter, Number& number) {
  if (position == end || *position++ != letter) {
    return false;
  }
  const auto [next, error] = std::from_chars(position, end, number);
  if (error != std::errc() || next == end || *next != '.') {
    return false;
  }
  position = next + 1;
  return true;
}

}  // namespace

std::string text_of(const Version& version) {
  return fmt::format("r{}.e{}.c{}.{}", version.revision, version.epoch, version.change, version.service);
}

std::optional<Version> parse_version(const std::string& text) {
  Version version;
  const char* position = text.data();
  const char* const end = position + text.size();
  if (!parse_component(position, end, 'r', version.revision) ||
      !parse_component(position, end, 'e', version.epoch) ||
      !parse_component(position, end, 'c', version.change)) {
    return std::nullopt;
  }
  if (position == end || version.revision < 0) {
    return std::nullopt;
  }
  version.service.assign(position, end);
  return version;
}

std::string resource_version_text(const Resource& resource, std::uint64_t epoch, const std::string& service) {
  return text_of({resource.revision, epoch, resource.version, service});
}

}  // namespace reedspindle::control
