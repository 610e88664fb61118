#include "protocol/merge_patch.h"

#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

void collectPaths(const json &patch, const json::json_pointer &path, std::vector<std::string> &paths)
{
    if (!patch.is_object() || patch.empty()) {
        if (!path.empty()) {
            paths.push_back(path.to_string());
        }
        return;
    }
    for (const auto &[name, value] : patch.items()) {
        collectPaths(value, path / name, paths);
    }
}

}

json createMergePatch(const json &from, const json &to)
{
    json patch = json::object();
    for (const auto &[name, value] : from.items()) {
        if (!to.contains(name)) {
            patch[name] = nullptr;
        }
    }
    for (const auto &[name, value] : to.items()) {
        const auto before = from.find(name);
        if (before != from.end() && before->is_object() && value.is_object()) {
            if (json inner = createMergePatch(*before, value); !inner.empty()) {
                patch[name] = std::move(inner);
            }
        } else if (before == from.end() || *before != value) {
            patch[name] = value;
        }
    }
    return patch;
}

std::vector<std::string> changedPaths(const json &patch)
{
    std::vector<std::string> paths;
    collectPaths(patch, json::json_pointer(), paths);
    return paths;
}

}
