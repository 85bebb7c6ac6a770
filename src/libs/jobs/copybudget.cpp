#include "jobs/copybudget.h"

#include "jobs/minion.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Pistachio::Jobs
{

namespace
{
constexpr double maxShare = 0.1; ///< of the work done lately; discarded work is charged to the operator
constexpr Duration memory = 60s; ///< work counts for this long on average; long enough for the longest usual tasks
constexpr double coresPerAccelerator = 8; ///< as discarded work is charged
} // namespace

void CopyBudget::addWork(TimePoint now, double coreSeconds)
{
    decay(now);
    work_ += coreSeconds;
}

void CopyBudget::charge(TimePoint now, double coreSeconds)
{
    decay(now);
    charged_ = std::max(0.0, charged_ + coreSeconds);
}

double CopyBudget::usedWith(TimePoint now, double coreSeconds)
{
    decay(now);
    const double budget = maxShare * work_;
    return budget > 0 ? (charged_ + coreSeconds) / budget : std::numeric_limits<double>::infinity();
}

double CopyBudget::coreSeconds(const ResourceAmounts &amounts, Duration time)
{
    const double cores = static_cast<double>(amounts.milliCores) / 1000
        + coresPerAccelerator * static_cast<double>(amounts.accelerators);
    return cores * std::chrono::duration<double>(time).count();
}

void CopyBudget::decay(TimePoint now)
{
    const auto passed = now - decayedAt_;
    if (passed <= Duration::zero())
        return;
    const double factor
        = std::exp(-std::chrono::duration<double>(passed).count() / std::chrono::duration<double>(memory).count());
    work_ *= factor;
    charged_ *= factor;
    decayedAt_ = now;
}

} // namespace Pistachio::Jobs
