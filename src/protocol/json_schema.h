#pragma once

#include <absl/status/status.h>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace lacewinglock
{

/// A compiled JSON Schema (draft 7). Thread-safe after construction.
class json_schema
{
public:
    /// Compiles the schema. Throws when the text is not a valid schema.
    explicit json_schema(std::string_view text);
    ~json_schema();
    json_schema(const json_schema &) = delete;
    json_schema &operator=(const json_schema &) = delete;

    /// Returns InvalidArgument with the step and the JSON pointer of the first invalid field when the document does not match.
    absl::Status check(const nlohmann::json &document, std::string_view step) const;

private:
    struct compiled_schema;
    std::unique_ptr<const compiled_schema> m_compiled;
};

/// Makes an InvalidArgument error with the step and the JSON pointer of the invalid field.
absl::Status fieldError(std::string_view step, std::string_view pointer, std::string_view message);

}
