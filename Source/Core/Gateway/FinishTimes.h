#pragma once

/// @file
/// How long the requests of each route take from their arrival to the end of their answer, as this node has observed it.
/// Pure functions.

#include "Common/Ids.h"
#include "Scheduling/Work.h"

#include <map>
#include <optional>

namespace Gateway {

/// High estimates: they follow longer observations fast and shorter ones slowly. Assumed until observed.
struct finish_time {
    double plainMs { 150 }; ///< Of a plain request.
    double firstEventMs { 600 }; ///< Of a model request, to its first event.
    double msPerOutputToken { 20 }; ///< Of a model request, after its first event.
};

using finish_time_map = std::map<Common::route_name, finish_time>;

/// Records a request that was answered whole.
/// @param times changed in place.
/// @param route of the request.
/// @param model its size; empty for a plain request.
/// @param firstEventMs from its arrival to the beginning of its answer.
/// @param totalMs from its arrival to the end of its answer.
void recordFinish(finish_time_map& times, const Common::route_name& route, const std::optional<Scheduling::model_request>& model, double firstEventMs, double totalMs);

/// @param times observed so far.
/// @param route of a request.
/// @param model its size; empty for a plain request.
/// @param predictedFirstEventMs what the scheduler predicts for it now.
/// @return milliseconds until its answer is expected to end.
double expectFinishMs(const finish_time_map& times, const Common::route_name& route, const std::optional<Scheduling::model_request>& model, double predictedFirstEventMs);

} // namespace Gateway
