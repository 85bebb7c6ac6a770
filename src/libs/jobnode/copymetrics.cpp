#include "jobnode/copymetrics.h"

#include "metrics/registry.h"

namespace Pistachio::Jobnode
{

CopyMetrics::CopyMetrics(Metrics::Registry &metrics)
    : metrics_(metrics)
{
}

void CopyMetrics::update(const Jobs::CopyCounts &counts)
{
    // Every copy that ends is counted as won or lost, so nothing else has changed if these haven't.
    if (counts.started == exposed_.started && counts.won == exposed_.won && counts.lost == exposed_.lost)
        return;
    metrics_.add("task_copies_total{event=\"started\"}", counts.started - exposed_.started);
    metrics_.add("task_copies_total{event=\"won\"}", counts.won - exposed_.won);
    metrics_.add("task_copies_total{event=\"lost\"}", counts.lost - exposed_.lost);
    metrics_.set("task_copies_discarded_core_seconds", counts.discardedCoreSeconds);
    exposed_ = counts;
}

} // namespace Pistachio::Jobnode
