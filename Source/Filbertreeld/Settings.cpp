#include "Filbertreeld/Settings.h"

#include "Common/Text.h"

#include <iostream>
#include <map>

#include <CLI/CLI.hpp>

namespace Filbertreeld {

namespace {

    constexpr uint64_t maxPort = 65535;
    constexpr std::chrono::milliseconds maxDuration { 3600000 };

    /// Values of the options that name an enumerator, before they are parsed.
    struct raw_settings {
        std::string logLevel { "info" };
        std::string policy { "cheapest" };
    };

    const std::map<std::string, Common::log_level> logLevels {
        { "debug", Common::log_level::Debug },
        { "info", Common::log_level::Info },
        { "warning", Common::log_level::Warning },
        { "error", Common::log_level::Error },
    };

    const std::map<std::string, Routing::policy> policies {
        { "cheapest", Routing::policy::CheapestInTarget },
        { "round-robin", Routing::policy::RoundRobin },
        { "least-reported", Routing::policy::LeastReported },
        { "nearest", Routing::policy::Nearest },
    };

    std::string environmentName(const std::string& flag)
    {
        std::string name = "FILBERTREEL_";
        for (const char letter : flag.substr(2))
            name.push_back(letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(letter))));
        return name;
    }

    template <typename value_type>
    void addOption(CLI::App& app, const std::string& flag, value_type& value, const std::string& help)
    {
        app.add_option(flag, value, help)->envname(environmentName(flag))->capture_default_str();
    }

    void addMilliseconds(CLI::App& app, const std::string& flag, std::chrono::milliseconds& value, const std::string& help)
    {
        app.add_option_function<int64_t>(
               flag, [&value](int64_t count) { value = std::chrono::milliseconds(count); }, help + " (milliseconds)")
            ->envname(environmentName(flag))
            ->default_str(std::to_string(value.count()));
    }

    void addAddressOptions(CLI::App& app, node_settings& settings)
    {
        addOption(app, "--node", settings.node.value, "Name of this node, unique among the entry nodes");
        addOption(app, "--zone", settings.zone.value, "Availability zone of this instance");
        addOption(app, "--region", settings.region.value, "Region of this instance");
        addOption(app, "--http-listen", settings.httpListen, "IP number and port to listen on for callers and operators");
        addOption(app, "--http-advertise", settings.httpAdvertise, "IP number and port given to callers (default: --http-listen)");
        addOption(app, "--peer-listen", settings.peerListen, "IP number and port to listen on for the other entry nodes");
        addOption(app, "--peer-advertise", settings.peerAdvertise, "IP number and port given to peers (default: --peer-listen)");
        addOption(app, "--peer", settings.peers, "Peer address of another entry node; may be repeated");
        addOption(app, "--table-url", settings.tableUrl, "URL of the table service");
        addOption(app, "--cloud-url", settings.cloudUrl, "URL of the cloud's API");
        addOption(app, "--operator-key", settings.operatorKey, "Key that operators authenticate with; preferably set by environment variable");
    }

    void addLimitOptions(CLI::App& app, node_settings& settings, raw_settings& raw)
    {
        addOption(app, "--log-level", raw.logLevel, "debug, info, warning or error");
        addOption(app, "--policy", raw.policy, "cheapest, or a baseline: round-robin, least-reported, nearest");
        addOption(app, "--max-body-bytes", settings.maxBodyBytes, "Maximum size of a request body in bytes");
        addOption(app, "--max-headers", settings.maxHeaders, "Maximum number of headers of a request");
        addOption(app, "--max-connections", settings.maxConnections, "Maximum number of connections of callers");
        addOption(app, "--max-in-flight", settings.maxInFlight, "Maximum number of requests in flight");
        addMilliseconds(app, "--read-timeout", settings.readTimeout, "Timeout for receiving a complete request");
        addMilliseconds(app, "--write-timeout", settings.writeTimeout, "Timeout for one write to a caller");
        addMilliseconds(app, "--address-ttl", settings.addressTimeToLive, "How long callers may cache the address response");
        addMilliseconds(app, "--notice", settings.notice, "Time from a stop signal to the termination of the instance");
        addMilliseconds(app, "--reconnect-grace", settings.reconnectGrace, "How long work continues for a disconnected caller");
        addMilliseconds(app, "--list-interval", settings.listInterval, "Interval between reads of the cloud's instance list");
        addMilliseconds(app, "--load-interval", settings.loadInterval, "Interval between reads of an endpoint's load");
        addMilliseconds(app, "--probe-interval", settings.probeInterval, "Interval between probes of a linked peer");
    }

    bool isAddress(const std::string& text)
    {
        const size_t colon = text.rfind(':');
        if (colon == std::string::npos || colon == 0)
            return false;
        const auto port = Common::parseUnsigned(text.substr(colon + 1));
        const bool isNumeric = text.substr(0, colon).find_first_not_of("0123456789.") == std::string::npos;
        return port && *port > 0 && *port <= maxPort && isNumeric;
    }

    bool isUrl(const std::string& text)
    {
        constexpr std::string_view prefix = "http://";
        return text.substr(0, prefix.size()) == prefix && isAddress(text.substr(prefix.size()));
    }

    struct setting_checker {
        std::vector<invalid_setting> invalidSettings;

        void require(bool isAllowed, const std::string& setting, const std::string& value, const std::string& allowed)
        {
            if (!isAllowed)
                invalidSettings.push_back({ setting, value.empty() ? "missing" : value, allowed });
        }

        void requireAddress(const std::string& setting, const std::string& value)
        {
            require(isAddress(value), setting, value, "IP:PORT with a numeric IP address and a port from 1 to 65535");
        }

        void requireUrl(const std::string& setting, const std::string& value)
        {
            require(isUrl(value), setting, value, "http://IP:PORT with a numeric IP address");
        }

        void requireDuration(const std::string& setting, std::chrono::milliseconds value)
        {
            const bool isInRange = value.count() > 0 && value <= maxDuration;
            require(isInRange, setting, std::to_string(value.count()), "1 to " + std::to_string(maxDuration.count()) + " ms");
        }

        void requireCount(const std::string& setting, uint64_t value)
        {
            require(value > 0, setting, std::to_string(value), "greater than 0");
        }
    };

    void printInvalidSettings(const std::vector<invalid_setting>& invalidSettings)
    {
        std::cerr << "filbertreeld: " << invalidSettings.size() << " invalid setting(s)\n";
        for (const invalid_setting& item : invalidSettings)
            std::cerr << "  " << item.setting << ": " << item.value << "; allowed: " << item.allowed << "\n";
    }

    template <typename choice>
    void parseChoice(const std::map<std::string, choice>& choices, const std::string& setting, const std::string& text, choice& value, setting_checker& checker)
    {
        const auto found = choices.find(text);
        if (found != choices.end()) {
            value = found->second;
            return;
        }
        std::string allowed;
        for (const auto& [choiceName, choiceValue] : choices)
            allowed += (allowed.empty() ? "" : ", ") + choiceName;
        checker.require(false, setting, text, allowed);
    }

} // namespace

std::vector<invalid_setting> checkSettings(const node_settings& settings)
{
    setting_checker checker;
    const bool isValidName = !settings.node.value.empty() && settings.node.value.find_first_of(".:/ ") == std::string::npos;
    checker.require(isValidName, "--node", settings.node.value, "a name without '.', ':', '/' or spaces");
    checker.require(!settings.zone.value.empty(), "--zone", "", "the instance's availability zone");
    checker.require(!settings.region.value.empty(), "--region", "", "the instance's region");
    checker.requireAddress("--http-listen", settings.httpListen);
    checker.requireAddress("--http-advertise", settings.httpAdvertise);
    checker.requireAddress("--peer-listen", settings.peerListen);
    checker.requireAddress("--peer-advertise", settings.peerAdvertise);
    for (const std::string& peer : settings.peers)
        checker.requireAddress("--peer", peer);
    checker.requireUrl("--table-url", settings.tableUrl);
    checker.requireUrl("--cloud-url", settings.cloudUrl);
    checker.requireCount("--max-body-bytes", settings.maxBodyBytes);
    checker.requireCount("--max-headers", settings.maxHeaders);
    checker.requireCount("--max-connections", settings.maxConnections);
    checker.requireCount("--max-in-flight", settings.maxInFlight);
    checker.requireDuration("--read-timeout", settings.readTimeout);
    checker.requireDuration("--write-timeout", settings.writeTimeout);
    checker.requireDuration("--address-ttl", settings.addressTimeToLive);
    checker.requireDuration("--notice", settings.notice);
    checker.requireDuration("--reconnect-grace", settings.reconnectGrace);
    checker.requireDuration("--list-interval", settings.listInterval);
    checker.requireDuration("--load-interval", settings.loadInterval);
    checker.requireDuration("--probe-interval", settings.probeInterval);
    return checker.invalidSettings;
}

tl::expected<node_settings, early_exit> parseSettings(int argc, char** argv)
{
    node_settings settings;
    raw_settings raw;
    CLI::App app { "filbertreeld: the entry node of filbertreel. Exit codes: 0 stopped gracefully, 1 failed to start, 2 invalid settings." };
    addAddressOptions(app, settings);
    addLimitOptions(app, settings, raw);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        const int code = app.exit(error);
        return tl::unexpected(early_exit { code == 0 ? exitOk : exitBadSettings });
    }
    if (settings.httpAdvertise.empty())
        settings.httpAdvertise = settings.httpListen;
    if (settings.peerAdvertise.empty())
        settings.peerAdvertise = settings.peerListen;
    setting_checker checker { checkSettings(settings) };
    parseChoice(logLevels, "--log-level", raw.logLevel, settings.logLevel, checker);
    parseChoice(policies, "--policy", raw.policy, settings.policy, checker);
    if (checker.invalidSettings.empty())
        return settings;
    printInvalidSettings(checker.invalidSettings);
    return tl::unexpected(early_exit { exitBadSettings });
}

} // namespace Filbertreeld
