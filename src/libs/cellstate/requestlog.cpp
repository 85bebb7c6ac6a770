#include "cellstate/requestlog.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Pistachio::Cellstate::Internal
{

std::uint64_t fingerprintOf(const Wire::CellCommand &command)
{
    Wire::CellCommand change = command;
    change.clear_request_id();
    change.clear_proposed_unix_ms();
    if (change.has_apply_sheet())
        change.mutable_apply_sheet()->clear_capacities();
    const std::string bytes = change.SerializeAsString();
    return XXH3_64bits(bytes.data(), bytes.size());
}

const Wire::StoredRequest *RequestLog::find(const std::string &requestId) const
{
    const auto found = numberOf_.find(requestId);
    return found == numberOf_.end() ? nullptr : &requests_[found->second - firstNumber_];
}

void RequestLog::add(Wire::StoredRequest request)
{
    bytes_ += request.ByteSizeLong();
    while (!requests_.empty() && (requests_.size() >= keptRequests || bytes_ > keptRequestBytes))
        dropOldest();
    numberOf_.emplace(request.request_id(), firstNumber_ + requests_.size());
    requests_.push_back(std::move(request));
}

void RequestLog::expire(std::int64_t nowUnixMs)
{
    while (!requests_.empty() && requests_.front().proposed_unix_ms() + keptRequestsMs < nowUnixMs)
        dropOldest();
}

void RequestLog::dropOldest()
{
    bytes_ -= requests_.front().ByteSizeLong();
    numberOf_.erase(requests_.front().request_id());
    requests_.pop_front();
    ++firstNumber_;
}

} // namespace Pistachio::Cellstate::Internal
