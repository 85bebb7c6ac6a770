#pragma once

#include "jobs/copycounts.h"

namespace Pistachio::Metrics
{
class Registry;
}

namespace Pistachio::Jobnode
{

/// Exposes what second copies of tasks have done while this instance led.
class CopyMetrics
{
public:
    explicit CopyMetrics(Metrics::Registry &metrics);

    /// Adds what has been counted since the last call.
    void update(const Jobs::CopyCounts &counts);

private:
    Metrics::Registry &metrics_;
    Jobs::CopyCounts exposed_;
};

} // namespace Pistachio::Jobnode
