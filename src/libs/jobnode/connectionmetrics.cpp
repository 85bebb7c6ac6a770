#include "jobnode/connectionmetrics.h"

#include "jobnode/descriptorbudget.h"
#include "metrics/registry.h"

#include <string>
#include <string_view>

namespace Pistachio::Jobnode
{

namespace
{

void exposeShare(Metrics::Registry &metrics, std::string_view share, std::size_t open, std::size_t limit)
{
    const auto label = "{share=\"" + std::string(share) + "\"}";
    metrics.set("connections_open" + label, static_cast<double>(open));
    metrics.set("connections_limit" + label, static_cast<double>(limit));
}

} // namespace

void exposeConnections(Metrics::Registry &metrics, const DescriptorBudget &budget, const ConnectionCounts &counts)
{
    exposeShare(metrics, "calls", counts.calls, budget.calls);
    exposeShare(metrics, "served", counts.served, budget.served);
    exposeShare(metrics, "internal", counts.internal, budget.internal);
    metrics.set("calls_waiting_for_connection", static_cast<double>(counts.waitingCalls));
}

} // namespace Pistachio::Jobnode
