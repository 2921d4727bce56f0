#include "Catalog/Catalog.h"

#include <algorithm>
#include <cctype>

namespace Catalog {

namespace {

    /// @return the host in lower case without its port.
    std::string normalizeHost(std::string_view host)
    {
        std::string normalized(host.substr(0, host.find(':')));
        for (char& letter : normalized)
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        return normalized;
    }

} // namespace

void indexCatalog(catalog& item)
{
    item.routesByHost.clear();
    item.accountByKey.clear();
    for (size_t index = 0; index < item.routes.size(); ++index)
        item.routesByHost[normalizeHost(item.routes[index].host)].push_back(index);
    for (auto& [host, indexes] : item.routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [&item](size_t left, size_t right) {
            return item.routes[left].prefix.size() > item.routes[right].prefix.size();
        });
    }
    for (size_t index = 0; index < item.accounts.size(); ++index) {
        for (const std::string& key : item.accounts[index].keys)
            item.accountByKey.emplace(key, index);
    }
}

const route* findRoute(const catalog& item, std::string_view host, std::string_view path)
{
    const auto found = item.routesByHost.find(normalizeHost(host));
    if (found == item.routesByHost.end())
        return nullptr;
    for (const size_t index : found->second) {
        if (path.starts_with(item.routes[index].prefix))
            return &item.routes[index];
    }
    return nullptr;
}

const account* findAccount(const catalog& item, std::string_view key)
{
    const auto found = item.accountByKey.find(key);
    return found == item.accountByKey.end() ? nullptr : &item.accounts[found->second];
}

Common::service_name chooseService(const route& item, double uniform)
{
    uint64_t total = 0;
    for (const service_share& share : item.shares)
        total += share.weight;
    double remaining = uniform * static_cast<double>(total);
    for (const service_share& share : item.shares) {
        remaining -= share.weight;
        if (remaining < 0)
            return share.service;
    }
    return {};
}

bool mayRetry(const route& item)
{
    return item.kind == route_kind::Idempotent || (item.kind == route_kind::Stream && item.isResumable);
}

const service* findService(const catalog& item, const Common::service_name& name)
{
    const auto found = item.services.find(name);
    return found == item.services.end() ? nullptr : &found->second;
}

} // namespace Catalog
