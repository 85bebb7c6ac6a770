#pragma once

#include "core/time.h"

#include <deque>

namespace Pistachio::Jobs
{

/// Tells whether answers of minions get lost, as opposed to minions that are silent.
class AnswerLossDetector
{
public:
    /// A minion answered soon after it had left an order unanswered.
    void recordLoss(TimePoint now);

    /// \return whether several answers got lost lately.
    [[nodiscard]] bool isLossy(TimePoint now) const;
    void clear() { answerLosses_.clear(); }

private:
    std::deque<TimePoint> answerLosses_; ///< the last few
};

} // namespace Pistachio::Jobs
