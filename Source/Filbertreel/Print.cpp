#include "Filbertreel/Print.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace Filbertreel {

namespace {

    using nlohmann::ordered_json;

    std::string cellText(const ordered_json& row, const std::string& column)
    {
        const auto found = row.find(column);
        if (found == row.end() || found->is_null())
            return "-";
        return found->is_string() ? found->get<std::string>() : found->dump();
    }

    void printRow(const std::vector<std::string>& cells, const std::vector<size_t>& widths)
    {
        constexpr size_t columnGap = 2;
        for (size_t index = 0; index < cells.size(); ++index)
            std::cout << std::left << std::setw(static_cast<int>(widths[index] + columnGap)) << cells[index];
        std::cout << "\n";
    }

} // namespace

void printTable(const ordered_json& rows, const std::vector<std::string>& columns)
{
    std::vector<size_t> widths;
    for (const std::string& column : columns) {
        size_t width = column.size();
        for (const ordered_json& row : rows)
            width = std::max(width, cellText(row, column).size());
        widths.push_back(width);
    }
    printRow(columns, widths);
    for (const ordered_json& row : rows) {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (const std::string& column : columns)
            cells.push_back(cellText(row, column));
        printRow(cells, widths);
    }
}

int printFailure(const command_failure& failure)
{
    switch (failure.kind) {
    case command_failure_kind::NoNodeReached:
        std::cerr << "filbertreel: no node could be reached; nothing was sent\n";
        return exitUnreachable;
    case command_failure_kind::Unreadable:
        std::cerr << "filbertreel: the answer was lost or could not be read; whether the change was accepted is not known: see 'filbertreel audit'\n";
        return exitOutcomeUnknown;
    case command_failure_kind::Refused:
        std::cerr << "filbertreel: refused (" << failure.status << "): " << failure.body.dump() << "\n";
        return exitRefused;
    }
    return exitRefused;
}

} // namespace Filbertreel
