#pragma once

#include <absl/status/status.h>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace lacewinglock
{

/// A compiled JSON Schema (draft 7). `check` is thread-safe and names the first wrong field by its JSON pointer.
class json_schema
{
public:
    explicit json_schema(std::string_view text);
    ~json_schema();
    json_schema(const json_schema &) = delete;
    json_schema &operator=(const json_schema &) = delete;

    absl::Status check(const nlohmann::json &document, std::string_view step) const;

private:
    struct compiled;
    std::unique_ptr<const compiled> m_compiled;
};

/// An error of a document: names the step and the JSON pointer of the field.
absl::Status fieldError(std::string_view step, std::string_view pointer, std::string_view message);

}
