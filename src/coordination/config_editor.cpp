#include "coordination/config_editor.h"

#include "protocol/api_keys.h"
#include "protocol/errors.h"
#include "protocol/merge_patch.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

constexpr std::size_t nonceBytes = 12;
/// Rounds of reading back and committing again after an unknown answer. Each round may wait for two timeouts of the table service.
constexpr int resolveRounds = 3;
/// Newest versions whose changes a conflict lists; it bounds the reads that one rejected patch causes.
constexpr std::uint64_t maxConflictVersions = 100;

edit_result failed(edit_outcome outcome, std::string_view message)
{
    return {.outcome = outcome, .message = std::string(message)};
}

/// Keeps "invalid" apart from "unavailable" when reading fails.
edit_result unavailable(const absl::Status &status)
{
    return failed(edit_outcome::Unavailable, std::string(status.message()) + "; nothing was changed");
}

/// The version is part of the nonce, so that a later question needs nothing else.
std::string makeNonce(std::uint64_t version)
{
    return std::to_string(version) + "-" + randomHex(nonceBytes);
}

std::uint64_t versionOfNonce(std::string_view nonce)
{
    std::uint64_t version = 0;
    std::from_chars(nonce.data(), nonce.data() + nonce.size(), version);
    return version;
}

edit_result storedOrReplaced(const config_patch_row &found, const std::string &nonce)
{
    if (found.nonce == nonce) {
        return {.outcome = edit_outcome::Stored, .version = versionOfNonce(nonce), .nonce = nonce};
    }
    return {.outcome = edit_outcome::Conflict, .version = versionOfNonce(nonce), .nonce = nonce, .message = "another patch took this version"};
}

}

config_store_calls storeCalls(table_store &store)
{
    return {
        .read =
            [&store](std::string_view key) {
                return store.read(key);
            },
        .commit =
            [&store](const transaction &change) {
                return store.commit(change);
            },
    };
}

config_editor::config_editor(config_store_calls calls, const config_holder &holder)
    : m_calls(std::move(calls))
    , m_holder(holder)
{
}

edit_result config_editor::apply(const config_edit &edit) const
{
    if (!edit.patch.is_object()) {
        return failed(edit_outcome::Invalid, "the patch must be a JSON object");
    }
    const auto base = load();
    if (!base.ok()) {
        return unavailable(base.status());
    }
    if (edit.baseVersion != base->version) {
        return conflict(edit.baseVersion);
    }
    return commit(edit, *base);
}

edit_result config_editor::commit(const config_edit &edit, const stored_document &base) const
{
    // 1. Merge and check, before anything is written.
    json document = base.document;
    document.merge_patch(edit.patch);
    if (document == base.document) {
        return {.outcome = edit_outcome::Stored, .version = base.version, .message = "the patch changes nothing"};
    }
    const std::uint64_t version = base.version + 1;
    if (const auto parsed = parseConfiguration(document, version); !parsed.ok()) {
        return failed(edit_outcome::Invalid, std::string(parsed.status().message()));
    }
    // 2. Commit head and patch together.
    const std::string nonce = makeNonce(version);
    const std::string patchKey = configPatchKey(version);
    const transaction change{
        .conditions = {{.key = configHeadKey, .version = base.headRowVersion}, {.key = patchKey, .version = 0}},
        .writes = {{.key = configHeadKey, .value = formatConfigHead(version, nonce)},
                   {.key = patchKey, .value = formatConfigPatch({.patch = edit.patch, .author = edit.author, .nonce = nonce})}},
    };
    switch (m_calls.commit(change)) {
    case commit_outcome::Committed:
        return {.outcome = edit_outcome::Stored, .version = version, .nonce = nonce};
    case commit_outcome::Conflict:
        return conflict(edit.baseVersion);
    case commit_outcome::Unavailable:
        return failed(edit_outcome::Unavailable, "the table service did not take the commit; nothing was changed");
    case commit_outcome::Unknown:
        break;
    }
    // 3. The answer was lost.
    auto result = resolve(change, nonce);
    return result.outcome == edit_outcome::Conflict ? conflict(edit.baseVersion) : result;
}

/// Finds out whether a commit took effect. An absent row proves nothing, because the commit may still be on its way; committing the same
/// transaction again is safe, because its conditions allow it to take effect only once.
edit_result config_editor::resolve(const transaction &change, const std::string &nonce) const
{
    for (int round = 0; round < resolveRounds; ++round) {
        const auto found = readPatch(versionOfNonce(nonce));
        if (found.ok()) {
            return storedOrReplaced(*found, nonce);
        }
        if (absl::IsNotFound(found.status()) && m_calls.commit(change) == commit_outcome::Committed) {
            return {.outcome = edit_outcome::Stored, .version = versionOfNonce(nonce), .nonce = nonce};
        }
    }
    if (const auto found = readPatch(versionOfNonce(nonce)); found.ok()) {
        return storedOrReplaced(*found, nonce);
    }
    return {.outcome = edit_outcome::Unknown, .nonce = nonce, .message = "the table service lost the answer to the commit; ask again for nonce " + nonce};
}

edit_result config_editor::lookUp(std::string_view nonce) const
{
    const std::string wanted(nonce);
    const std::uint64_t version = versionOfNonce(nonce);
    if (version == 0) {
        return failed(edit_outcome::Invalid, "a nonce has the form VERSION-HEX");
    }
    const auto found = readPatch(version);
    if (found.ok()) {
        return storedOrReplaced(*found, wanted);
    }
    if (absl::IsNotFound(found.status())) {
        return {.outcome = edit_outcome::Unknown, .nonce = wanted, .message = "not stored so far; it is certain once another patch takes its version"};
    }
    return {.outcome = edit_outcome::Unavailable, .nonce = wanted, .message = std::string(found.status().message())};
}

/// Answers a patch whose base version is not the current one.
edit_result config_editor::conflict(std::uint64_t baseVersion) const
{
    edit_result result{.outcome = edit_outcome::Conflict, .message = "the base version is not the current version"};
    const auto head = load();
    if (!head.ok()) {
        result.message.append("; the current version is unknown: ").append(std::string(head.status().message()));
        return result;
    }
    result.version = head->version;
    std::set<std::string> paths;
    const std::uint64_t oldest = head->version > maxConflictVersions ? head->version - maxConflictVersions : 0;
    for (std::uint64_t version = std::max(baseVersion, oldest) + 1; version <= head->version; ++version) {
        if (const auto row = readPatch(version); row.ok()) {
            for (auto &path : changedPaths(row->patch)) {
                paths.insert(std::move(path));
            }
        }
    }
    result.differingPaths.assign(paths.begin(), paths.end());
    return result;
}

absl::StatusOr<stored_document> config_editor::load() const
{
    // 1. Read the head.
    const auto head = m_calls.read(configHeadKey);
    if (!head.ok()) {
        return head.status();
    }
    stored_document result;
    if (*head) {
        const auto version = parseConfigHead((*head)->value);
        if (!version.ok()) {
            return version.status();
        }
        result.version = *version;
        result.headRowVersion = (*head)->version;
    }
    // 2. Start from the held document, which is usually current; one ahead of this head cannot serve as a start.
    const auto snapshot = m_holder.current();
    std::uint64_t from = 0;
    if (snapshot->parsed.version > 0 && snapshot->parsed.version <= result.version) {
        from = snapshot->parsed.version;
        result.document = snapshot->document;
    }
    // 3. Merge the patches that this daemon does not hold yet.
    for (std::uint64_t version = from + 1; version <= result.version; ++version) {
        const auto row = readPatch(version);
        if (!row.ok()) {
            return row.status();
        }
        result.document.merge_patch(row->patch);
    }
    return result;
}

absl::StatusOr<config_patch_row> config_editor::readPatch(std::uint64_t version) const
{
    const std::string key = configPatchKey(version);
    const auto found = m_calls.read(key);
    if (!found.ok()) {
        return found.status();
    }
    if (!*found) {
        return makeError(absl::StatusCode::kNotFound, "read configuration", "table service", "row " + key + " is absent");
    }
    return parseConfigPatch(key, (*found)->value);
}

}
