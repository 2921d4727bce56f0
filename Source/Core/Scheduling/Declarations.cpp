#include "Scheduling/Declarations.h"

#include <algorithm>
#include <utility>

namespace Scheduling {

namespace {

    void dropOldest(declaration_map& declarations)
    {
        const auto oldest = std::min_element(declarations.begin(), declarations.end(), [](const auto& left, const auto& right) {
            return left.second.declaredAt < right.second.declaredAt;
        });
        declarations.erase(oldest);
    }

    /// @return the entry of this start, which is added when there is none; null when a later start is known.
    declaration* findOrAdd(declaration_map& declarations, const Common::endpoint_id& id, Fleet::start_time started)
    {
        if (!declarations.contains(id) && declarations.size() >= maxDeclarations)
            dropOldest(declarations);
        declaration& entry = declarations.try_emplace(id, declaration { started }).first->second;
        if (started < entry.started)
            return nullptr;
        if (entry.started < started)
            entry = declaration { started };
        return &entry;
    }

} // namespace

bool declareLeaving(declaration_map& declarations, const Common::endpoint_id& id, Fleet::start_time started, Common::instant now)
{
    declaration* entry = findOrAdd(declarations, id, started);
    if (!entry)
        return false;
    entry->declaredAt = now;
    return !std::exchange(entry->isLeaving, true);
}

void declareBackoff(declaration_map& declarations, const Common::endpoint_id& id, Fleet::start_time started, Common::instant end, Common::instant now)
{
    declaration* entry = findOrAdd(declarations, id, started);
    if (!entry)
        return;
    entry->declaredAt = now;
    entry->backoffEnd = std::max(entry->backoffEnd, end);
}

bool declareBrittle(declaration_map& declarations, const Common::endpoint_id& id, Fleet::start_time started, std::optional<double> rejections, Common::instant now)
{
    // Most endpoints are never brittle and need no entry.
    if (!rejections && !findDeclaration(declarations, id, started))
        return false;
    declaration* entry = findOrAdd(declarations, id, started);
    if (!entry)
        return false;
    entry->declaredAt = now;
    return std::exchange(entry->bearableRejections, rejections) != rejections;
}

const declaration* findDeclaration(const declaration_map& declarations, const Common::endpoint_id& id, Fleet::start_time started)
{
    const auto found = declarations.find(id);
    return found != declarations.end() && found->second.started == started ? &found->second : nullptr;
}

} // namespace Scheduling
