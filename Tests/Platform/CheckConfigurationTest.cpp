/// @file
/// The command `check` on files: what it prints, and its exit codes.

#include "Filbertreel/CheckConfiguration.h"
#include "Filbertreel/Print.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace {

using namespace Filbertreel;

const std::string soundText = R"({"version":7,
"routes":[{"name":"r","hostname":"h.example","prefix":"/p/","routeType":"idempotent","timeoutMs":900,"service":"s"}],
"services":[{"name":"s"}],
"tenants":[{"name":"t","apiKeys":["secret"]}]})";

std::string replace(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

struct temporary_folder {
    std::filesystem::path path;

    temporary_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "filbertreel-check-XXXXXX").string();
        path = mkdtemp(pattern.data());
    }
    ~temporary_folder() { std::filesystem::remove_all(path); }
    temporary_folder(const temporary_folder&) = delete;

    std::string write(const char* name, const std::string& text) const
    {
        std::ofstream(path / name) << text;
        return (path / name).string();
    }
};

} // namespace

TEST_GROUP(CheckConfiguration) {};

TEST(CheckConfiguration, FindingsHaveTheirLineAndDecideTheExitCode)
{
    struct row {
        const char* condition;
        std::string text;
        std::string inForce; ///< Empty: not given.
        int code;
        const char* output; ///< Part of it.
    };
    const row rows[] = {
        { "sound", soundText, "", exitOk, "" },
        { "cut off", soundText.substr(0, soundText.size() - 20), "", exitRefused, "line 4: error: : not valid JSON" },
        { "no version", replace(soundText, "\"version\":7", "\"version\":\"7\""), "", exitRefused, "unsigned integer version" },
        { "a field of another type", replace(soundText, "900", "\"900\""), "", exitRefused, "line 2: error: timeoutMs: is not a number" },
        { "a missing field", replace(soundText, ",\"apiKeys\":[\"secret\"]", ""), "", exitRefused, "line 4: error: apiKeys: is missing" },
        { "a null field", replace(soundText, "900", "null"), "", exitRefused, "line 2: error: timeoutMs: is not a number" },
        { "no account at all", replace(soundText, "[{\"name\":\"t\",\"apiKeys\":[\"secret\"]}]", "[]"), "", exitRefused, "never_matches: accounts: no account is defined" },
        { "accounts that are no list", replace(soundText, "[{\"name\":\"t\",\"apiKeys\":[\"secret\"]}]", "null"), "", exitRefused, "error: tenants: is not a list" },
        { "a negative rate", replace(soundText, "\"name\":\"t\"", "\"name\":\"t\",\"perS\":-1"), "", exitRefused, "line 4: error: tenants: left out: t: perS is not a rate" },
        { "a route without a prefix", replace(soundText, ",\"prefix\":\"/p/\"", ""), "", exitRefused, "line 2: error: routes: left out: r: prefix is missing" },
        { "an entry that can't match", replace(soundText, "h.example", "h:80"), "", exitRefused, "line 2: never_matches: r: no request has the host" },
        { "the same version as in force", soundText, soundText, exitRefused, "7 isn't newer than 7" },
        { "a newer one", replace(soundText, "900", "800"), replace(soundText, "\"version\":7", "\"version\":6"), exitOk, "changed: route r: timeout_ms: 900 -> 800" },
        { "the one in force can't be read", soundText, "{", exitBadUsage, "not a JSON object" },
    };
    for (const row& item : rows) {
        const temporary_folder folder;
        check_settings settings { folder.write("next", item.text), item.inForce.empty() ? "" : folder.write("in-force", item.inForce), false };
        std::ostringstream output;
        CHECK_EQUAL_TEXT(item.code, checkConfiguration(settings, output), item.condition);
        CHECK_TRUE_TEXT(output.str().find(item.output) != std::string::npos, (std::string(item.condition) + ": " + output.str()).c_str());
        CHECK_TRUE_TEXT(output.str().find("secret") == std::string::npos, item.condition);
        settings.isJson = true;
        std::ostringstream asJson;
        CHECK_EQUAL_TEXT(item.code, checkConfiguration(settings, asJson), item.condition);
        CHECK_TRUE_TEXT(item.code == exitBadUsage || asJson.str().starts_with("{\"findings\":["), item.condition);
    }
}

TEST(CheckConfiguration, AFileThatCannotBeReadIsBadUsage)
{
    std::ostringstream output;
    CHECK_EQUAL(exitBadUsage, checkConfiguration({ "/nonexistent/file", "", false }, output));
}
