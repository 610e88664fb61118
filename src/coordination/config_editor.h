#pragma once

#include "coordination/config_rows.h"
#include "state/config_holder.h"
#include "state/table_store.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// The two table service calls that the editor uses; tests replace them to simulate lost answers.
struct config_store_calls
{
    std::function<absl::StatusOr<std::optional<row>>(std::string_view key)> read;
    std::function<commit_outcome(const transaction &change)> commit;
};

/// Calls that go to the given store, which must outlive them.
config_store_calls storeCalls(table_store &store);

/// A change requested by an operator: a merge patch (RFC 7396) on top of one version.
struct config_edit
{
    std::uint64_t baseVersion = 0;
    nlohmann::json patch;
    std::string author;
};

enum class edit_outcome {
    Stored,
    Conflict, ///< The base version is not the current version; nothing was changed.
    Invalid, ///< The patch or the resulting document is invalid; nothing was changed.
    Unavailable, ///< The table service is down; nothing was changed.
    Unknown, ///< The commit may have taken effect; query the nonce later.
};

struct edit_result
{
    edit_outcome outcome = edit_outcome::Unavailable;
    std::uint64_t version = 0; ///< The stored version; on a conflict the current version.
    std::string nonce; ///< Identifies the commit in queryOutcome(); has the form VERSION-HEX.
    std::string message; ///< Sent to the operator.
    std::vector<std::string> differingPaths; ///< On a conflict: JSON pointers of the fields that changed since the base version.
};

/// A version of the configuration document as read from the table service.
struct stored_document
{
    std::uint64_t version = 0;
    std::uint64_t headRowVersion = 0; ///< Version of the row `config/head` itself, used as a commit condition; 0 when the row is absent.
    nlohmann::json document = nlohmann::json::object();
};

/// Changes the stored configuration for operators. Calls block. Thread-safe: all state is in the table service.
class config_editor
{
public:
    config_editor(config_store_calls calls, const config_holder &holder);

    /// Merges the patch into the base version, validates the resulting document and commits the head row and the patch row in one transaction.
    edit_result apply(const config_edit &edit) const;

    /// Returns what happened to the commit with this nonce: Stored; Conflict when another patch has taken its version; Unknown while no patch has;
    /// Invalid for a malformed nonce; Unavailable when the table service is down.
    edit_result queryOutcome(std::string_view nonce) const;

    /// Loads the current document. Fails when the table service is unavailable or a row is missing or malformed.
    absl::StatusOr<stored_document> load() const;

private:
    edit_result commit(const config_edit &edit, const stored_document &base) const;
    edit_result resolveUnknownCommit(const transaction &change, const std::string &nonce) const;
    edit_result conflictResult(std::uint64_t baseVersion) const;
    absl::StatusOr<config_patch_row> readPatch(std::uint64_t version) const;

    config_store_calls m_calls;
    const config_holder &m_holder;
};

}
