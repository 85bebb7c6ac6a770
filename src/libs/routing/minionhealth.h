#pragma once

#include "core/time.h"

#include <cstdint>
#include <string_view>

namespace Pistachio::Routing
{

/// Tracks the results of a minion's recent attempts, and whether the minion is ejected or returning.
class MinionHealth
{
public:
    /// A minion is slow when its smoothed latency exceeds that of its service by this factor.
    static constexpr int slowFactor = 4;

    /// \param latency time from sending the request to the end of the answer
    void recordSuccess(Duration latency);
    void recordFailure();
    /// Records that the minion had no free slot or could not be reached. It gets no requests during an exponential
    /// backoff.
    void recordRefusal(TimePoint now);

    /// \param serviceLatency the smoothed mean of the service; zero when unknown
    /// \return why the minion should be ejected, or an empty view.
    [[nodiscard]] std::string_view ejectionReason(Duration serviceLatency) const;
    /// Ejects the minion. The ejection time doubles with each ejection soon after the last one.
    void eject(TimePoint now);
    /// Ends the backoff and the ejection when their time is over. A minion returns with an allowance of one request.
    void update(TimePoint now);

    [[nodiscard]] bool isEjected() const { return state_ == State::Ejected; }
    /// \param healthyAllowance the allowance of a healthy minion
    /// \return the current allowance: 0 while ejected; after the return it starts at 1 and grows by one with each
    /// success.
    [[nodiscard]] std::uint32_t allowance(std::uint32_t healthyAllowance) const;
    [[nodiscard]] bool isBackingOff() const { return backingOff_; }
    [[nodiscard]] Duration latency() const { return latency_; }

private:
    enum class State : std::uint8_t {
        Healthy,
        Ejected,
        Returning,
    };

    State state_ = State::Healthy;
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t samples_ = 0;
    std::uint32_t returnAllowance_ = 0;
    std::uint32_t ejections_ = 0;
    Duration latency_{};
    TimePoint ejectedUntil_;
    TimePoint returnedAt_;
    bool backingOff_ = false;
    std::uint32_t consecutiveRefusals_ = 0;
    TimePoint backoffUntil_;
};

} // namespace Pistachio::Routing
