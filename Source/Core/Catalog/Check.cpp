#include "Catalog/Check.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace Catalog {

namespace {

    using finding_list = std::vector<finding>;

    bool isUsableHost(const std::string& host)
    {
        return !host.empty() && host.find_first_of(" :/") == std::string::npos;
    }

    bool isUsablePrefix(const std::string& prefix)
    {
        return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
    }

    void checkMatching(const route& item, finding_list& found)
    {
        if (!isUsableHost(item.host))
            found.push_back({ finding_kind::NeverMatches, item.name.value, fmt::format("no request has the host \"{}\"", item.host) });
        if (!isUsablePrefix(item.prefix))
            found.push_back({ finding_kind::Error, item.name.value, fmt::format("the prefix \"{}\" doesn't begin and end with a slash", item.prefix) });
    }

    void checkShares(const catalog& item, const route& owner, finding_list& found)
    {
        uint64_t weights = 0;
        for (const service_share& share : owner.shares) {
            weights += share.weight;
            if (!findService(item, share.service))
                found.push_back({ finding_kind::Error, owner.name.value, fmt::format("the service \"{}\" isn't defined", share.service.value) });
        }
        if (weights == 0)
            found.push_back({ finding_kind::NeverMatches, owner.name.value, "no service has a weight above zero" });
    }

    void checkTimes(const route& item, finding_list& found)
    {
        if (item.timeout.count() > 0 && item.target > item.timeout)
            found.push_back({ finding_kind::Contradiction, item.name.value, fmt::format("the target of {} ms is beyond the timeout of {} ms", item.target.count(), item.timeout.count()) });
        if (item.timeout.count() < 0 || item.target.count() < 0 || item.longestPause.count() < 0)
            found.push_back({ finding_kind::Error, item.name.value, "a time is negative" });
    }

    void checkKind(const route& item, finding_list& found)
    {
        if (item.kind == route_kind::Stream)
            return;
        if (item.isResumable)
            found.push_back({ finding_kind::Contradiction, item.name.value, "only streams can be resumed" });
        if (item.longestPause.count() > 0)
            found.push_back({ finding_kind::Contradiction, item.name.value, "only streams have a longest pause" });
    }

    void checkRoutes(const catalog& item, finding_list& found)
    {
        std::set<Common::route_name> names;
        std::map<std::pair<std::string, std::string>, Common::route_name> firstByMatch;
        for (const route& entry : item.routes) {
            if (!names.insert(entry.name).second)
                found.push_back({ finding_kind::Error, entry.name.value, "another route has the same name" });
            const auto [first, isNew] = firstByMatch.try_emplace({ entry.host, entry.prefix }, entry.name);
            if (!isNew)
                found.push_back({ finding_kind::NeverMatches, entry.name.value, fmt::format("\"{}\" before it has the same host and prefix", first->second.value) });
            if (entry.homes && entry.homes->empty())
                found.push_back({ finding_kind::NeverMatches, entry.name.value, "none of its home regions can be read, so that it is served nowhere" });
            checkMatching(entry, found);
            checkShares(item, entry, found);
            checkTimes(entry, found);
            checkKind(entry, found);
        }
    }

    void checkScaling(const service& item, finding_list& found)
    {
        if (!item.scaling)
            return;
        if (item.scaling->min > item.scaling->max)
            found.push_back({ finding_kind::Contradiction, item.name.value, fmt::format("at least {} endpoints a zone, but at most {}", item.scaling->min, item.scaling->max) });
        if (item.scaling->zonePrices.empty())
            found.push_back({ finding_kind::NeverMatches, item.name.value, "no zone has a price, so nothing is ever ordered" });
    }

    void checkServices(const catalog& item, finding_list& found)
    {
        std::set<Common::service_name> used;
        for (const route& entry : item.routes) {
            for (const service_share& share : entry.shares)
                used.insert(share.service);
        }
        for (const auto& [name, entry] : item.services) {
            if (!used.contains(name))
                found.push_back({ finding_kind::NeverMatches, name.value, "no route leads to the service" });
            checkScaling(entry, found);
        }
    }

    void checkAllowance(const account& item, finding_list& found)
    {
        const allowance& allowed = item.allowed;
        if (allowed.perSecond < 0 || allowed.burst < 0)
            found.push_back({ finding_kind::Error, item.id.value, "a limit is negative" });
        if (allowed.perSecond <= 0 && allowed.burst > 0)
            found.push_back({ finding_kind::NeverMatches, item.id.value, "a burst without a rate limits nothing" });
        if (allowed.perSecond > 0 && allowed.countsTokens && allowed.perSecond + allowed.burst < static_cast<double>(allowed.plainTokens))
            found.push_back({ finding_kind::Contradiction, item.id.value, fmt::format("a plain request counts {} tokens, more than a second and the burst allow", allowed.plainTokens) });
    }

    bool haveCommonHome(const route& first, const account& second)
    {
        if (!first.homes || !second.homes)
            return true;
        return std::any_of(first.homes->begin(), first.homes->end(), [&](const Common::region_name& region) { return second.homes->contains(region); });
    }

    void checkHomes(const catalog& item, const account& owner, finding_list& found)
    {
        if (owner.homes && owner.homes->empty()) {
            found.push_back({ finding_kind::NeverMatches, owner.id.value, "none of its home regions can be read, so that it is served nowhere" });
            return;
        }
        for (const route& entry : item.routes) {
            if (!entry.isPublic && !haveCommonHome(entry, owner))
                found.push_back({ finding_kind::Contradiction, owner.id.value, fmt::format("has no home region in common with the route \"{}\"", entry.name.value) });
        }
    }

    void checkAccounts(const catalog& item, finding_list& found)
    {
        std::map<std::string, Common::account_id> owners;
        if (item.requiresKeys && item.accounts.empty())
            found.push_back({ finding_kind::NeverMatches, "accounts", "no account is defined, so that no key is valid" });
        for (const account& entry : item.accounts) {
            if (entry.keys.empty())
                found.push_back({ finding_kind::NeverMatches, entry.id.value, "the account has no key" });
            for (const std::string& key : entry.keys) {
                const auto [owner, isNew] = owners.try_emplace(key, entry.id);
                if (!isNew)
                    found.push_back({ finding_kind::NeverMatches, entry.id.value, fmt::format("one of its keys belongs to \"{}\"", owner->second.value) });
            }
            checkAllowance(entry, found);
            checkHomes(item, entry, found);
        }
    }

    void checkLimits(const input_limits& limits, finding_list& found)
    {
        if (limits.headerBytes == 0 || limits.headerTimeout.count() <= 0 || limits.idleTimeout.count() <= 0)
            found.push_back({ finding_kind::Error, "limits", "no request can be read with a limit of zero" });
        if (limits.idleTimeout.count() > 0 && limits.idleTimeout < limits.headerTimeout)
            found.push_back({ finding_kind::Contradiction, "limits", fmt::format("connections may be idle for {} ms, less than a head may take ({} ms)", limits.idleTimeout.count(), limits.headerTimeout.count()) });
    }

    template <typename value>
    void compareValue(const char* name, const value& before, const value& after, std::string& text)
    {
        if (before != after)
            text += fmt::format("{}{}: {} -> {}", text.empty() ? "" : ", ", name, before, after);
    }

    std::string join(const std::optional<home_regions>& regions)
    {
        if (!regions)
            return "any";
        std::string text;
        for (const Common::region_name& region : *regions)
            text += (text.empty() ? "" : "+") + region.value;
        return text.empty() ? "none" : text;
    }

    std::string join(const std::vector<service_share>& shares)
    {
        std::string text;
        for (const service_share& share : shares)
            text += fmt::format("{}{}*{}", text.empty() ? "" : "+", share.service.value, share.weight);
        return text;
    }

    std::string compareEntries(const route& before, const route& after)
    {
        std::string text;
        compareValue("host", before.host, after.host, text);
        compareValue("prefix", before.prefix, after.prefix, text);
        compareValue("services", join(before.shares), join(after.shares), text);
        compareValue("kind", static_cast<int>(before.kind), static_cast<int>(after.kind), text);
        compareValue("timeout_ms", before.timeout.count(), after.timeout.count(), text);
        compareValue("target_ms", before.target.count(), after.target.count(), text);
        compareValue("longest_pause_ms", before.longestPause.count(), after.longestPause.count(), text);
        compareValue("priority", before.priority, after.priority, text);
        compareValue("max_endpoints", before.maxEndpoints, after.maxEndpoints, text);
        compareValue("public", before.isPublic, after.isPublic, text);
        compareValue("sticky", before.isSticky, after.isSticky, text);
        compareValue("resumable", before.isResumable, after.isResumable, text);
        compareValue("homes", join(before.homes), join(after.homes), text);
        return text;
    }

    std::string compareEntries(const service& before, const service& after)
    {
        std::string text;
        compareValue("health_path", before.healthPath, after.healthPath, text);
        compareValue("max_connections", before.maxConnections, after.maxConnections, text);
        compareValue("slots", before.engine ? before.engine->slots : 0, after.engine ? after.engine->slots : 0, text);
        compareValue("min_endpoints", before.scaling ? before.scaling->min : 0, after.scaling ? after.scaling->min : 0, text);
        compareValue("max_endpoints", before.scaling ? before.scaling->max : 0, after.scaling ? after.scaling->max : 0, text);
        compareValue("cold_per_second", before.coldPerSecond, after.coldPerSecond, text);
        compareValue("cold_ms", before.coldTime.count(), after.coldTime.count(), text);
        return text;
    }

    std::string compareEntries(const account& before, const account& after)
    {
        const std::set<std::string> keysBefore(before.keys.begin(), before.keys.end());
        const std::set<std::string> keysAfter(after.keys.begin(), after.keys.end());
        const auto missingIn = [](const std::set<std::string>& others) { return [&others](const std::string& key) { return !others.contains(key); }; };
        const auto added = std::count_if(keysAfter.begin(), keysAfter.end(), missingIn(keysBefore));
        const auto removed = std::count_if(keysBefore.begin(), keysBefore.end(), missingIn(keysAfter));
        std::string text;
        if (added + removed > 0)
            text = fmt::format("keys: {} added, {} removed", added, removed);
        compareValue("priority", before.priority ? std::to_string(*before.priority) : "route's", after.priority ? std::to_string(*after.priority) : "route's", text);
        compareValue("per_second", before.allowed.perSecond, after.allowed.perSecond, text);
        compareValue("burst", before.allowed.burst, after.allowed.burst, text);
        compareValue("counts_tokens", before.allowed.countsTokens, after.allowed.countsTokens, text);
        compareValue("plain_tokens", before.allowed.plainTokens, after.allowed.plainTokens, text);
        compareValue("homes", join(before.homes), join(after.homes), text);
        return text;
    }

    template <typename entry>
    void compareMaps(const char* kind, const std::map<std::string, const entry*>& before, const std::map<std::string, const entry*>& after, std::vector<difference>& differences)
    {
        for (const auto& [name, item] : before) {
            if (!after.contains(name))
                differences.push_back({ change_kind::Removed, fmt::format("{} {}", kind, name), {} });
        }
        for (const auto& [name, item] : after) {
            const auto known = before.find(name);
            const std::string text = known == before.end() ? std::string() : compareEntries(*known->second, *item);
            if (known == before.end())
                differences.push_back({ change_kind::Added, fmt::format("{} {}", kind, name), {} });
            else if (!text.empty())
                differences.push_back({ change_kind::Changed, fmt::format("{} {}", kind, name), text });
        }
    }

    std::map<std::string, const route*> routesByName(const catalog& item)
    {
        std::map<std::string, const route*> byName;
        for (const route& entry : item.routes)
            byName.emplace(entry.name.value, &entry);
        return byName;
    }

    std::map<std::string, const service*> servicesByName(const catalog& item)
    {
        std::map<std::string, const service*> byName;
        for (const auto& [name, entry] : item.services)
            byName.emplace(name.value, &entry);
        return byName;
    }

    std::map<std::string, const account*> accountsByName(const catalog& item)
    {
        std::map<std::string, const account*> byName;
        for (const account& entry : item.accounts)
            byName.emplace(entry.id.value, &entry);
        return byName;
    }

} // namespace

const char* nameOf(finding_kind kind)
{
    switch (kind) {
    case finding_kind::Error:
        return "error";
    case finding_kind::NeverMatches:
        return "never_matches";
    case finding_kind::Contradiction:
        return "contradiction";
    }
    return "unknown";
}

const char* nameOf(change_kind kind)
{
    switch (kind) {
    case change_kind::Added:
        return "added";
    case change_kind::Removed:
        return "removed";
    case change_kind::Changed:
        return "changed";
    }
    return "unknown";
}

std::vector<finding> checkCatalog(const catalog& item)
{
    finding_list found;
    checkRoutes(item, found);
    checkServices(item, found);
    checkAccounts(item, found);
    checkLimits(item.limits, found);
    return found;
}

std::vector<finding> checkVersion(const catalog& inForce, const catalog& next)
{
    if (next.version > inForce.version)
        return {};
    return { { finding_kind::Error, "version", fmt::format("{} isn't newer than {}, which is in force", next.version, inForce.version) } };
}

std::vector<difference> compareCatalogs(const catalog& inForce, const catalog& next)
{
    std::vector<difference> differences;
    compareMaps("route", routesByName(inForce), routesByName(next), differences);
    compareMaps("service", servicesByName(inForce), servicesByName(next), differences);
    compareMaps("account", accountsByName(inForce), accountsByName(next), differences);
    if (inForce.requiresKeys != next.requiresKeys)
        differences.push_back({ change_kind::Changed, "accounts", fmt::format("requires_keys: {} -> {}", inForce.requiresKeys, next.requiresKeys) });
    std::string limits;
    compareValue("header_bytes", inForce.limits.headerBytes, next.limits.headerBytes, limits);
    compareValue("body_bytes", inForce.limits.bodyBytes, next.limits.bodyBytes, limits);
    compareValue("header_timeout_ms", inForce.limits.headerTimeout.count(), next.limits.headerTimeout.count(), limits);
    compareValue("idle_timeout_ms", inForce.limits.idleTimeout.count(), next.limits.idleTimeout.count(), limits);
    if (!limits.empty())
        differences.push_back({ change_kind::Changed, "limits", limits });
    return differences;
}

} // namespace Catalog
