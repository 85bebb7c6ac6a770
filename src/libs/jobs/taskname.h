#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Pistachio::Wire
{
class JobTask;
}

namespace Pistachio::Jobs
{

/// One step of one occurrence of a job.
struct StepName {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const StepName &) const = default;

    /// \return "<job>.<occurrence>.<step>", as used in logs.
    [[nodiscard]] std::string toString() const;
};

/// One task of a job.
struct TaskName {
    StepName step;
    std::uint32_t index = 0;

    auto operator<=>(const TaskName &) const = default;

    /// \return "<job>.<occurrence>.<step>.<index>", as used in logs.
    [[nodiscard]] std::string toString() const;
};

/// \return the name in the message.
TaskName toTaskName(const Wire::JobTask &message);
void fill(Wire::JobTask &message, const TaskName &name);

} // namespace Pistachio::Jobs
