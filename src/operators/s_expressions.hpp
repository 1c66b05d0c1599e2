// The lines of the lists in a text of S-expressions, and errors that the library would not report.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "operators/file.hpp"

namespace reedspindle::operators {

// The lines of all opening parentheses, in their order: the library's tree has no positions, and its lists
// come in the same order. What the library would read in ways of its own (quotes by ', binary by #) is an
// error. Throws InvalidFile; the name is for messages.
[[nodiscard]] std::vector<int> lines_of_lists(std::string_view text, const std::string& name,
                                              const Form& form);

}  // namespace reedspindle::operators
