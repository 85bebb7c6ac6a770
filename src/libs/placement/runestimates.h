#pragma once

#include "core/identifier.h"
#include "core/resources.h"
#include "core/time.h"

#include <unordered_map>

namespace Pistachio::Placement
{

/// How long the tasks of a booking run, corrected by how long earlier ones ran. Used for backfill only.
class RunEstimates
{
public:
    /// \param booking the booking
    /// \param declared the declared run time, zero when unknown
    [[nodiscard]] Duration estimate(const BookingId &booking, Duration declared) const;

    /// Takes the run time of a task that completed.
    void recordCompletion(const BookingId &booking, Duration ran);
    void remove(const BookingId &booking) { smoothed_.erase(booking); }

private:
    std::unordered_map<BookingId, Duration> smoothed_;
};

/// The decayed peak of a task's reported usage. Reports lag, so a short drop does not count as room.
class UsagePeak
{
public:
    void recordUsage(TimePoint now, const Resources &usage);
    [[nodiscard]] const Resources &peak() const { return peak_; }

private:
    Resources peak_;
    TimePoint reported_{};
};

} // namespace Pistachio::Placement
