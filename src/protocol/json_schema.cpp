#include "protocol/json_schema.h"

#include "protocol/errors.h"

#include <nlohmann/json.hpp>
#include <string>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace lacewinglock
{

namespace
{

using valijson::adapters::NlohmannJsonAdapter;

/// Converts valijson's context ("<root>", "[organisations]", "[a]") into a JSON pointer.
std::string pointerFromContext(const std::vector<std::string> &context)
{
    nlohmann::json::json_pointer pointer;
    for (const auto &step : context) {
        if (step.size() >= 2 && step.front() == '[') {
            pointer /= step.substr(1, step.size() - 2);
        }
    }
    return pointer.to_string();
}

/// Rewords the messages that concern a child of the reported node, so that the pointer names the child itself.
absl::Status toFieldError(const valijson::ValidationResults::Error &error, std::string_view step)
{
    const std::string pointer = pointerFromContext(error.context);
    const std::string &text = error.description;
    const auto last = text.rfind('\'');
    const auto first = last == std::string::npos ? last : text.rfind('\'', last - 1);
    const std::string name = first == std::string::npos ? "" : text.substr(first + 1, last - first - 1);
    const std::string child = (nlohmann::json::json_pointer(pointer) / name).to_string();
    if (text.starts_with("Object contains a property that could not be validated")) {
        return fieldError(step, child, "unknown field");
    }
    if (text.starts_with("Missing required property")) {
        return fieldError(step, child, "required field is missing");
    }
    if (text.starts_with("Failed to validate against schema associated with property name")) {
        // This is the most specific error of valijson only when `propertyNames` rejects a name.
        return fieldError(step, child, "has an entry whose name is not 1 to 128 letters, digits, '-', '_' and '.'");
    }
    return fieldError(step, pointer, text);
}

}

absl::Status fieldError(std::string_view step, std::string_view pointer, std::string_view message)
{
    const std::string where(pointer.empty() ? "/" : pointer);
    return makeError(absl::StatusCode::kInvalidArgument, step, "local", where + ": " + std::string(message));
}

struct json_schema::compiled_schema
{
    valijson::Schema schema;
};

json_schema::json_schema(std::string_view text)
{
    auto target = std::make_unique<compiled_schema>();
    const auto document = nlohmann::json::parse(text);
    valijson::SchemaParser(valijson::SchemaParser::kDraft7).populateSchema(NlohmannJsonAdapter(document), target->schema);
    m_compiled = std::move(target);
}

json_schema::~json_schema() = default;

absl::Status json_schema::check(const nlohmann::json &document, std::string_view step) const
{
    // The first pass collects no errors and stops at the first one, because documents are usually valid and this is cheaper.
    valijson::Validator validator;
    if (validator.validate(m_compiled->schema, NlohmannJsonAdapter(document), nullptr)) {
        return absl::OkStatus();
    }
    valijson::ValidationResults results;
    validator.validate(m_compiled->schema, NlohmannJsonAdapter(document), &results);
    valijson::ValidationResults::Error error;
    if (!results.popError(error)) {
        return fieldError(step, "", "does not match the schema");
    }
    return toFieldError(error, step);
}

}
