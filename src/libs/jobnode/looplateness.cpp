#include "jobnode/looplateness.h"

#include "logging/logger.h"
#include "metrics/registry.h"

#include <algorithm>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{
constexpr Duration reportInterval = 1s;
constexpr Duration loggedLateness = 50ms; ///< a third of what an order may take
} // namespace

LoopLateness::LoopLateness(Logging::Logger &logger, Metrics::Registry &metrics)
    : logger_(logger)
    , metrics_(metrics)
{
}

void LoopLateness::record(TimePoint due, TimePoint now)
{
    most_ = std::max(most_, now - due);
    if (now < nextReport_)
        return;
    nextReport_ = now + reportInterval;
    const auto most = std::exchange(most_, Duration::zero());
    metrics_.set("loop_late_seconds", std::chrono::duration<double>(most).count());
    if (most >= loggedLateness)
        logger_.write(Logging::LogLevel::Warning, "loop-late", {{"most_ms", most / 1ms}});
}

} // namespace Pistachio::Jobnode
