// Converts a tree of S-expressions to JSON and validates it against the schema.
#pragma once

#include <string>
#include <vector>

#include "operators/file.hpp"

struct elt;  // sfsexp's sexp_t

namespace reedspindle::operators {

// Returns the values of the file, completed with the schema's defaults. `lines` holds the line number of each
// list, in file order. Throws InvalidFile with all errors of the file. `name` is the file name used in
// messages.
[[nodiscard]] File read_tree(const elt* tree, const std::string& name, std::vector<int> lines,
                             const Form& form);

}  // namespace reedspindle::operators
