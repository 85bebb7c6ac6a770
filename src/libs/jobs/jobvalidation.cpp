#include "jobs/jobvalidation.h"

#include "jobs/teamdirectory.h"

#include <jobs.pb.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace Pistachio::Jobs
{

namespace
{

constexpr std::size_t maxPayloadBytes = 4000;
constexpr int maxSteps = 256;
constexpr std::uint64_t maxTasks = 10'000; ///< over all occurrences; bounds the memory of one job
constexpr std::uint32_t maxOccurrences = 1000;
constexpr std::int64_t maxAmount = std::numeric_limits<std::int32_t>::max(); ///< sums over all tasks fit into 64 bits
constexpr std::int64_t maxDurationMs = 10LL * 365 * 86'400'000;
constexpr std::int64_t maxUnixMs = 100'000'000'000'000; ///< in the year 5138
constexpr double maxSlackFactor = 1000;
constexpr double maxWeight = 1'000'000;

Error invalid(const std::string &text)
{
    return failure(ErrorCode::InvalidArgument, text);
}

template<class Number> bool isWithin(Number value, Number highest)
{
    return value >= 0 && value <= highest;
}

Result<void> checkStep(const Wire::JobStep &step, std::uint32_t number)
{
    const std::string name = "step " + std::to_string(number);
    if (step.tasks() == 0)
        return invalid(name + " has no tasks");
    for (const auto amount : {step.milli_cores(), step.memory_mb(), step.accelerators()}) {
        if (!isWithin(amount, maxAmount))
            return invalid(name + " has an amount out of range: " + std::to_string(amount));
    }
    for (const auto duration : {step.estimate_ms(), step.target_ms()}) {
        if (!isWithin(duration, maxDurationMs))
            return invalid(name + " has a duration out of range: " + std::to_string(duration) + " ms");
    }
    std::set<std::uint32_t> seen;
    for (const auto other : step.depends_on()) {
        if (other >= number)
            return invalid(name + " depends on step " + std::to_string(other) + ", which is not an earlier one");
        if (!seen.insert(other).second)
            return invalid(name + " names step " + std::to_string(other) + " twice");
    }
    return success();
}

Result<void> checkQueueNumbers(const Wire::JobQueue &queue)
{
    const auto longest = static_cast<double>(maxDurationMs);
    const std::pair<const char *, double> durations[]{
        {"timeout", static_cast<double>(queue.timeout_ms())},
        {"target latency", static_cast<double>(queue.target_latency_ms())},
        {"ticket validity", static_cast<double>(queue.ticket_validity_ms())},
        {"advice time", queue.advice_base_ms()},
        {"advice time per minion", queue.advice_per_minion_ms()},
    };
    for (const auto &[name, milliseconds] : durations) {
        if (!isWithin(milliseconds, longest))
            return invalid("queue " + queue.name() + " has a " + name + " that is negative or above ten years");
    }
    if (!isWithin(queue.slack_factor(), maxSlackFactor))
        return invalid("queue " + queue.name() + " has a slack factor of " + std::to_string(queue.slack_factor()));
    return success();
}

/// Errors are logged, so they name the team and not the key.
Result<void> checkKeys(const Wire::JobTeam &team, std::unordered_map<std::string_view, std::string_view> &owners)
{
    for (const auto &key : team.keys()) {
        if (key.empty())
            return invalid("team " + team.name() + " has an empty key");
        if (key.size() > TeamDirectory::maxKeyBytes)
            return invalid("team " + team.name() + " has a key of " + std::to_string(key.size()) + " bytes, more than "
                           + std::to_string(TeamDirectory::maxKeyBytes));
        const auto owner = owners.emplace(key, team.name()).first->second;
        if (owner != team.name())
            return invalid("teams " + std::string(owner) + " and " + team.name() + " share a key");
    }
    return success();
}

Result<void> checkTeams(const Wire::JobConfiguration &configuration)
{
    std::set<std::string_view> names;
    std::unordered_map<std::string_view, std::string_view> owners; // of keys
    for (const auto &team : configuration.teams()) {
        if (team.name().empty())
            return invalid("a team has no name");
        if (!names.insert(team.name()).second)
            return invalid("team " + team.name() + " is named twice");
        if (!isWithin(team.weight(), maxWeight))
            return invalid("team " + team.name() + " has a weight of " + std::to_string(team.weight()));
        for (const auto amount : {team.cap().milli_cores(), team.cap().memory_mb(), team.cap().accelerators()}) {
            if (!isWithin(amount, maxAmount))
                return invalid("team " + team.name() + " has a cap out of range: " + std::to_string(amount));
        }
        BOOST_OUTCOME_TRYV(checkKeys(team, owners));
    }
    return success();
}

} // namespace

Result<void> checkJob(const Wire::JobSpec &spec)
{
    if (spec.payload().size() > maxPayloadBytes)
        return invalid("the payload has " + std::to_string(spec.payload().size()) + " bytes, more than "
                       + std::to_string(maxPayloadBytes));
    if (spec.steps().empty())
        return invalid("the job has no steps");
    if (spec.steps_size() > maxSteps)
        return invalid("the job has more than " + std::to_string(maxSteps) + " steps");
    if (spec.repeat_count() > maxOccurrences)
        return invalid("the job repeats more than " + std::to_string(maxOccurrences) + " times");
    if (!isWithin(spec.interval_ms(), maxDurationMs))
        return invalid("the interval is out of range: " + std::to_string(spec.interval_ms()) + " ms");
    if (!isWithin(spec.start_at_unix_ms(), maxUnixMs))
        return invalid("the start is out of range: " + std::to_string(spec.start_at_unix_ms()) + " ms");
    std::uint64_t tasks = 0;
    for (int number = 0; number < spec.steps_size(); ++number) {
        BOOST_OUTCOME_TRYV(checkStep(spec.steps(number), static_cast<std::uint32_t>(number)));
        tasks += spec.steps(number).tasks();
    }
    if (tasks * std::max(1U, spec.repeat_count()) > maxTasks)
        return invalid("the job has more than " + std::to_string(maxTasks) + " tasks");
    return success();
}

bool canBeHeld(const Wire::JobSpec &spec)
{
    std::uint64_t tasks = 0;
    for (int number = 0; number < spec.steps_size(); ++number) {
        const auto &needed = spec.steps(number).depends_on();
        if (std::any_of(needed.begin(), needed.end(),
                        [number](std::uint32_t other) { return other >= static_cast<std::uint32_t>(number); }))
            return false;
        tasks += std::max(1U, spec.steps(number).tasks());
    }
    return tasks * std::max(1U, spec.repeat_count()) <= maxTasks;
}

std::int64_t limitedAmount(std::int64_t amount)
{
    return std::clamp<std::int64_t>(amount, 0, maxAmount);
}

void limitNumbers(Wire::JobSpec &spec)
{
    spec.set_start_at_unix_ms(std::clamp<std::int64_t>(spec.start_at_unix_ms(), 0, maxUnixMs));
    spec.set_interval_ms(std::clamp<std::int64_t>(spec.interval_ms(), 0, maxDurationMs));
    for (auto &step : *spec.mutable_steps()) {
        step.set_milli_cores(limitedAmount(step.milli_cores()));
        step.set_memory_mb(limitedAmount(step.memory_mb()));
        step.set_accelerators(limitedAmount(step.accelerators()));
        step.set_estimate_ms(std::clamp<std::int64_t>(step.estimate_ms(), 0, maxDurationMs));
        step.set_target_ms(std::clamp<std::int64_t>(step.target_ms(), 0, maxDurationMs));
    }
}

Result<void> checkConfiguration(const Wire::JobConfiguration &configuration)
{
    std::set<std::string> services;
    for (const auto &service : configuration.services()) {
        if (service.name().empty())
            return invalid("a service has no name");
        if (!services.insert(service.name()).second)
            return invalid("service " + service.name() + " is named twice");
    }
    std::set<std::pair<std::string, std::string>> places;
    for (const auto &queue : configuration.queues()) {
        if (!services.contains(queue.service()))
            return invalid("queue " + queue.name() + " names the unknown service '" + queue.service() + "'");
        if (!places.emplace(queue.host(), queue.path_prefix()).second)
            return invalid("two queues share " + queue.host() + queue.path_prefix());
        if (queue.timeout_ms() <= 0)
            return invalid("queue " + queue.name() + " has a timeout of " + std::to_string(queue.timeout_ms()) + " ms");
        BOOST_OUTCOME_TRYV(checkQueueNumbers(queue));
    }
    return checkTeams(configuration);
}

} // namespace Pistachio::Jobs
