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
/// Rounds of reading back and committing again after an unknown outcome. Each round may wait for two timeouts of the table service.
constexpr int maxResolveRounds = 3;
/// A conflict lists the changes of at most this many recent versions, which bounds the reads that one rejected patch causes.
constexpr std::uint64_t maxConflictVersions = 100;

edit_result failureResult(edit_outcome outcome, std::string_view message)
{
    return {.outcome = outcome, .message = std::string(message)};
}

/// Result for a failed read. A malformed row counts as unavailable too, because the patch itself is not invalid.
edit_result unavailableResult(const absl::Status &status)
{
    return failureResult(edit_outcome::Unavailable, std::string(status.message()) + "; nothing was changed");
}

/// The nonce contains the version, so that queryOutcome() finds the patch row without further input.
std::string makeNonce(std::uint64_t version)
{
    return std::to_string(version) + "-" + randomHex(nonceBytes);
}

/// Returns 0 when the nonce does not start with a version.
std::uint64_t versionFromNonce(std::string_view nonce)
{
    std::uint64_t version = 0;
    std::from_chars(nonce.data(), nonce.data() + nonce.size(), version);
    return version;
}

/// The version of the nonce is taken; the row's nonce shows whether by this commit or by another one.
edit_result resultFromPatchRow(const config_patch_row &found, const std::string &nonce)
{
    if (found.nonce == nonce) {
        return {.outcome = edit_outcome::Stored, .version = versionFromNonce(nonce), .nonce = nonce};
    }
    return {.outcome = edit_outcome::Conflict, .version = versionFromNonce(nonce), .nonce = nonce, .message = "another patch took this version"};
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
        return failureResult(edit_outcome::Invalid, "the patch must be a JSON object");
    }
    const auto base = load();
    if (!base.ok()) {
        return unavailableResult(base.status());
    }
    if (edit.baseVersion != base->version) {
        return conflictResult(edit.baseVersion);
    }
    return commit(edit, *base);
}

edit_result config_editor::commit(const config_edit &edit, const stored_document &base) const
{
    // 1. Merge and validate before anything is written.
    json document = base.document;
    document.merge_patch(edit.patch);
    if (document == base.document) {
        return {.outcome = edit_outcome::Stored, .version = base.version, .message = "the patch changes nothing"};
    }
    const std::uint64_t version = base.version + 1;
    if (const auto parsed = parseConfiguration(document, version); !parsed.ok()) {
        return failureResult(edit_outcome::Invalid, std::string(parsed.status().message()));
    }
    // 2. Commit the head row and the patch row in one transaction.
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
        return conflictResult(edit.baseVersion);
    case commit_outcome::Unavailable:
        return failureResult(edit_outcome::Unavailable, "the table service did not take the commit; nothing was changed");
    case commit_outcome::Unknown:
        break;
    }
    // 3. The answer was lost: find out whether the commit took effect.
    auto result = resolveUnknownCommit(change, nonce);
    return result.outcome == edit_outcome::Conflict ? conflictResult(edit.baseVersion) : result;
}

/// Finds out whether a commit took effect. An absent row proves nothing, because the commit may still be in flight. Committing the same
/// transaction again is safe, because its conditions let it take effect only once.
edit_result config_editor::resolveUnknownCommit(const transaction &change, const std::string &nonce) const
{
    for (int round = 0; round < maxResolveRounds; ++round) {
        const auto found = readPatch(versionFromNonce(nonce));
        if (found.ok()) {
            return resultFromPatchRow(*found, nonce);
        }
        if (absl::IsNotFound(found.status()) && m_calls.commit(change) == commit_outcome::Committed) {
            return {.outcome = edit_outcome::Stored, .version = versionFromNonce(nonce), .nonce = nonce};
        }
    }
    if (const auto found = readPatch(versionFromNonce(nonce)); found.ok()) {
        return resultFromPatchRow(*found, nonce);
    }
    return {.outcome = edit_outcome::Unknown, .nonce = nonce, .message = "the table service lost the answer to the commit; ask again for nonce " + nonce};
}

edit_result config_editor::queryOutcome(std::string_view nonce) const
{
    const std::string requestedNonce(nonce);
    const std::uint64_t version = versionFromNonce(nonce);
    if (version == 0) {
        return failureResult(edit_outcome::Invalid, "a nonce has the form VERSION-HEX");
    }
    const auto found = readPatch(version);
    if (found.ok()) {
        return resultFromPatchRow(*found, requestedNonce);
    }
    if (absl::IsNotFound(found.status())) {
        return {.outcome = edit_outcome::Unknown, .nonce = requestedNonce, .message = "not stored so far; it is certain once another patch takes its version"};
    }
    return {.outcome = edit_outcome::Unavailable, .nonce = requestedNonce, .message = std::string(found.status().message())};
}

/// Result for a patch whose base version is not the current version, with the fields that changed since then.
edit_result config_editor::conflictResult(std::uint64_t baseVersion) const
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
    // 2. Start from the document of this daemon, which is usually current, unless it is newer than the head that was read.
    const auto snapshot = m_holder.current();
    std::uint64_t startVersion = 0;
    if (snapshot->parsed.version > 0 && snapshot->parsed.version <= result.version) {
        startVersion = snapshot->parsed.version;
        result.document = snapshot->document;
    }
    // 3. Merge the patches that this daemon has not installed yet.
    for (std::uint64_t version = startVersion + 1; version <= result.version; ++version) {
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
