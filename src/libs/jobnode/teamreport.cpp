#include "jobnode/teamreport.h"

#include "jobs/jobscheduler.h"
#include "jobs/teamstate.h"
#include "logging/logger.h"
#include "metrics/registry.h"

#include <chrono>
#include <string>

namespace Pistachio::Jobnode
{

using Logging::LogLevel;

namespace
{

constexpr Duration metricsInterval = 2s; ///< looks at all runs and waiting steps
constexpr Duration lineInterval = 10s; ///< of the lines of each team
constexpr std::size_t namedTeams = 100;

/// \return the text as the value of a label, which ends at a quotation mark.
std::string escaped(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        if (c == '\n') {
            result += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            result += '\\';
        result += c;
    }
    return result;
}

void setMetrics(Metrics::Registry &metrics, const Jobs::TeamState &state)
{
    const auto label = "{team=\"" + escaped(state.name) + "\"}";
    const auto set = [&](const char *name, double value) { metrics.set(name + label, value); };
    set("team_jobs_waiting", static_cast<double>(state.waitingJobs));
    set("team_jobs_running", static_cast<double>(state.runningJobs));
    set("team_jobs_refused", static_cast<double>(state.refused));
    set("team_share", state.share);
    set("team_milli_cores", static_cast<double>(state.held.milliCores));
    set("team_milli_cores_cap", static_cast<double>(state.cap.milliCores));
    set("team_memory_mb", static_cast<double>(state.held.memoryMb));
    set("team_memory_mb_cap", static_cast<double>(state.cap.memoryMb));
    set("team_accelerators", static_cast<double>(state.held.accelerators));
    set("team_accelerators_cap", static_cast<double>(state.cap.accelerators));
    set("team_oldest_wait_seconds", std::chrono::duration<double>(state.oldestWait).count());
}

} // namespace

TeamReport::TeamReport(Logging::Logger &logger, Metrics::Registry &metrics)
    : logger_(logger)
    , metrics_(metrics)
{
}

void TeamReport::update(TimePoint now, const Jobs::JobScheduler &scheduler)
{
    if (now < nextMetrics_)
        return;
    nextMetrics_ = now + metricsInterval;
    const bool writesLines = scheduler.isLeading() && now >= nextLines_;
    if (writesLines)
        nextLines_ = now + lineInterval;
    const auto states
        = Jobs::teamStates(scheduler.teamUsage(), scheduler.queue(), scheduler.teamRates(), now, namedTeams);
    for (const auto &state : states) {
        setMetrics(metrics_, state);
        if (!writesLines)
            continue;
        logger_.write(LogLevel::Info, "team-state",
                      {{"team", state.name},
                       {"waiting_jobs", state.waitingJobs},
                       {"running_jobs", state.runningJobs},
                       {"runs", state.runs},
                       {"refused", state.refused},
                       {"share", state.share},
                       {"held_milli_cores", state.held.milliCores},
                       {"cap_milli_cores", state.cap.milliCores},
                       {"held_memory_mb", state.held.memoryMb},
                       {"cap_memory_mb", state.cap.memoryMb},
                       {"held_accelerators", state.held.accelerators},
                       {"cap_accelerators", state.cap.accelerators},
                       {"oldest_wait_ms", state.oldestWait / 1ms}});
    }
}

} // namespace Pistachio::Jobnode
