#include "jobs/taskname.h"

#include <jobs.pb.h>

namespace Pistachio::Jobs
{

std::string StepName::toString() const
{
    return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step);
}

std::string TaskName::toString() const
{
    return step.toString() + '.' + std::to_string(index);
}

TaskName toTaskName(const Wire::JobTask &message)
{
    return {{message.job(), message.occurrence(), message.step()}, message.index()};
}

void fill(Wire::JobTask &message, const TaskName &name)
{
    message.set_job(name.step.job);
    message.set_occurrence(name.step.occurrence);
    message.set_step(name.step.step);
    message.set_index(name.index);
}

} // namespace Pistachio::Jobs
