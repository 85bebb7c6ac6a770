#include "jobs/answerlossdetector.h"

namespace Pistachio::Jobs
{

namespace
{
constexpr std::size_t minLosses = 3; ///< single losses occur when minions close connections
constexpr Duration lossWindow = 2s;
} // namespace

void AnswerLossDetector::recordLoss(TimePoint now)
{
    answerLosses_.push_back(now);
    if (answerLosses_.size() > minLosses)
        answerLosses_.pop_front();
}

bool AnswerLossDetector::isLossy(TimePoint now) const
{
    return answerLosses_.size() == minLosses && now < answerLosses_.front() + lossWindow;
}

} // namespace Pistachio::Jobs
