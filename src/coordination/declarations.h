#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

/// Reads all *.json files of a directory as parts of one document. A file named after a section (organisations.json) holds that section, any
/// other file holds an object of sections. Two files that declare the same field are an error.
absl::StatusOr<nlohmann::json> readDeclarations(const std::string &directory);

/// Reads one JSON file; duplicate fields in an object are an error, because one of them would be lost.
absl::StatusOr<nlohmann::json> readJsonFile(const std::string &path);

/// The patch from the current to the declared document. Keys that operators created stay unless the declarations have `keys`.
nlohmann::json declarationPatch(const nlohmann::json &current, nlohmann::json declared);

}
