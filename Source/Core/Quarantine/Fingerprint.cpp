#include "Quarantine/Fingerprint.h"

#include "Common/Hash.h"

#include <iterator>

namespace Quarantine {

namespace {

    /// Keeps a prompt part and a request's target with the same text apart.
    constexpr std::string_view promptPartKind = "part";
    constexpr std::string_view requestKind = "request";

    uint64_t hashAll(uint64_t seed, std::initializer_list<std::string_view> texts)
    {
        uint64_t hash = seed;
        for (const std::string_view text : texts)
            hash = Common::hash64(text, hash);
        return hash;
    }

} // namespace

std::vector<fingerprint> fingerprintsOf(const request_identity& identity, const Scheduling::model_request* model)
{
    const uint64_t seed = hashAll(0, { identity.service.value, identity.account.value });
    std::vector<fingerprint> fingerprints { { hashAll(seed, { requestKind, identity.method, identity.target, identity.body }) } };
    if (!model || model->parts.empty())
        return fingerprints;
    for (auto part = model->parts.begin(); part != std::prev(model->parts.end()); ++part)
        fingerprints.push_back({ hashAll(seed, { promptPartKind, part->id }) });
    return fingerprints;
}

} // namespace Quarantine
