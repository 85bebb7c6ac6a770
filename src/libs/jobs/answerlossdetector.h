#pragma once

#include "core/time.h"

#include <deque>

namespace Pistachio::Jobs
{

/// Detects that answers from responsive minions get lost on the way, as opposed to minions that don't respond.
class AnswerLossDetector
{
public:
    /// Records that a minion answered again shortly after an unanswered order.
    void recordLoss(TimePoint now);

    /// \return whether several answers were lost within a short time.
    [[nodiscard]] bool isLossy(TimePoint now) const;
    void clear() { answerLosses_.clear(); }

private:
    std::deque<TimePoint> answerLosses_; ///< times of the most recent losses
};

} // namespace Pistachio::Jobs
