#include "Filbertreel/CheckConfiguration.h"

#include "Catalog/Check.h"
#include "Filbertreel/Print.h"
#include "platform/CatalogCodec.h"
#include "platform/CatalogFields.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include <nlohmann/json.hpp>

namespace Filbertreel {

namespace {

    using nlohmann::ordered_json;

    std::optional<std::string> readFile(const std::string& path, std::ostream& output)
    {
        std::ifstream file(path);
        if (!file) {
            output << path << ": can't be opened\n";
            return {};
        }
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    /// @return the position of the syntax error in a JSON text; std::nullopt if it has none.
    std::optional<size_t> findSyntaxError(const std::string& text)
    {
        try {
            static_cast<void>(nlohmann::json::parse(text));
            return {};
        } catch (const nlohmann::json::parse_error& error) {
            return error.byte > 0 ? error.byte - 1 : 0;
        }
    }

    struct report {
        ordered_json findings = ordered_json::array();
        ordered_json differences = ordered_json::array();
    };

    void addFinding(report& made, const char* kind, const std::string& entry, size_t line, const std::string& text)
    {
        made.findings.push_back({ { "kind", kind }, { "line", line }, { "entry", entry }, { "text", text } });
    }

    /// @return the line on which the entry's name stands first; 1 if it stands nowhere.
    size_t lineOfEntry(const std::string& text, const std::string& entry)
    {
        const size_t at = text.find('"' + entry + '"');
        return at == std::string::npos ? 1 : lineAt(text, at);
    }

    void addFindings(report& made, const std::vector<Catalog::finding>& found, const std::string& text)
    {
        for (const Catalog::finding& item : found)
            addFinding(made, Catalog::nameOf(item.kind), item.entry, lineOfEntry(text, item.entry), item.text);
    }

    /// @return the catalog; null if the text can't be used, which is added to the report.
    Catalog::catalog_pointer parse(report& made, const std::string& text)
    {
        const auto syntaxError = findSyntaxError(text);
        if (syntaxError) {
            addFinding(made, "error", "", lineAt(text, *syntaxError), "not valid JSON");
            return nullptr;
        }
        for (const PlatformAdapter::field_problem& item : PlatformAdapter::findFieldProblems(text))
            addFinding(made, "error", item.field, lineOfEntry(text, item.entry), item.problem);
        std::vector<PlatformAdapter::decode_error> leftOut;
        const auto parsed = PlatformAdapter::parseCatalog(text, leftOut);
        for (const PlatformAdapter::decode_error& item : leftOut)
            addFinding(made, "error", item.rowKey, lineOfEntry(text, item.rowKey), "left out: " + item.problem);
        if (parsed)
            return *parsed;
        addFinding(made, "error", parsed.error().rowKey, 1, parsed.error().problem);
        return nullptr;
    }

    void print(const report& made, bool isJson, std::ostream& output)
    {
        if (isJson) {
            output << ordered_json { { "findings", made.findings }, { "differences", made.differences } }.dump() << "\n";
            return;
        }
        for (const ordered_json& item : made.findings)
            output << "line " << item.at("line").get<size_t>() << ": " << item.at("kind").get<std::string>() << ": " << item.at("entry").get<std::string>() << ": " << item.at("text").get<std::string>() << "\n";
        for (const ordered_json& item : made.differences)
            output << item.at("kind").get<std::string>() << ": " << item.at("entry").get<std::string>() << (item.at("text").get<std::string>().empty() ? "" : ": ") << item.at("text").get<std::string>() << "\n";
    }

} // namespace

size_t lineAt(const std::string& text, size_t offset)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
    return static_cast<size_t>(std::count(text.begin(), end, '\n')) + 1;
}

int checkConfiguration(const check_settings& settings, std::ostream& output)
{
    const auto text = readFile(settings.path, output);
    const auto inForceText = settings.inForcePath.empty() ? std::optional<std::string>() : readFile(settings.inForcePath, output);
    if (!text || (!settings.inForcePath.empty() && !inForceText))
        return exitBadUsage;
    report made;
    const Catalog::catalog_pointer next = parse(made, *text);
    if (next)
        addFindings(made, Catalog::checkCatalog(*next), *text);
    if (next && inForceText) {
        const auto inForce = PlatformAdapter::parseCatalog(*inForceText);
        if (!inForce) {
            output << settings.inForcePath << ": " << inForce.error().problem << "\n";
            return exitBadUsage;
        }
        addFindings(made, Catalog::checkVersion(**inForce, *next), *text);
        for (const Catalog::difference& item : Catalog::compareCatalogs(**inForce, *next))
            made.differences.push_back({ { "kind", Catalog::nameOf(item.kind) }, { "entry", item.entry }, { "text", item.text } });
    }
    print(made, settings.isJson, output);
    return made.findings.empty() ? exitOk : exitRefused;
}

} // namespace Filbertreel
