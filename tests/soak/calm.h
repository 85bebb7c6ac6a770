#pragma once

#include "core/time.h"

#include <algorithm>

namespace Pistachio::Soak
{

/// The platform's contactTimeoutMs: an instance is judged again this long after the last disturbance.
constexpr Duration contactTime = 3s;
/// The platform's catchUpS: an instance counts as lost until this long after it is back or a new one has started.
constexpr Duration catchUpTime = 4s;
/// The platform's recoveryS: requests have to be served this long after a lost majority is back.
constexpr Duration recoveryTime = 12s;

/// Tells when the cell is calm, so that the bounds of the platform's pages hold.
class Calm
{
public:
    /// To be called every few milliseconds.
    /// \param isDisturbed a fault is open or a process doesn't run
    /// \param hasMajority more than half of the control instances are whole and reach each other
    void observe(TimePoint now, bool isDisturbed, bool hasMajority)
    {
        if (isDisturbed)
            calmFrom_ = std::max(calmFrom_, now + contactTime);
        if (!hasMajority)
            calmFrom_ = std::max(calmFrom_, now + recoveryTime);
    }

    [[nodiscard]] bool isCalm(TimePoint now) const { return now >= calmFrom_; }

private:
    TimePoint calmFrom_ = TimePoint::min();
};

} // namespace Pistachio::Soak
