#include "jobnode/descriptorbudget.h"

#include <algorithm>

namespace Pistachio::Jobnode
{

namespace
{

constexpr std::size_t percent = 100;
constexpr std::size_t mostMetrics = 16;

DescriptorBudget shares(std::size_t limit, std::size_t calls, std::size_t served, std::size_t internal)
{
    DescriptorBudget budget;
    budget.calls = std::max<std::size_t>(1, limit * calls / percent);
    budget.served = std::max<std::size_t>(1, limit * served / percent);
    budget.internal = std::max<std::size_t>(1, limit * internal / percent);
    budget.metrics = std::clamp<std::size_t>(limit / percent, 1, mostMetrics);
    return budget;
}

} // namespace

DescriptorBudget DescriptorBudget::forControl(std::size_t limit)
{
    return shares(limit, 55, 20, 10);
}

DescriptorBudget DescriptorBudget::forEntry(std::size_t limit)
{
    return shares(limit, 20, 55, 10);
}

} // namespace Pistachio::Jobnode
