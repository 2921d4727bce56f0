#include "Dispatch/RefusedWork.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Dispatch {

uint64_t fingerprintOf(const request_entry& request)
{
    const uint64_t owner = Common::hash64(request.account.value, Common::hash64(request.work.name.value));
    return Common::hash64(request.body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), owner);
}

void refuseWork(refused_work& refused, uint64_t fingerprint, Common::instant now)
{
    std::erase_if(refused, [now](const auto& entry) { return entry.second <= now; });
    if (refused.size() >= maxRefusedWork)
        refused.erase(std::min_element(refused.begin(), refused.end(), [](const auto& left, const auto& right) { return left.second < right.second; }));
    refused[fingerprint] = now + refusalTime;
}

bool isWorkRefused(const refused_work& refused, uint64_t fingerprint, Common::instant now)
{
    const auto found = refused.find(fingerprint);
    return found != refused.end() && now < found->second;
}

} // namespace Dispatch
