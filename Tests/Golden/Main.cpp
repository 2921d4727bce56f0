/// @file
/// Plays all sessions and compares their text with the committed files; --renew rewrites the files first.

#include "Golden/Sessions.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

std::string readFile(const std::string& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

void printFirstDifference(const std::string& expected, const std::string& actual)
{
    std::istringstream left(expected);
    std::istringstream right(actual);
    std::string leftLine;
    std::string rightLine;
    while (true) {
        const bool hasLeft = static_cast<bool>(std::getline(left, leftLine));
        const bool hasRight = static_cast<bool>(std::getline(right, rightLine));
        if (!hasLeft && !hasRight)
            return;
        if (hasLeft && hasRight && leftLine == rightLine)
            continue;
        std::cout << "  expected: " << (hasLeft ? leftLine : "(end)") << "\n  played:   " << (hasRight ? rightLine : "(end)") << "\n";
        return;
    }
}

} // namespace

int main(int argc, char** argv)
{
    const bool shouldRewrite = argc > 1 && std::string(argv[1]) == "--renew";
    int failures = 0;
    for (const Golden::session& item : Golden::listSessions()) {
        Golden::simulated_cluster cluster;
        item.play(cluster);
        const std::string path = std::string(GOLDEN_FOLDER) + "/" + item.name + ".golden";
        if (shouldRewrite)
            std::ofstream(path) << cluster.text();
        const std::string expected = readFile(path);
        if (expected == cluster.text())
            continue;
        ++failures;
        std::cout << "session " << item.name << " differs from its file\n";
        printFirstDifference(expected, cluster.text());
    }
    std::cout << Golden::listSessions().size() << " sessions, " << failures << " differ\n";
    return failures == 0 ? 0 : 1;
}
