#pragma once

/// @file
/// Quarantine of requests under which endpoints go down. Requests are recognised by their fingerprints: those with a
/// fingerprint under which several endpoints went down and which never got an answer are refused at all nodes; one node
/// tries them again from time to time. Reads no clock and no socket.

#include "Quarantine/CrashChance.h"
#include "Quarantine/StoredQuarantine.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace Quarantine {

/// Endpoints that must have gone down under a fingerprint before it is quarantined.
constexpr size_t crashesToQuarantine = 3;
/// From this number on, a request with the fingerprint isn't sent to another endpoint after one may have run it.
constexpr size_t crashesToStopRetries = 2;
/// Crashes that are more likely than this to be chance don't count against a fingerprint.
constexpr double maxChanceToQuarantine = 0.001;
constexpr double maxChanceToStopRetries = 0.02;
/// Endpoints that go down within a shorter time under requests that were at all of them may have a common cause, such as the
/// loss of a zone.
constexpr milliseconds minCrashSpan { 200 };
/// Crashes kept for a fingerprint.
constexpr size_t maxCrashesKept = 16;
/// A fingerprint that was answered within this time is sound.
constexpr milliseconds soundMemory { 30000 };
/// Time from the quarantine to the first trial; it doubles with each trial that fails, up to maxTrialDoublings times.
constexpr milliseconds firstTrialInterval { 60000 };
constexpr uint32_t maxTrialDoublings = 5;
/// Interval at which a node tries a fingerprint whose crashes another fingerprint explains: requests with both fingerprints caused them all.
constexpr milliseconds explainedTrialInterval { 5000 };
/// A fingerprint is forgotten when no request with it has come for this time.
constexpr milliseconds suspectRetention { 600000 };
/// Interval at which nodes repeat which fingerprints are quarantined, for nodes that have started or were cut off since.
constexpr milliseconds repeatInterval { 2000 };
constexpr size_t maxSuspects = 2048;
/// Each further crash keeps a suspect as long as if it had been seen so much later.
constexpr milliseconds retentionPerCrash { 30000 };
constexpr size_t maxSoundEntries = 16384;

enum class statement_kind : uint32_t {
    Crash = 1, ///< An endpoint went down under the fingerprint.
    Sound = 2, ///< A request with the fingerprint was answered.
    Quarantined = 3,
};

/// What one node tells others about a fingerprint.
struct quarantine_statement {
    statement_kind kind { statement_kind::Crash };
    fingerprint subject;
    endpoint_start crashed {}; ///< Set for Crash.
    milliseconds age { 0 }; ///< Since the crash, or since the last request with the quarantined fingerprint.
    uint32_t trials { 0 }; ///< Of the quarantined fingerprint, failed ones.
    Common::service_name service {}; ///< Of the endpoint that went down; set for Crash.
    milliseconds exposure { 0 }; ///< Time for which the request was at that endpoint.
};

struct outgoing_statement {
    quarantine_statement statement;
    std::optional<Common::node_id> receiver; ///< Empty: all nodes.
};

/// A fingerprint under which at least one endpoint went down.
struct suspect_record {
    Common::service_name service; ///< Of its crashes.
    crash_map crashes; ///< At most maxCrashesKept.
    Common::instant lastSeen; ///< Of a crash, or of a request with the quarantined fingerprint.
    bool isReportedHere { false }; ///< This node has told others of a crash.
    bool isQuarantined { false };
    uint32_t trials { 0 };
    Common::instant nextTrial;
    Common::instant nextExplainedTrial;
};

/// Fingerprints that were answered recently, at this node or at another one that said so.
struct sound_memory {
    std::unordered_map<fingerprint, Common::instant> answeredAt;
    std::deque<std::pair<Common::instant, fingerprint>> order; ///< Oldest first; may contain outdated entries.
};

enum class suspect_change {
    Suspected,
    Quarantined,
    Tried, ///< A request with a quarantined fingerprint is let through.
    Released, ///< Answered, or forgotten.
};

/// @return the name used in logs.
const char* nameOf(suspect_change change);

/// A change of a fingerprint's state, for the log.
struct suspect_event {
    fingerprint subject;
    suspect_change change { suspect_change::Suspected };
    size_t crashes { 0 };
};

struct quarantine_state {
    Common::node_id self;
    std::set<Common::node_id> peers;
    std::unordered_map<fingerprint, suspect_record> suspects;
    sound_memory sound;
    crash_history history;
    std::vector<outgoing_statement> outgoing; ///< To be sent; emptied by the sender.
    std::vector<stored_quarantine> unstored; ///< To be written to the store; emptied by the writer.
    std::vector<suspect_event> events; ///< To be logged; emptied by the logger.
    Common::instant lastRepeat;
};

/// @return the fingerprints that weren't answered within soundMemory.
std::vector<fingerprint> unprovenAmong(const quarantine_state& state, const std::vector<fingerprint>& fingerprints, Common::instant now);

/// An endpoint went down under a request at this node.
void recordCrash(quarantine_state& state, const unanswered_request& request, Common::instant now);

/// A request with these fingerprints got a complete answer.
void recordAnswer(quarantine_state& state, const std::vector<fingerprint>& fingerprints, Common::instant now);

/// Applies what another node said; an objection may be added to the outgoing statements.
void applyStatement(quarantine_state& state, const Common::node_id& from, const quarantine_statement& statement, Common::instant now);

/// Applies what the store knew when this node started.
void applyStored(quarantine_state& state, const std::vector<stored_quarantine>& items, Common::instant now);

/// Decides whether a new request may be sent to an endpoint.
struct quarantine_verdict {
    bool isTrial { false }; ///< It has a quarantined fingerprint, and this node may try it now.
    std::optional<milliseconds> refusedFor; ///< Set if the request must be refused: time to the next trial.
};

/// @param state a trial is recorded in it.
/// @param fingerprints of the request.
/// @param now current time.
quarantine_verdict judgeRequest(quarantine_state& state, const std::vector<fingerprint>& fingerprints, Common::instant now);

/// @param fingerprints of a request of which an attempt has ended.
/// @param mayHaveRun an endpoint may have run it.
/// @param isTrial of a quarantined fingerprint.
/// @param now current time.
/// @return whether the request may be sent to another endpoint.
bool maySendElsewhere(const quarantine_state& state, const std::vector<fingerprint>& fingerprints, bool mayHaveRun, bool isTrial, Common::instant now);

/// Forgets old entries and repeats which fingerprints are quarantined. To be called several times per second.
void refresh(quarantine_state& state, Common::instant now);

} // namespace Quarantine
