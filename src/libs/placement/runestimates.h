#pragma once

#include "core/identifier.h"
#include "core/resources.h"
#include "core/time.h"

#include <unordered_map>

namespace Pistachio::Placement
{

/// Estimates the run time of a booking's tasks from the tasks that completed. Used for backfill only.
class RunEstimates
{
public:
    /// \param booking the booking of the task
    /// \param declared run time, zero when unknown
    [[nodiscard]] Duration estimate(const BookingId &booking, Duration declared) const;

    /// Updates the estimate with the run time of a completed task.
    void recordCompletion(const BookingId &booking, Duration runTime);
    void remove(const BookingId &booking) { smoothedRunTimes_.erase(booking); }

private:
    std::unordered_map<BookingId, Duration> smoothedRunTimes_;
};

/// Decaying peak of a task's reported resource usage. Reports lag, so a short drop is not taken for free resources.
class UsagePeak
{
public:
    void recordUsage(TimePoint now, const Resources &usage);
    [[nodiscard]] const Resources &peak() const { return peak_; }

private:
    Resources peak_;
    TimePoint updatedAt_{};
};

} // namespace Pistachio::Placement
