#include "transport/byte_budget.h"

#include <gtest/gtest.h>
#include <optional>

namespace lacewinglock
{

namespace
{

class byte_budget_test : public testing::Test
{
protected:
    byte_share share(int &givenUp)
    {
        return {budget, [&givenUp] {
                    ++givenUp;
                }};
    }

    std::shared_ptr<byte_budget> budget = std::make_shared<byte_budget>(100);
};

}

// Guards against small bodies that are given up because a large one has used the budget.
TEST_F(byte_budget_test, the_largest_share_is_given_up)
{
    int small = 0;
    int large = 0;
    byte_share first = share(small);
    byte_share second = share(large);
    second.set(70);
    first.set(30);
    EXPECT_EQ(small + large, 0);
    first.set(31);
    EXPECT_EQ(small, 0);
    EXPECT_EQ(large, 1);
    EXPECT_EQ(budget->held(), 31U);
    second.set(500); // It was given up; its holder may still report.
    EXPECT_EQ(budget->held(), 31U);
    EXPECT_EQ(budget->givenUp(), 1U);
}

// Guards against a complete answer that is thrown away while its caller reads it.
TEST_F(byte_budget_test, a_complete_share_counts_but_is_not_given_up)
{
    int whole = 0;
    int growing = 0;
    std::optional<byte_share> first(std::in_place, budget, [&whole] {
        ++whole;
    });
    first->set(90);
    first->complete();
    byte_share second = share(growing);
    second.set(20);
    EXPECT_EQ(whole, 0);
    EXPECT_EQ(growing, 1);
    EXPECT_EQ(budget->held(), 90U);
    first.reset();
    EXPECT_EQ(budget->held(), 0U);
}

// Guards against one share that exceeds a limit which was lowered meanwhile.
TEST_F(byte_budget_test, a_lower_limit_takes_effect_with_the_next_change)
{
    int count = 0;
    byte_share only = share(count);
    only.set(80);
    budget->setLimit(50);
    EXPECT_EQ(count, 0);
    only.set(81);
    EXPECT_EQ(count, 1);
    EXPECT_EQ(budget->held(), 0U);
}

}
