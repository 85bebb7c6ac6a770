#pragma once

#include "routing/request.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace Pistachio::Routing
{

/// The requests of one service that wait for a slot: retries first, then round robin over the callers.
class AdmissionQueue
{
public:
    void push(const CallerId &caller, const RequestId &request);
    void pushRetry(const RequestId &request);
    /// Removes the next request.
    /// \return a retry, else the oldest request of the next caller; nothing when the queue is empty.
    std::optional<RequestId> pop();
    /// \return whether the request was waiting.
    bool remove(const CallerId &caller, const RequestId &request);

    /// \return how many waiting requests would be served before a new request of this caller.
    [[nodiscard]] std::size_t positionFor(const CallerId &caller) const;
    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t sizeOf(const CallerId &caller) const;
    /// \return the caller with the most waiting requests, retries not counted; nothing when there is none.
    [[nodiscard]] std::optional<CallerId> callerWithMostWaiting() const;
    /// Removes the newest request of a caller.
    /// \return the removed request; nothing when the caller has none.
    std::optional<RequestId> popNewest(const CallerId &caller);

private:
    std::map<CallerId, std::deque<RequestId>> byCaller_;
    std::deque<CallerId> callersInTurn_; ///< every caller with waiting requests once, the next one in front
    std::deque<RequestId> retries_;
    std::size_t size_ = 0;
};

} // namespace Pistachio::Routing
