#include "cellstate/demand.h"

#include <algorithm>
#include <limits>
#include <queue>
#include <utility>
#include <vector>

namespace Pistachio::Cellstate::Internal
{

namespace
{

std::int64_t saturatingSum(std::int64_t left, std::int64_t right)
{
    std::int64_t sum = 0;
    return __builtin_add_overflow(left, right, &sum) ? std::numeric_limits<std::int64_t>::max() : sum;
}

std::int64_t endOf(const Sheet::Booking &booking)
{
    return booking.endUnixS == 0 ? std::numeric_limits<std::int64_t>::max() : booking.endUnixS;
}

Resources largerOfEach(const Resources &left, const Resources &right)
{
    return {std::max(left.milliCores, right.milliCores), std::max(left.memoryBytes, right.memoryBytes),
            std::max(left.accelerators, right.accelerators)};
}

} // namespace

Resources saturatingSum(const Resources &left, const Resources &right)
{
    return {saturatingSum(left.milliCores, right.milliCores), saturatingSum(left.memoryBytes, right.memoryBytes),
            saturatingSum(left.accelerators, right.accelerators)};
}

Resources totalOf(const Sheet::Booking &booking)
{
    return booking.resources.times(booking.tasks);
}

Resources peakDemand(std::span<const Sheet::Booking *const> bookings, std::int64_t fromUnixS)
{
    std::vector<std::pair<std::int64_t, const Sheet::Booking *>> starts;
    for (const Sheet::Booking *booking : bookings) {
        if (endOf(*booking) > fromUnixS)
            starts.emplace_back(std::max(booking->startUnixS, fromUnixS), booking);
    }
    std::ranges::stable_sort(starts, {}, [](const auto &start) { return start.first; });

    using Ending = std::pair<std::int64_t, const Sheet::Booking *>;
    const auto endsLater = [](const Ending &left, const Ending &right) { return left.first > right.first; };
    std::priority_queue<Ending, std::vector<Ending>, decltype(endsLater)> running(endsLater);
    Resources current;
    Resources peak;
    for (const auto &[start, booking] : starts) {
        for (; !running.empty() && running.top().first <= start; running.pop())
            current -= totalOf(*running.top().second);
        current = saturatingSum(current, totalOf(*booking));
        running.emplace(endOf(*booking), booking);
        peak = largerOfEach(peak, current);
    }
    return peak;
}

} // namespace Pistachio::Cellstate::Internal
