// Turns a tree of S-expressions into the JSON that the schema describes, and checks it.
#pragma once

#include <string>
#include <vector>

#include "operators/file.hpp"

struct elt;  // sfsexp's sexp_t

namespace reedspindle::operators {

// The values of the file with the schema's defaults. `lines`: of all lists, in their order. Throws
// InvalidFile with all errors of the file; the name is for messages.
[[nodiscard]] File read_tree(const elt* tree, const std::string& name, std::vector<int> lines,
                             const Form& form);

}  // namespace reedspindle::operators
