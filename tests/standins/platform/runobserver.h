#pragma once

#include "jobs/orders.h"

#include <string>

/// Hears what really happens on the simulated minions.
class RunObserver
{
public:
    virtual ~RunObserver() = default;

    virtual void runBegan(const std::string &minion, const Pistachio::Jobs::StartOrder &order) = 0;
    virtual void runEnded(const std::string &minion, const Pistachio::Jobs::EndedRun &end) = 0;
    /// \param number the ends up to this one need not be listed again
    virtual void endsAcknowledged(const std::string &minion, std::uint64_t number) = 0;
    /// The minion has lost all it ran and knew.
    virtual void minionCrashed(const std::string &minion) = 0;
};
