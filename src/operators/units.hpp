// The text forms of single values in the operators' file: numbers, times, sizes and addresses.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace reedspindle::operators {

// A finite decimal number that is the whole text; empty otherwise.
[[nodiscard]] std::optional<double> parse_number(std::string_view text);
// A time such as 500ms, 2s, 1m or 1h, in ms; empty otherwise.
[[nodiscard]] std::optional<double> parse_time(std::string_view text);
// A size such as 64KiB, 32MiB, 1GiB or 10B, in bytes; empty otherwise.
[[nodiscard]] std::optional<double> parse_size(std::string_view text);
// Whether the text is an address and a port, such as 127.0.0.1:18000.
[[nodiscard]] bool is_address(std::string_view text);

// A value as the file would state it; unit is the schema's: "time", "size" or empty.
[[nodiscard]] std::string format_value(const nlohmann::json& value, const std::string& unit);

}  // namespace reedspindle::operators
