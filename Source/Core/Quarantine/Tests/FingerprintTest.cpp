/// @file
/// Which requests share a fingerprint.

#include "Quarantine/Fingerprint.h"

#include <CppUTest/TestHarness.h>

using namespace Quarantine;

TEST_GROUP(Fingerprint) {};

TEST(Fingerprint, OnlyTheSameRequestOfTheSameAccountIsRecognised)
{
    const request_identity known { { "s" }, { "clerks" }, "POST", "/a?b=1", "body" };
    struct row {
        const char* condition;
        request_identity other;
        bool isSame;
    };
    const row rows[] = {
        { "the same", known, true },
        { "another service", { { "t" }, { "clerks" }, "POST", "/a?b=1", "body" }, false },
        { "another account", { { "s" }, { "buyers" }, "POST", "/a?b=1", "body" }, false },
        { "another method", { { "s" }, { "clerks" }, "PUT", "/a?b=1", "body" }, false },
        { "another query", { { "s" }, { "clerks" }, "POST", "/a?b=2", "body" }, false },
        { "another body", { { "s" }, { "clerks" }, "POST", "/a?b=1", "bodY" }, false },
        { "no body", { { "s" }, { "clerks" }, "POST", "/a?b=1", "" }, false },
        { "text moved from the target to the body", { { "s" }, { "clerks" }, "POST", "/a?b=", "1body" }, false },
    };
    for (const row& item : rows)
        CHECK_EQUAL_TEXT(item.isSame, fingerprintsOf(known, nullptr) == fingerprintsOf(item.other, nullptr), item.condition);
}

TEST(Fingerprint, TheLastPartOfAPromptIsNotShared)
{
    Scheduling::model_request model;
    const request_identity first { { "s" }, { "clerks" }, "POST", "/a", "1" };
    const request_identity second { { "s" }, { "clerks" }, "POST", "/a", "2" };
    const request_identity foreign { { "s" }, { "buyers" }, "POST", "/a", "1" };
    CHECK_EQUAL(1U, fingerprintsOf(first, &model).size());
    model.parts = { { "a", 1 }, { "b", 1 }, { "own", 1 } };
    const std::vector<fingerprint> fingerprints = fingerprintsOf(first, &model);
    CHECK_EQUAL(3U, fingerprints.size());
    CHECK_TRUE(fingerprints[0] != fingerprintsOf(second, &model)[0]);
    CHECK_TRUE(fingerprints[1] == fingerprintsOf(second, &model)[1]);
    CHECK_TRUE(fingerprints[2] == fingerprintsOf(second, &model)[2]);
    CHECK_TRUE(fingerprints[1] != fingerprintsOf(foreign, &model)[1]);
}
