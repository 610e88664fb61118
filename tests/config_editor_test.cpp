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

/// An editor on a table that can lose answers and refuse calls.
struct editor_fixture
{
    memory_table table;
    config_holder holder;
    int lostCommits = 0; ///< Commits that take effect but are answered Unknown.
    int droppedCommits = 0; ///< Commits that do not take effect but are answered Unknown.
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

// Guards against a lost update: the second of two operators must get a conflict that names what changed.
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

// Guards against two operators whose patches both commit on one base although they run at the same time.
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

// Guards against a patch reported as failed, or stored twice, when only the answer to its commit was lost.
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

// Guards against a false "nothing was changed" when the outcome cannot be found out; the nonce tells later.
TEST(config_editor, unknown_outcome_is_found_by_nonce)
{
    editor_fixture fixture;
    fixture.lostCommits = 100;
    const auto unknown = fixture.editor.apply({.baseVersion = 0, .patch = organisationPatch("a", 1)});
    ASSERT_EQ(unknown.outcome, edit_outcome::Unknown);
    fixture.readsFail = false;
    EXPECT_EQ(fixture.editor.lookUp(unknown.nonce).outcome, edit_outcome::Stored);
    EXPECT_EQ(fixture.editor.lookUp("1-other").outcome, edit_outcome::Conflict);
    EXPECT_EQ(fixture.editor.lookUp("2-other").outcome, edit_outcome::Unknown);
    EXPECT_EQ(fixture.editor.lookUp("other").outcome, edit_outcome::Invalid);
}

// Guards against a partial change while the table service is down.
TEST(config_editor, outage_changes_nothing)
{
    editor_fixture fixture;
    fixture.down = true;
    EXPECT_EQ(fixture.editor.apply({.baseVersion = 0, .patch = organisationPatch("a", 1)}).outcome, edit_outcome::Unavailable);
    fixture.down = false;
    EXPECT_EQ(fixture.editor.load()->version, 0U);
}

// Guards against a wrong document in the table, which no daemon could install.
TEST(config_editor, invalid_document_is_not_stored)
{
    editor_fixture fixture;
    const auto result = fixture.editor.apply({.baseVersion = 0, .patch = {{"keys", {{"k", {{"organisation", "a"}}}}}}});
    EXPECT_EQ(result.outcome, edit_outcome::Invalid);
    EXPECT_NE(result.message.find("/keys/k/"), std::string::npos);
    EXPECT_EQ(fixture.editor.load()->version, 0U);
}

// Guards against a computed patch that does not lead to the wanted document.
TEST(merge_patch, leads_from_one_document_to_another)
{
    const json from = json::parse(R"({"a": {"b": 1, "c": [1, 2]}, "d": 5, "e": {"f": {}}})");
    const json to = json::parse(R"({"a": {"b": 2, "c": [2], "g": {"h": 1}}, "e": {"f": {}}, "d": {"i": 1}})");
    json result = from;
    result.merge_patch(mergePatchBetween(from, to));
    EXPECT_EQ(result, to);
    EXPECT_TRUE(mergePatchBetween(to, to).empty());
}

}
