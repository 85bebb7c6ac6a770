#pragma once

#include "jobs/orders.h"

#include <functional>
#include <vector>

namespace Pistachio::Jobnode
{

/// Asks the service that knows which minions may run a step.
class AdviceClient
{
public:
    AdviceClient() = default;
    AdviceClient(const AdviceClient &) = delete;
    AdviceClient &operator=(const AdviceClient &) = delete;
    virtual ~AdviceClient() = default;

    using Answered = std::function<void(bool answered, std::vector<Jobs::ApprovedMinion> approved)>;

    /// \param answered called exactly once, later
    virtual void ask(const Jobs::AdviceRequest &request, Answered answered) = 0;

    /// Answers all calls under way, and later ones at once, as unanswered.
    virtual void close() = 0;
};

} // namespace Pistachio::Jobnode
