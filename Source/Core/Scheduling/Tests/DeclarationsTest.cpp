/// @file
/// Declarations of endpoints: which start they are about, and how many are kept.

#include "Scheduling/Declarations.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Scheduling;

const Common::endpoint_id endpoint { "e" };

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
}

} // namespace

TEST_GROUP(Declarations) {};

TEST(Declarations, ADeclarationIsAboutOneStartAndALaterStartReplacesIt)
{
    struct row {
        const char* condition;
        std::vector<int64_t> declaredBy; ///< Starts, in the order of their declarations.
        int64_t leavingStart; ///< The only start that counts as leaving afterwards.
    };
    const row rows[] = {
        { "one start", { 5 }, 5 },
        { "the same start again", { 5, 5 }, 5 },
        { "a later start", { 5, 7 }, 7 },
        { "a late response of an earlier start", { 7, 5 }, 7 },
    };
    for (const row& item : rows) {
        declaration_map declarations;
        for (const int64_t started : item.declaredBy)
            declareLeaving(declarations, endpoint, { started }, at(0));
        for (const int64_t started : { 4, 5, 6, 7, 8 }) {
            const declaration* found = findDeclaration(declarations, endpoint, { started });
            CHECK_EQUAL_TEXT(started == item.leavingStart, found && found->isLeaving, item.condition);
        }
    }
}

TEST(Declarations, OnlyTheFirstWordOfALeavingIsNew)
{
    declaration_map declarations;
    CHECK(declareLeaving(declarations, endpoint, { 5 }, at(0)));
    CHECK(!declareLeaving(declarations, endpoint, { 5 }, at(1)));
    CHECK(!declareLeaving(declarations, endpoint, { 4 }, at(2)));
    CHECK(declareLeaving(declarations, endpoint, { 6 }, at(3)));
}

TEST(Declarations, AShorterBackoffDoesNotEndALongerOneOfTheSameStart)
{
    struct row {
        int64_t secondStart;
        int secondEnd;
        int end; ///< What holds for the newest start.
    };
    const row rows[] = { { 5, 900, 900 }, { 5, 300, 700 }, { 6, 300, 300 } };
    for (const row& item : rows) {
        declaration_map declarations;
        declareBackoff(declarations, endpoint, { 5 }, at(700), at(0));
        declareBackoff(declarations, endpoint, { item.secondStart }, at(item.secondEnd), at(100));
        const declaration* found = findDeclaration(declarations, endpoint, { item.secondStart });
        CHECK(found && found->backoffEnd == at(item.end));
    }
}

TEST(Declarations, TheOldestIsDroppedWhenThereAreTooMany)
{
    declaration_map declarations;
    for (size_t number = 0; number <= maxDeclarations; ++number)
        declareLeaving(declarations, { "e" + std::to_string(number) }, { 1 }, at(static_cast<int>(number)));
    CHECK_EQUAL(maxDeclarations, declarations.size());
    CHECK(!declarations.contains({ "e0" }));
    CHECK(declarations.contains({ "e1" }));
}
