/// @file
/// Which requests and connections of callers are given up when all together exceed what the process may hold.

#include "Gateway/InputBudget.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace {

using namespace Gateway;

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
}

struct holding {
    uint64_t id;
    input_stage stage;
    size_t bytes;
    int atMs;
};

input_budget makeBudget(const std::vector<holding>& holdings)
{
    input_budget budget;
    for (const holding& item : holdings)
        recordInput(budget, { item.id }, item.stage, item.bytes, at(item.atMs));
    return budget;
}

} // namespace

TEST_GROUP(InputBudget) {};

// Guards against many requests of legal size that fill the memory, and against refusing small ones for it.
TEST(InputBudget, TheLargestRequestWithoutProgressIsRefusedFirst)
{
    struct row {
        const char* condition;
        std::vector<holding> holdings;
        uint64_t refused; ///< Zero: none.
    };
    const row rows[] = {
        { "within the bound", { { 1, input_stage::Reading, 600, 0 }, { 2, input_stage::Reading, 400, 0 } }, 0 },
        { "all make progress", { { 1, input_stage::Reading, 300, 9000 }, { 2, input_stage::Reading, 800, 9500 } }, 2 },
        { "a smaller one makes none", { { 1, input_stage::Reading, 300, 7000 }, { 2, input_stage::Reading, 800, 9500 } }, 1 },
        { "equal ones", { { 1, input_stage::Reading, 600, 9500 }, { 2, input_stage::Reading, 600, 9000 } }, 2 },
        { "the largest is being answered", { { 1, input_stage::Reading, 200, 9500 }, { 2, input_stage::Answering, 900, 9000 } }, 1 },
        { "all are being answered", { { 1, input_stage::Answering, 600, 9500 }, { 2, input_stage::Answering, 900, 9000 } }, 0 },
        { "a small one, the rest is being answered", { { 1, input_stage::Answering, 1000, 9000 }, { 2, input_stage::Reading, 10, 9500 } }, 0 },
        { "small ones beyond their room", { { 1, input_stage::Answering, 1245, 9000 }, { 2, input_stage::Reading, 10, 9500 } }, 2 },
        { "a small one without progress beside a large one", { { 1, input_stage::Reading, 10, 0 }, { 2, input_stage::Reading, 995, 9999 } }, 2 },
        { "a small one beside many large ones", { { 1, input_stage::Reading, 1, 9999 }, { 2, input_stage::Reading, 500, 9999 }, { 3, input_stage::Reading, 501, 9999 } }, 3 },
    };
    for (const row& item : rows) {
        const auto refused = chooseExcessRequest(makeBudget(item.holdings), { 1000, 10 }, at(10000));
        CHECK_EQUAL_TEXT(item.refused, refused ? refused->value : 0, item.condition);
    }
}

// Guards against connections that send nothing and take the descriptors of ordinary callers.
TEST(InputBudget, AConnectionWithoutProgressIsClosedBeforeAnIdleOneAndBeforeANewOne)
{
    struct row {
        const char* condition;
        std::vector<holding> holdings;
        uint64_t closed; ///< Zero: none.
    };
    const row rows[] = {
        { "within the bound", { { 1, input_stage::Unused, 0, 0 }, { 2, input_stage::Idle, 0, 0 } }, 0 },
        { "one never sent anything", { { 1, input_stage::Idle, 0, 0 }, { 2, input_stage::Unused, 0, 7000 }, { 3, input_stage::Unused, 0, 9999 } }, 2 },
        { "one stopped in the middle of a request", { { 1, input_stage::Idle, 0, 0 }, { 2, input_stage::Reading, 5, 7000 }, { 3, input_stage::Unused, 0, 9999 } }, 2 },
        { "the others are idle", { { 1, input_stage::Idle, 0, 9000 }, { 2, input_stage::Idle, 0, 8500 }, { 3, input_stage::Unused, 0, 9999 } }, 2 },
        { "the others are being answered", { { 1, input_stage::Answering, 0, 0 }, { 2, input_stage::Answering, 0, 0 }, { 3, input_stage::Unused, 0, 9999 } }, 3 },
        { "all are being answered", { { 1, input_stage::Answering, 0, 0 }, { 2, input_stage::Answering, 0, 0 }, { 3, input_stage::Answering, 0, 0 } }, 0 },
    };
    for (const row& item : rows) {
        const auto closed = chooseExcessConnection(makeBudget(item.holdings), { 1000, 2 }, at(10000));
        CHECK_EQUAL_TEXT(item.closed, closed ? closed->value : 0, item.condition);
    }
}

TEST(InputBudget, WhatIsReleasedCountsNoMore)
{
    input_budget budget = makeBudget({ { 1, input_stage::Reading, 600, 0 }, { 2, input_stage::Reading, 700, 0 } });
    recordInput(budget, { 1 }, input_stage::Reading, 650, at(1));
    CHECK_EQUAL(1350, budget.totalBytes);
    releaseInput(budget, { 2 });
    releaseInput(budget, { 2 });
    CHECK_EQUAL(650, budget.totalBytes);
    recordInput(budget, { 1 }, input_stage::Idle, 0, at(2));
    CHECK_EQUAL(0, budget.totalBytes);
}

TEST(InputBudget, BoundsFollowTheMachineAndLeaveRoomForTheLargestRequest)
{
    struct row {
        const char* condition;
        uint32_t megabytes;
        uint32_t descriptors;
        size_t bytes;
        size_t connections;
    };
    constexpr size_t mebibyte = size_t { 1024 } * 1024;
    const row rows[] = {
        { "a small machine of the deployments", 120, 3075, 15 * mebibyte, 1521 },
        { "a large one", 512, 8192, 64 * mebibyte, 4080 },
        { "very little memory", 16, 256, 2 * (4 * mebibyte + 16384), 112 },
        { "hardly any descriptors", 120, 20, 15 * mebibyte, 1 },
    };
    for (const row& item : rows) {
        Fleet::machine_limits machine;
        machine.memoryMegabytes = item.megabytes;
        machine.fileDescriptors = item.descriptors;
        const input_bounds bounds = makeInputBounds(machine, {});
        CHECK_EQUAL_TEXT(item.bytes, bounds.bytes, item.condition);
        CHECK_EQUAL_TEXT(item.connections, bounds.connections, item.condition);
    }
}
