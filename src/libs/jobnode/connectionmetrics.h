#pragma once

#include <cstddef>

namespace Pistachio::Metrics
{
class Registry;
}

namespace Pistachio::Jobnode
{

struct DescriptorBudget;

/// How many connections a process has open, and how many calls wait for one.
struct ConnectionCounts {
    std::size_t calls = 0;
    std::size_t waitingCalls = 0;
    std::size_t served = 0;
    std::size_t internal = 0;
};

/// Sets a gauge for what is open and one for what is allowed, for each share of the descriptors.
void exposeConnections(Metrics::Registry &metrics, const DescriptorBudget &budget, const ConnectionCounts &counts);

} // namespace Pistachio::Jobnode
