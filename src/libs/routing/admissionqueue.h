#pragma once

#include "routing/request.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace Pistachio::Routing
{

/// Requests of one service that wait for a slot, served in turn by caller. Retries go first.
class AdmissionQueue
{
public:
    void push(const CallerId &caller, const RequestId &request);
    void pushRetry(const RequestId &request);
    /// \return the next request: a retry, or the oldest one of the caller whose turn it is.
    std::optional<RequestId> pop();
    /// \return whether the request was waiting.
    bool remove(const CallerId &caller, const RequestId &request);

    /// \return how many requests are served before the next one of this caller.
    [[nodiscard]] std::size_t positionFor(const CallerId &caller) const;
    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t sizeOf(const CallerId &caller) const;
    /// \return the caller with the most waiting requests.
    [[nodiscard]] std::optional<CallerId> callerWithMostWaiting() const;
    /// Removes the newest request of a caller.
    std::optional<RequestId> popNewest(const CallerId &caller);

private:
    std::map<CallerId, std::deque<RequestId>> byCaller_;
    std::deque<CallerId> callersInTurn_; ///< each caller with waiting requests once
    std::deque<RequestId> retries_;
    std::size_t size_ = 0;
};

} // namespace Pistachio::Routing
