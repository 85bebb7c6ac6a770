#pragma once

#include "core/time.h"
#include "jobs/orders.h"
#include "jobs/stepadvice.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace Pistachio::Jobs
{

/// Which minions may run which step, as the advice service said. The answer for a step never changes, but tickets
/// expire, so that they are asked for again.
class AdviceLedger
{
public:
    /// \return what is known about the step.
    [[nodiscard]] const StepAdvice &about(const StepName &step) const;

    /// \return a ticket that is valid until \p until at least.
    [[nodiscard]] std::optional<std::string> ticket(const StepName &step, const std::string &minion,
                                                    TimePoint until) const;

    void asked(const AdviceRequest &request);
    void answered(TimePoint now, Duration validity, const StepName &step, std::span<const ApprovedMinion> approved);
    void failed(TimePoint now, const StepName &step);

    /// Forgets a ticket that a minion rejected.
    void rejected(const StepName &step, const std::string &minion);
    void forgetStep(const StepName &step) { steps_.erase(step); }
    void forgetMinion(const std::string &minion);
    void clear() { steps_.clear(); }

private:
    std::map<StepName, StepAdvice> steps_;
};

} // namespace Pistachio::Jobs
