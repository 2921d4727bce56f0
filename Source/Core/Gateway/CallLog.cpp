#include "Gateway/CallLog.h"

#include "Common/Log.h"
#include "Gateway/AttemptOutcome.h"

#include <cmath>

#include <fmt/format.h>

namespace Gateway {

void logAttempt(const call& item, attempt_end outcome)
{
    Common::logEvent(Common::log_level::Info, "attempt_repeated", { { "request", item.facts.attemptId }, { "end", nameOf(outcome) }, { "endpoint", item.current->where.endpoint.value }, { "status", item.current->status }, { "sends", item.sends } });
}

void logEnd(const call& item, std::string_view outcome, int status, Common::instant now)
{
    nlohmann::json fields { { "request", item.facts.attemptId }, { "outcome", outcome }, { "status", status }, { "ms", std::llround(toMs(now - item.arrived)) } };
    fields["catalog"] = item.catalog ? item.catalog->version : 0;
    if (item.route)
        fields["route"] = item.route->name.value;
    if (!item.account.value.empty())
        fields["account"] = item.account.value;
    if (item.overAllowance) {
        fields["allowance_left"] = std::llround(item.overAllowance->level);
        fields["allowance_share"] = item.overAllowance->share;
        fields["allowance_per_s"] = std::llround(Catalog::findAccount(*item.catalog, item.facts.key)->allowed.perSecond);
    }
    if (item.facts.timeBudget)
        fields["budget_ms"] = item.facts.timeBudget->count();
    if (item.firstByteMs > 0)
        fields["first_ms"] = std::llround(item.firstByteMs);
    if (item.current) {
        fields["endpoint"] = item.current->where.endpoint.value;
        fields["predicted_ms"] = std::llround(item.current->where.predictedMs);
        fields["fresh_tokens"] = std::llround(item.current->where.freshTokens);
        fields["sends"] = item.sends;
    }
    if (item.facts.model)
        fields["prompt_tokens"] = item.facts.model->promptTokens;
    Common::logEvent(Common::log_level::Info, "request_ended", std::move(fields));
}

std::string writeRequest(const call& item, const std::vector<Http::header>& lines)
{
    std::string bytes = fmt::format("{} {} HTTP/1.1\r\n", item.request.method, item.request.target);
    for (const Http::header& line : lines) {
        bytes += line.name;
        bytes += ": ";
        bytes += line.value;
        bytes += "\r\n";
    }
    if (!item.request.body.empty() || item.request.method == "POST" || item.request.method == "PUT")
        bytes += fmt::format("Content-Length: {}\r\n", item.request.body.size());
    bytes += "\r\n";
    bytes += item.request.body;
    return bytes;
}

} // namespace Gateway
