#include "jobs/ticketmargin.h"

#include <algorithm>

namespace Pistachio::Jobs
{

namespace
{
constexpr Duration shortest = 150ms;
constexpr Duration delivery = 100ms; ///< of the start order, and of the ticket before it
constexpr int meanWeight = 8; ///< a sample counts as 1/8 of the mean
constexpr int deviationWeight = 4;
constexpr int deviations = 2; ///< above the mean
constexpr int largestShare
    = 4; ///< at most 1/4 of the validity, so that tickets of two requests in a row can be used together
} // namespace

void TicketMargin::recordCommit(Duration took)
{
    const Duration error = took - mean_;
    mean_ += error / meanWeight;
    deviation_ += (std::chrono::abs(error) - deviation_) / deviationWeight;
}

Duration TicketMargin::current(Duration validity) const
{
    const Duration needed = mean_ + deviations * deviation_ + delivery;
    return std::clamp(needed, shortest, std::max(shortest, validity / largestShare));
}

} // namespace Pistachio::Jobs
