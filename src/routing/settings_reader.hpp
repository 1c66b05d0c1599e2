// Reads settings by name.
#pragma once

#include <string>
#include <variant>

#include "routing/router.hpp"

namespace reedspindle {

// Typed look-up of settings by name, with defaults.
class SettingsReader {
 public:
  explicit SettingsReader(const Settings& settings) : settings_(settings) {}

  [[nodiscard]] double number(const std::string& name, double otherwise = 0) const {
    return value(name, otherwise);
  }
  [[nodiscard]] bool flag(const std::string& name) const { return number(name) > 0; }
  [[nodiscard]] std::string word(const std::string& name, const std::string& otherwise) const {
    return value(name, otherwise);
  }

 private:
  template <typename T>
  [[nodiscard]] T value(const std::string& name, const T& otherwise) const {
    const auto found = settings_.find(name);
    if (found == settings_.end()) {
      return otherwise;
    }
    const T* const stated = std::get_if<T>(&found->second);
    return stated ? *stated : otherwise;
  }

  const Settings& settings_;
};

}  // namespace reedspindle
