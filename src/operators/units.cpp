#include "operators/units.hpp"

#include <fmt/format.h>

#include <charconv>
#include <cmath>

namespace reedspindle::operators {
namespace {

struct Unit {
  std::string_view suffix;
  double factor;
};
constexpr Unit kTimes[] = {{"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}};
constexpr Unit kSizes[] = {{"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}, {"B", 1}};

template <std::size_t N>
std::optional<double> parse_with_unit(std::string_view text, const Unit (&units)[N]) {
  for (const Unit& unit : units) {
    if (text.ends_with(unit.suffix)) {
      if (const auto value = parse_number(text.substr(0, text.size() - unit.suffix.size()))) {
        return *value * unit.factor;
      }
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

std::optional<double> parse_time(std::string_view text) { return parse_with_unit(text, kTimes); }
std::optional<double> parse_size(std::string_view text) { return parse_with_unit(text, kSizes); }

bool is_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  const auto port = parse_number(text.substr(colon + 1));
  return port && *port >= 0 && *port <= 65535 && *port == std::floor(*port);
}

std::string format_value(const nlohmann::json& value, const std::string& unit) {
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (value.is_string()) {
    return value.dump();
  }
  if (unit == "time") {
    return fmt::format("{}ms", value.get<double>());
  }
  if (unit == "size") {
    return fmt::format("{}B", value.get<double>());
  }
  return value.dump();
}

}  // namespace reedspindle::operators
