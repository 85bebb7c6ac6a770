#include "jobs/advicelimit.h"

#include "jobs/orders.h"

#include <jobs.pb.h>

#include <algorithm>
#include <chrono>

namespace Pistachio::Jobs
{

namespace
{
constexpr Duration networkMargin = 300ms; ///< new connections between regions
constexpr Duration longestLimit = 1min; ///< whatever a configuration says
} // namespace

Duration adviceLimit(const Wire::JobQueue &queue, std::size_t minions)
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    const Milliseconds answer(queue.advice_base_ms() + queue.advice_per_minion_ms() * static_cast<double>(minions));
    const auto limit = std::clamp<Milliseconds>(2 * answer + networkMargin, AdviceRequest::shortestLimit, longestLimit);
    return std::chrono::duration_cast<Duration>(limit);
}

} // namespace Pistachio::Jobs
