#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

/// Reads all *.json files of a directory and merges them into one configuration document. A file named after a section (organisations.json)
/// holds that section; any other file holds an object of sections. Returns InvalidArgument when two files declare the same field.
absl::StatusOr<nlohmann::json> readDeclarations(const std::string &directory);

/// Reads one JSON file. Duplicate fields in an object are an error, because the parser would silently drop one of them.
absl::StatusOr<nlohmann::json> readJsonFile(const std::string &path);

/// Returns the merge patch from the current to the declared document. API keys that operators created stay unless the declarations contain
/// `keys`.
nlohmann::json declarationPatch(const nlohmann::json &current, nlohmann::json declared);

}
