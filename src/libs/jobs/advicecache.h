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
class AdviceCache
{
public:
    /// \return what is known about the step.
    [[nodiscard]] const StepAdvice &adviceFor(const StepName &step) const;

    /// \return a ticket that is valid until \p until at least.
    [[nodiscard]] std::optional<std::string> ticket(const StepName &step, const std::string &minion,
                                                    TimePoint until) const;

    void recordRequest(const AdviceRequest &request);
    void recordAnswer(TimePoint now, Duration validity, const StepName &step, std::span<const ApprovedMinion> approved);
    void recordFailure(TimePoint now, const StepName &step);

    /// Forgets a ticket that a minion rejected.
    void invalidateTicket(const StepName &step, const std::string &minion);
    void removeStep(const StepName &step) { steps_.erase(step); }
    void removeMinion(const std::string &minion);
    void clear() { steps_.clear(); }

private:
    std::map<StepName, StepAdvice> steps_;
};

} // namespace Pistachio::Jobs
