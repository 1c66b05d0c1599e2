// Finds the line numbers of lists in a text of S-expressions, and syntax errors that sfsexp does not report.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "operators/file.hpp"

namespace reedspindle::operators {

// Returns the line number of each opening parenthesis, in file order. The tree that sfsexp builds has no
// positions, but its lists are in the same order. Syntax that only sfsexp gives a meaning (quoting with ',
// binary data with #) is an error. Throws InvalidFile. `name` is the file name used in messages.
[[nodiscard]] std::vector<int> lines_of_lists(std::string_view text, const std::string& name,
                                              const Form& form);

}  // namespace reedspindle::operators
