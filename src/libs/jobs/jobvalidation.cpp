#include "jobs/jobvalidation.h"

#include <jobs.pb.h>

#include <set>
#include <string>
#include <utility>

namespace Pistachio::Jobs
{

namespace
{

constexpr std::size_t maxPayloadBytes = 4000;
constexpr int maxSteps = 256;
constexpr std::uint64_t maxTasks = 10'000; ///< over all occurrences; bounds the memory of one job
constexpr std::uint32_t maxOccurrences = 1000;

Error invalid(const std::string &text)
{
    return failure(ErrorCode::InvalidArgument, text);
}

Result<void> checkStep(const Wire::JobStep &step, std::uint32_t number)
{
    const std::string name = "step " + std::to_string(number);
    if (step.tasks() == 0)
        return invalid(name + " has no tasks");
    if (step.milli_cores() < 0 || step.memory_mb() < 0 || step.accelerators() < 0 || step.estimate_ms() < 0)
        return invalid(name + " has a negative amount");
    std::set<std::uint32_t> seen;
    for (const auto other : step.depends_on()) {
        if (other >= number)
            return invalid(name + " depends on step " + std::to_string(other) + ", which is not an earlier one");
        if (!seen.insert(other).second)
            return invalid(name + " names step " + std::to_string(other) + " twice");
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
    if (spec.interval_ms() < 0)
        return invalid("the interval is negative");
    std::uint64_t tasks = 0;
    for (int number = 0; number < spec.steps_size(); ++number) {
        BOOST_OUTCOME_TRYV(checkStep(spec.steps(number), static_cast<std::uint32_t>(number)));
        tasks += spec.steps(number).tasks();
    }
    if (tasks * std::max(1U, spec.repeat_count()) > maxTasks)
        return invalid("the job has more than " + std::to_string(maxTasks) + " tasks");
    return success();
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
    }
    return success();
}

} // namespace Pistachio::Jobs
