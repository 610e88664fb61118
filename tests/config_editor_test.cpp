#include "coordination/config_editor.h"
#include "protocol/merge_patch.h"

#include <gtest/gtest.h>
#include <thread>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

json organisationPatch(const std::string &id, int weight)
{
    return {{"organisations", {{id, {{"weight", weight}}}}}};
}

/// An editor on a table that can lose answers and fail calls.
struct editor_fixture
{
    memory_table table;
    config_holder holder;
    int lostCommits = 0; ///< The next commits that take effect but return Unknown.
    int droppedCommits = 0; ///< The next commits that do not take effect and return Unknown.
    bool down = false;
    bool readsFail = false;
    config_editor editor{config_store_calls{.read = [this](std::string_view key) -> absl::StatusOr<std::optional<row>> {
                                                if (down || readsFail) {
                                                    return absl::UnavailableError("table service is down");
                                                }
                                                return table.read(key);
                                            },
                                            .commit =
                                                [this](const transaction &change) {
                                                    return commit(change);
                                                }},
                         holder};

    commit_outcome commit(const transaction &change)
    {
        if (down) {
            return commit_outcome::Unavailable;
        }
        if (droppedCommits > 0) {
            --droppedCommits;
            return commit_outcome::Unknown;
        }
        const auto outcome = table.commit(change);
        if (lostCommits > 0) {
            --lostCommits;
            readsFail = readsFail || lostCommits == 99;
            return commit_outcome::Unknown;
        }
        return outcome;
    }
};

}

// Guards against a lost update: of two operators with the same base version, the second must get a conflict that lists the changed fields.
TEST(config_editor, second_operator_gets_a_conflict)
{
    editor_fixture fixture;
    EXPECT_EQ(fixture.editor.apply({.baseVersion = 0, .patch = organisationPatch("a", 1)}).version, 1U);
    const auto second = fixture.editor.apply({.baseVersion = 0, .patch = organisationPatch("b", 1)});
    EXPECT_EQ(second.outcome, edit_outcome::Conflict);
    EXPECT_EQ(second.version, 1U);
    EXPECT_EQ(second.differingPaths, std::vector<std::string>{"/organisations/a/weight"});
    EXPECT_FALSE(fixture.editor.load()->document["organisations"].contains("b"));
}

// Guards against a lost update when two operators edit concurrently and both patches commit on the same base version.
TEST(config_editor, concurrent_operators_lose_no_patch)
{
    editor_fixture fixture;
    constexpr int patches = 20;
    const auto operate = [&](const std::string &name) {
        for (int number = 0; number < patches;) {
            const auto base = fixture.editor.load()->version;
            const auto result = fixture.editor.apply({.baseVersion = base, .patch = organisationPatch(name + std::to_string(number), 1)});
            number += result.outcome == edit_outcome::Stored ? 1 : 0;
        }
    };
    std::thread other(operate, "x");
    operate("y");
    other.join();
    EXPECT_EQ(fixture.editor.load()->version, 2U * patches);
    EXPECT_EQ(fixture.editor.load()->document["organisations"].size(), 2U * patches);
}

// Guards against a patch that is reported as failed or stored twice after the answer to its commit was lost.
TEST(config_editor, lost_commit_answer_is_resolved)
{
    editor_fixture fixture;
    fixture.lostCommits = 1;
    const auto stored = fixture.editor.apply({.baseVersion = 0, .patch = organisationPatch("a", 1)});
    EXPECT_EQ(stored.outcome, edit_outcome::Stored);
    fixture.droppedCommits = 1;
    EXPECT_EQ(fixture.editor.apply({.baseVersion = 1, .patch = organisationPatch("b", 1)}).outcome, edit_outcome::Stored);
    EXPECT_EQ(fixture.editor.load()->version, 2U);
}

// Guards against reporting "nothing was changed" while the outcome is unknown; a later query with the nonce must return it.
TEST(config_editor, unknown_outcome_is_found_by_nonce)
{
    editor_fixture fixture;
    fixture.lostCommits = 100;
    const auto unknown = fixture.editor.apply({.baseVersion = 0, .patch = organisationPatch("a", 1)});
    ASSERT_EQ(unknown.outcome, edit_outcome::Unknown);
    fixture.readsFail = false;
    EXPECT_EQ(fixture.editor.queryOutcome(unknown.nonce).outcome, edit_outcome::Stored);
    EXPECT_EQ(fixture.editor.queryOutcome("1-other").outcome, edit_outcome::Conflict);
    EXPECT_EQ(fixture.editor.queryOutcome("2-other").outcome, edit_outcome::Unknown);
    EXPECT_EQ(fixture.editor.queryOutcome("other").outcome, edit_outcome::Invalid);
}

// Guards against a change, or a wrong outcome, when the table service is down.
TEST(config_editor, outage_changes_nothing)
{
    editor_fixture fixture;
    fixture.down = true;
    EXPECT_EQ(fixture.editor.apply({.baseVersion = 0, .patch = organisationPatch("a", 1)}).outcome, edit_outcome::Unavailable);
    fixture.down = false;
    EXPECT_EQ(fixture.editor.load()->version, 0U);
}

// Guards against storing an invalid document, which no daemon could install.
TEST(config_editor, invalid_document_is_not_stored)
{
    editor_fixture fixture;
    const auto result = fixture.editor.apply({.baseVersion = 0, .patch = {{"keys", {{"k", {{"organisation", "a"}}}}}}});
    EXPECT_EQ(result.outcome, edit_outcome::Invalid);
    EXPECT_NE(result.message.find("/keys/k/"), std::string::npos);
    EXPECT_EQ(fixture.editor.load()->version, 0U);
}

// Guards against a computed merge patch that does not produce the target document.
TEST(merge_patch, diff_reproduces_the_target_document)
{
    const json from = json::parse(R"({"a": {"b": 1, "c": [1, 2]}, "d": 5, "e": {"f": {}}})");
    const json to = json::parse(R"({"a": {"b": 2, "c": [2], "g": {"h": 1}}, "e": {"f": {}}, "d": {"i": 1}})");
    json result = from;
    result.merge_patch(createMergePatch(from, to));
    EXPECT_EQ(result, to);
    EXPECT_TRUE(createMergePatch(to, to).empty());
}

}
