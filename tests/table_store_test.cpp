#include "state/table_store.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

// Guards against a compare-and-set that succeeds although another writer committed first.
TEST(memory_table, rejects_a_commit_at_an_old_version)
{
    memory_table table;
    ASSERT_EQ(table.commit({.conditions = {{.key = "a", .version = 0}}, .writes = {{.key = "a", .value = "1"}}}), commit_outcome::Committed);
    EXPECT_EQ(table.commit({.conditions = {{.key = "a", .version = 0}}, .writes = {{.key = "a", .value = "2"}}}), commit_outcome::Conflict);
    EXPECT_EQ((*table.read("a"))->value, "1");
}

// Guards against a recreated row that reuses a version, which would let the condition of an outdated writer match.
TEST(memory_table, versions_continue_after_a_delete)
{
    memory_table table;
    table.commit({.writes = {{.key = "a", .value = "1"}}});
    table.commit({.writes = {{.key = "a", .value = std::nullopt}}});
    table.commit({.writes = {{.key = "a", .value = "2"}}});
    EXPECT_EQ((*table.read("a"))->version, 2U);
}

// Guards against scans that return rows outside the prefix or repeat rows on the next page.
TEST(memory_table, scans_a_prefix_in_pages)
{
    memory_table table;
    table.commit({.writes = {{.key = "p/1", .value = "1"}, {.key = "p/2", .value = "2"}, {.key = "q/1", .value = "3"}}});
    const auto first = *table.scan("p/", 1, {});
    ASSERT_EQ(first.size(), 1U);
    const auto second = *table.scan("p/", 10, first.back().key);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second.front().key, "p/2");
}

}
