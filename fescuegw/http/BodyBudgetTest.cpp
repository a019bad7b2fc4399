// The budget of bytes held in requests, without a network.
#include <vector>

#include <criterion/criterion.h>

#include "fescuegw/http/BodyBudget.h"

using namespace fescuegw::http;

// Many bodies of permitted size at once must not add up to more than the limit.
Test(BodyBudget, manyHoldersStayWithinTheLimit)
{
    BodyBudget budget(1000);
    size_t granted = 0;
    for (int n = 0; n < 100; ++n)
        granted += budget.reserve(0, 90) ? 1 : 0;
    cr_assert_eq(granted, 11);
    cr_assert_eq(budget.held(), 990);
    cr_assert(budget.reserve(0, 10));
    cr_assert_not(budget.reserve(0, 1));
}

// A body in pieces asks for more each time; a refused piece must leave what is held unchanged.
Test(BodyBudget, aRefusedPieceChangesNothing)
{
    BodyBudget budget(100);
    cr_assert(budget.reserve(0, 60));
    cr_assert(budget.reserve(0, 30));
    cr_assert_not(budget.reserve(30, 20));
    cr_assert_eq(budget.held(), 90);
    budget.release(60);
    cr_assert(budget.reserve(30, 20));
    cr_assert_eq(budget.held(), 50);
}

// A limit below the size of one request must not refuse every request.
Test(BodyBudget, aSingleRequestIsGrantedBeyondTheLimit)
{
    BodyBudget budget(10);
    cr_assert(budget.reserve(0, 50));
    cr_assert(budget.reserve(50, 50));
    cr_assert_not(budget.reserve(0, 1));
    budget.release(100);
    cr_assert(budget.reserve(0, 11));
}

// A size near the largest number must not overflow the sum.
Test(BodyBudget, hugeSizesAreRefused)
{
    BodyBudget budget(100);
    cr_assert(budget.reserve(0, 1));
    cr_assert_not(budget.reserve(0, SIZE_MAX));
    cr_assert_eq(budget.held(), 1);
}

// The metric of held bytes follows every change.
Test(BodyBudget, changesAreTold)
{
    std::vector<size_t> told;
    BodyBudget budget(100, [&](size_t held) { told.push_back(held); });
    (void)budget.reserve(0, 40);
    (void)budget.reserve(0, 70);
    budget.release(40);
    cr_assert_eq(told, (std::vector<size_t> { 40, 0 }));
}
