#pragma once

#include "core/time.h"

#include <cstdint>
#include <string_view>

namespace Pistachio::Routing
{

/// What one minion's recent attempts say about it, and whether it is ejected or returning.
class MinionHealth
{
public:
    /// A minion that answers this many times slower than the mean of its service is slow.
    static constexpr int slowFactor = 4;

    /// \param latency from sending to the end of the answer
    void recordSuccess(Duration latency);
    void recordFailure();
    /// The minion took nothing on: it had no free slot or can't be reached. It gets nothing for a while that doubles.
    void recordRefusal(TimePoint now);

    /// \param serviceLatency the smoothed mean of the service; zero when unknown
    /// \return why the minion should be ejected, or an empty view.
    [[nodiscard]] std::string_view ejectionReason(Duration serviceLatency) const;
    /// Ejects the minion; the time doubles with each ejection that follows soon.
    void eject(TimePoint now);
    /// Lets an ejected minion return with one request at a time once its time is over.
    void update(TimePoint now);

    [[nodiscard]] bool isEjected() const { return state_ == State::Ejected; }
    /// \param full the allowance of a healthy minion
    /// \return the allowance for now: nothing when ejected, growing by one with each success on return.
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
    std::uint32_t consecutiveRefusals_ = 0; ///< since the last success
    TimePoint backoffUntil_;
};

} // namespace Pistachio::Routing
