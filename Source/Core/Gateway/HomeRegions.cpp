#include "Gateway/HomeRegions.h"

#include "Gateway/Admission.h"

#include <algorithm>
#include <iterator>

namespace Gateway {

allowed_regions combineHomes(const Catalog::route& route, const Catalog::account* account)
{
    if (!account || !account->homes)
        return route.homes;
    if (!route.homes)
        return account->homes;
    std::set<Common::region_name> common;
    std::set_intersection(route.homes->begin(), route.homes->end(), account->homes->begin(), account->homes->end(), std::inserter(common, common.end()));
    return common;
}

allowed_regions findAllowedRegions(const gateway_state& state, const proxied_call& call)
{
    const Catalog::catalog* catalog = state.catalog.get();
    if (!catalog || !call.route)
        return {};
    const Catalog::route* route = call.route;
    if (call.catalog.get() != catalog) {
        const Catalog::route* current = Catalog::findRoute(*catalog, Http::findHeader(call.request.headers, "host"), pathOf(call.request.target));
        route = current ? current : call.route;
    }
    return combineHomes(*route, Catalog::findAccount(*catalog, call.facts.key));
}

bool maySendBody(const Scheduling::location& own, const allowed_regions& allowed, const Common::zone_name& zone)
{
    Scheduling::placement_limits limits;
    limits.onlyRegions = allowed;
    return Scheduling::mayUseZone(own, limits, zone);
}

} // namespace Gateway
