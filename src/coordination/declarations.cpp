#include "coordination/declarations.h"

#include "protocol/errors.h"
#include "protocol/merge_patch.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <set>
#include <vector>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 7> sectionNames = {"organisations", "keys", "routes", "groups", "endpoints", "failure_domains", "cells"};

absl::Status readError(const std::string &message)
{
    return makeError(absl::StatusCode::kInvalidArgument, "read declarations", "local", message);
}

/// Parser callback that finds the first field declared twice in one object; the parser itself silently keeps only one of them.
class duplicate_finder
{
public:
    bool operator()(int, json::parse_event_t event, json &parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
            m_names.emplace_back();
            break;
        case json::parse_event_t::object_end:
            m_names.pop_back();
            break;
        case json::parse_event_t::key:
            if (const std::string name = parsed; !m_names.back().insert(name).second && firstDuplicate.empty()) {
                firstDuplicate = name;
            }
            break;
        default:
            break;
        }
        return true;
    }

    std::string firstDuplicate;

private:
    std::vector<std::set<std::string>> m_names; ///< Fields seen so far in each object that is still open, outermost first.
};

/// Merges `source` into `target`. Returns the JSON pointer of the first field that both declare, or an empty string.
std::string mergeDeclarations(json &target, const json &source, const json::json_pointer &path)
{
    if (!target.is_object() || !source.is_object()) {
        return path.to_string();
    }
    for (const auto &[name, value] : source.items()) {
        if (!target.contains(name)) {
            target[name] = value;
        } else if (std::string conflict = mergeDeclarations(target[name], value, path / name); !conflict.empty()) {
            return conflict;
        }
    }
    // Two declarations of one empty object are the same declaration.
    return {};
}

absl::StatusOr<std::vector<std::filesystem::path>> listFiles(const std::string &directory)
{
    std::error_code error;
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(directory, error)) {
        if (entry.path().extension() == ".json") {
            files.push_back(entry.path());
        }
    }
    if (error) {
        return readError(directory + ": " + error.message());
    }
    if (files.empty()) {
        return readError(directory + " contains no .json file");
    }
    std::ranges::sort(files);
    return files;
}

}

absl::StatusOr<json> readJsonFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return readError(path + ": cannot open the file");
    }
    duplicate_finder duplicates;
    json document;
    try {
        document = json::parse(file, std::ref(duplicates));
    } catch (const json::exception &error) {
        return readError(path + ": " + error.what());
    }
    if (!duplicates.firstDuplicate.empty()) {
        return readError(path + ": field \"" + duplicates.firstDuplicate + "\" is declared twice in one object");
    }
    return document;
}

absl::StatusOr<json> readDeclarations(const std::string &directory)
{
    const auto files = listFiles(directory);
    if (!files.ok()) {
        return files.status();
    }
    json document = json::object();
    for (const auto &path : *files) {
        auto content = readJsonFile(path.string());
        if (!content.ok()) {
            return content.status();
        }
        const std::string name = path.stem().string();
        const json fileContent = std::ranges::find(sectionNames, name) != sectionNames.end() ? json({{name, *std::move(content)}}) : *std::move(content);
        if (!fileContent.is_object()) {
            return readError(path.string() + " must contain a JSON object");
        }
        if (const std::string conflict = mergeDeclarations(document, fileContent, json::json_pointer()); !conflict.empty()) {
            return readError(path.string() + ": " + conflict + " is already declared in another file");
        }
    }
    return document;
}

json declarationPatch(const json &current, json declared)
{
    if (!declared.contains("keys") && current.contains("keys")) {
        declared["keys"] = current["keys"];
    }
    return createMergePatch(current, declared);
}

}
