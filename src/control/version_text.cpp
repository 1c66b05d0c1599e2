#include "control/version_text.hpp"

#include <fmt/format.h>

#include <charconv>

namespace reedspindle::control {
namespace {

// Reads "<letter><number>." at `at` and moves past it; false where the text has another form.
template <typename Number>
bool read_part(const char*& at, const char* end, char letter, Number& number) {
  if (at == end || *at++ != letter) {
    return false;
  }
  const auto [next, fault] = std::from_chars(at, end, number);
  if (fault != std::errc() || next == end || *next != '.') {
    return false;
  }
  at = next + 1;
  return true;
}

}  // namespace

std::string text_of(const Version& version) {
  return fmt::format("r{}.e{}.c{}.{}", version.revision, version.epoch, version.change, version.service);
}

std::optional<Version> parse_version(const std::string& text) {
  Version version;
  const char* at = text.data();
  const char* const end = at + text.size();
  if (!read_part(at, end, 'r', version.revision) || !read_part(at, end, 'e', version.epoch) ||
      !read_part(at, end, 'c', version.change)) {
    return std::nullopt;
  }
  if (at == end || version.revision < 0) {
    return std::nullopt;
  }
  version.service.assign(at, end);
  return version;
}

std::string resource_version_text(const Resource& resource, std::uint64_t epoch, const std::string& service) {
  return text_of({resource.revision, epoch, resource.version, service});
}

}  // namespace reedspindle::control
