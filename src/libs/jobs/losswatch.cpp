#include "jobs/losswatch.h"

namespace Pistachio::Jobs
{

namespace
{
constexpr std::size_t lossesNeeded = 3; ///< single ones come with connections that minions close
constexpr Duration lossWindow = 2s;
} // namespace

void LossWatch::answerLost(TimePoint now)
{
    losses_.push_back(now);
    if (losses_.size() > lossesNeeded)
        losses_.pop_front();
}

bool LossWatch::isLossy(TimePoint now) const
{
    return losses_.size() == lossesNeeded && now < losses_.front() + lossWindow;
}

} // namespace Pistachio::Jobs
