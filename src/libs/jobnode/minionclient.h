#pragma once

#include "jobs/orders.h"

#include <functional>
#include <vector>

namespace Pistachio::Jobnode
{

/// Carries orders to minions, in whatever protocol they speak. Each call is answered exactly once, later.
class MinionClient
{
public:
    MinionClient() = default;
    MinionClient(const MinionClient &) = delete;
    MinionClient &operator=(const MinionClient &) = delete;
    virtual ~MinionClient() = default;

    using Answered = std::function<void(const Jobs::OrderAnswer &)>;

    virtual void start(const Jobs::StartOrder &order, Answered answered) = 0;
    virtual void stop(const Jobs::StopOrder &order, Answered answered) = 0;
    virtual void throttle(const Jobs::ThrottleOrder &order, Answered answered) = 0;
    virtual void renewLease(const Jobs::LeaseOrder &order, std::function<void(const Jobs::LeaseAnswer &)> answered) = 0;

    /// Answers all calls under way, and later ones at once, as unanswered.
    virtual void close() = 0;
};

} // namespace Pistachio::Jobnode
