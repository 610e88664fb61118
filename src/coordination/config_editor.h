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

/// The two calls of the table service that the editor needs; tests replace them to lose answers.
struct config_store_calls
{
    std::function<absl::StatusOr<std::optional<row>>(std::string_view key)> read;
    std::function<commit_outcome(const transaction &change)> commit;
};

config_store_calls storeCalls(table_store &store);

struct config_edit
{
    std::uint64_t baseVersion = 0;
    nlohmann::json patch;
    std::string author;
};

enum class edit_outcome {
    Stored,
    Conflict, ///< The base version is not the current one; nothing changed.
    Invalid, ///< The patch or the document it leads to is wrong; nothing changed.
    Unavailable, ///< The table service is down; nothing changed.
    Unknown, ///< The commit may have taken effect; ask for the nonce later.
};

struct edit_result
{
    edit_outcome outcome = edit_outcome::Unavailable;
    std::uint64_t version = 0; ///< The stored version, or the current one on a conflict.
    std::string nonce;
    std::string message;
    std::vector<std::string> differingPaths; ///< On a conflict: what changed since the base version.
};

/// A version of the document as the table service has it.
struct stored_document
{
    std::uint64_t version = 0;
    std::uint64_t headRowVersion = 0;
    nlohmann::json document = nlohmann::json::object();
};

/// Changes the stored configuration on behalf of operators. Blocking and thread-safe: all state is in the table service.
class config_editor
{
public:
    config_editor(config_store_calls calls, const config_holder &holder);

    /// Merges the patch, checks the result fully and commits head and patch in one transaction.
    edit_result apply(const config_edit &edit) const;

    /// Says what became of a commit with this nonce.
    edit_result lookUp(std::string_view nonce) const;

    /// The newest document in the table service.
    absl::StatusOr<stored_document> load() const;

private:
    edit_result commit(const config_edit &edit, const stored_document &base) const;
    edit_result resolve(const transaction &change, const std::string &nonce) const;
    edit_result conflict(std::uint64_t baseVersion) const;
    absl::StatusOr<config_patch_row> readPatch(std::uint64_t version) const;

    config_store_calls m_calls;
    const config_holder &m_holder;
};

}
