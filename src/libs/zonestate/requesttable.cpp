#include "zonestate/requesttable.h"

#include <zone.pb.h>

#include <algorithm>
#include <vector>

namespace Pistachio::ZoneState
{

namespace
{

constexpr std::int64_t retentionMs = 24LL * 3600 * 1000;
// Attempts remembered for each key. An entry gives up a claim within its request deadline, so that a claim older than
// this many later attempts can't still be on its way.
constexpr int rememberedAttempts = 16;

Wire::ZoneResult result(Wire::ZoneResultCode code, std::string message, const Wire::RequestRecord *record = nullptr)
{
    Wire::ZoneResult answer;
    answer.set_code(code);
    answer.set_message(std::move(message));
    if (record != nullptr)
        *answer.mutable_record() = *record;
    return answer;
}

bool hasFinished(const Wire::RequestRecord &record, const std::string &attempt)
{
    return std::find(record.finished_attempts().begin(), record.finished_attempts().end(), attempt)
        != record.finished_attempts().end();
}

void addFinished(Wire::RequestRecord &record, const std::string &attempt)
{
    if (hasFinished(record, attempt))
        return;
    record.add_finished_attempts(attempt);
    if (record.finished_attempts_size() > rememberedAttempts)
        record.mutable_finished_attempts()->erase(record.finished_attempts().begin());
}

} // namespace

RequestTable::RequestTable() = default;
RequestTable::~RequestTable() = default;
RequestTable::RequestTable(RequestTable &&) noexcept = default;
RequestTable &RequestTable::operator=(RequestTable &&) noexcept = default;

void RequestTable::setClaimed(Wire::RequestRecord &record, const Wire::ClaimRequest &request, std::int64_t unixMs)
{
    if (record.finished_unix_ms() != 0)
        finishedAt_.erase({record.finished_unix_ms(), record.key()});
    record.set_fingerprint(request.fingerprint());
    record.set_entry(request.entry());
    record.set_attempt(request.attempt());
    record.set_state(Wire::REQUEST_STATE_CLAIMED);
    record.set_outcome(Wire::REQUEST_OUTCOME_UNSPECIFIED);
    record.clear_answer();
    record.set_claimed_unix_ms(unixMs);
    record.set_finished_unix_ms(0);
    claimedBy_[request.entry()].insert(record.key());
}

void RequestTable::setFinished(Wire::RequestRecord &record, int outcome, std::int64_t unixMs)
{
    const auto claims = claimedBy_.find(record.entry());
    if (claims != claimedBy_.end()) {
        claims->second.erase(record.key());
        if (claims->second.empty())
            claimedBy_.erase(claims);
    }
    if (record.finished_unix_ms() != 0)
        finishedAt_.erase({record.finished_unix_ms(), record.key()});
    record.set_state(Wire::REQUEST_STATE_FINISHED);
    record.set_outcome(static_cast<Wire::RequestOutcome>(outcome));
    // Zero means "not finished", whatever the proposer's clock says.
    record.set_finished_unix_ms(std::max<std::int64_t>(unixMs, 1));
    finishedAt_.emplace(record.finished_unix_ms(), record.key());
}

Wire::ZoneResult RequestTable::claim(const Wire::ClaimRequest &request, std::int64_t unixMs)
{
    if (request.key().empty() || request.attempt().empty() || request.entry().empty())
        return result(Wire::ZONE_RESULT_REFUSED, "a claim needs a key, an attempt and an entry");
    std::unique_ptr<Wire::RequestRecord> &slot = records_[request.key()];
    if (!slot) {
        slot = std::make_unique<Wire::RequestRecord>();
        slot->set_key(request.key());
        setClaimed(*slot, request, unixMs);
        return result(Wire::ZONE_RESULT_ACCEPTED, {}, slot.get());
    }
    Wire::RequestRecord &record = *slot;
    // A record made by a finish that overtook its claim has no fingerprint.
    if (!record.fingerprint().empty() && record.fingerprint() != request.fingerprint())
        return result(Wire::ZONE_RESULT_FINGERPRINT_MISMATCH, "the key was used with another request");
    if (hasFinished(record, request.attempt()))
        return result(Wire::ZONE_RESULT_REFUSED, "the attempt has finished", &record);
    const bool free
        = record.state() == Wire::REQUEST_STATE_FINISHED && record.outcome() == Wire::REQUEST_OUTCOME_NOT_RUN;
    if (!free)
        return result(Wire::ZONE_RESULT_ALREADY_CLAIMED, {}, &record);
    setClaimed(record, request, unixMs);
    return result(Wire::ZONE_RESULT_ACCEPTED, {}, &record);
}

Wire::ZoneResult RequestTable::finish(const Wire::FinishRequest &request, std::int64_t unixMs)
{
    if (request.key().empty() || request.attempt().empty() || request.outcome() == Wire::REQUEST_OUTCOME_UNSPECIFIED)
        return result(Wire::ZONE_RESULT_REFUSED, "a finish needs a key, an attempt and an outcome");
    const auto found = records_.find(request.key());
    if (found == records_.end()) {
        // Without a claim nothing was sent, whatever the finish says.
        if (request.outcome() != Wire::REQUEST_OUTCOME_NOT_RUN)
            return result(Wire::ZONE_RESULT_REFUSED, "the key is not claimed");
        auto record = std::make_unique<Wire::RequestRecord>();
        record->set_key(request.key());
        record->set_attempt(request.attempt());
        record->set_claimed_unix_ms(unixMs);
        addFinished(*record, request.attempt());
        setFinished(*record, Wire::REQUEST_OUTCOME_NOT_RUN, unixMs);
        return result(Wire::ZONE_RESULT_ACCEPTED, {},
                      records_.emplace(request.key(), std::move(record)).first->second.get());
    }

    Wire::RequestRecord &record = *found->second;
    if (record.attempt() != request.attempt()) {
        if (request.outcome() != Wire::REQUEST_OUTCOME_NOT_RUN)
            return result(Wire::ZONE_RESULT_REFUSED, "another attempt holds the key", &record);
        addFinished(record, request.attempt());
        return result(Wire::ZONE_RESULT_ACCEPTED, {}, &record);
    }
    if (record.state() == Wire::REQUEST_STATE_FINISHED && record.outcome() == request.outcome())
        return result(Wire::ZONE_RESULT_ACCEPTED, "finished before", &record);
    // Only an unknown outcome may be resolved later; `run` and `not run` are what callers were told.
    if (record.state() == Wire::REQUEST_STATE_FINISHED && record.outcome() != Wire::REQUEST_OUTCOME_UNKNOWN)
        return result(Wire::ZONE_RESULT_REFUSED, "the attempt has finished with another outcome", &record);
    addFinished(record, request.attempt());
    setFinished(record, request.outcome(), unixMs);
    if (request.outcome() == Wire::REQUEST_OUTCOME_RUN && request.has_answer())
        *record.mutable_answer() = request.answer();
    return result(Wire::ZONE_RESULT_ACCEPTED, {}, &record);
}

std::size_t RequestTable::entrySilent(std::string_view entry, std::int64_t unixMs)
{
    const auto claims = claimedBy_.find(entry);
    if (claims == claimedBy_.end())
        return 0;
    const std::set<std::string> keys = claims->second;
    for (const std::string &key : keys)
        setFinished(*records_.at(key), Wire::REQUEST_OUTCOME_UNKNOWN, unixMs);
    return keys.size();
}

std::size_t RequestTable::expire(std::int64_t beforeUnixMs, std::int64_t unixMs)
{
    const std::int64_t limit = std::min(beforeUnixMs, unixMs - retentionMs);
    std::size_t dropped = 0;
    while (!finishedAt_.empty() && finishedAt_.begin()->first < limit) {
        records_.erase(finishedAt_.begin()->second);
        finishedAt_.erase(finishedAt_.begin());
        ++dropped;
    }
    return dropped;
}

const Wire::RequestRecord *RequestTable::find(std::string_view key) const
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : found->second.get();
}

std::set<std::string> RequestTable::claimingEntries() const
{
    std::set<std::string> entries;
    for (const auto &[entry, keys] : claimedBy_)
        entries.insert(entry);
    return entries;
}

void RequestTable::save(Wire::ZoneSnapshot &snapshot) const
{
    for (const auto &[key, record] : records_)
        *snapshot.add_requests() = *record;
}

Result<void> RequestTable::load(const Wire::ZoneSnapshot &snapshot)
{
    *this = RequestTable();
    for (const Wire::RequestRecord &record : snapshot.requests()) {
        if (!records_.emplace(record.key(), std::make_unique<Wire::RequestRecord>(record)).second)
            return failure(ErrorCode::Corrupt, "the snapshot holds the request key " + record.key() + " twice");
        if (record.state() == Wire::REQUEST_STATE_CLAIMED)
            claimedBy_[record.entry()].insert(record.key());
        else
            finishedAt_.emplace(record.finished_unix_ms(), record.key());
    }
    return success();
}

} // namespace Pistachio::ZoneState
