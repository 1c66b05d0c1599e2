#include "operators/check.hpp"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace reedspindle::operators {

std::vector<Mismatch> mismatches(const nlohmann::json& schema, const nlohmann::json& values) {
  valijson::Schema compiled;
  valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schema), compiled);
  valijson::ValidationResults results;
  valijson::Validator().validate(compiled, valijson::adapters::NlohmannJsonAdapter(values), &results);
  std::vector<Mismatch> found;
  for (valijson::ValidationResults::Error error; results.popError(error);) {
    found.push_back({error.context, error.description});
  }
  return found;
}

}  // namespace reedspindle::operators
