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

constexpr std::array<std::string_view, 7> sections = {"organisations", "keys", "routes", "groups", "endpoints", "failure_domains", "cells"};

absl::Status readError(const std::string &message)
{
    return makeError(absl::StatusCode::kInvalidArgument, "read declarations", "local", message);
}

/// Finds the first field that an object declares twice, which the parser would resolve silently.
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
            if (const std::string name = parsed; !m_names.back().insert(name).second && first.empty()) {
                first = name;
            }
            break;
        default:
            break;
        }
        return true;
    }

    std::string first;

private:
    std::vector<std::set<std::string>> m_names;
};

/// Adds a part to a document; returns the pointer of the first field that both declare, or an empty string.
std::string addPart(json &target, const json &part, const json::json_pointer &path)
{
    if (!target.is_object() || !part.is_object()) {
        return path.to_string();
    }
    for (const auto &[name, value] : part.items()) {
        if (!target.contains(name)) {
            target[name] = value;
        } else if (std::string conflict = addPart(target[name], value, path / name); !conflict.empty()) {
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
        return readError(directory + " has no .json file");
    }
    std::ranges::sort(files);
    return files;
}

}

absl::StatusOr<json> readJsonFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return readError(path + " cannot be opened");
    }
    duplicate_finder duplicates;
    json document;
    try {
        document = json::parse(file, std::ref(duplicates));
    } catch (const json::exception &error) {
        return readError(path + ": " + error.what());
    }
    if (!duplicates.first.empty()) {
        return readError(path + ": field \"" + duplicates.first + "\" is declared twice in one object");
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
        const json part = std::ranges::find(sections, name) != sections.end() ? json({{name, *std::move(content)}}) : *std::move(content);
        if (!part.is_object()) {
            return readError(path.string() + " must hold a JSON object");
        }
        if (const std::string conflict = addPart(document, part, json::json_pointer()); !conflict.empty()) {
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
    return mergePatchBetween(current, declared);
}

}
