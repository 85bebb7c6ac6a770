#pragma once

#include "core/time.h"

namespace Pistachio::Jobs
{

/// Estimates how long before its expiry a ticket has to be used: from the choice of a minion until the start arrives
/// there, the assignment is committed, which takes longer while this process is busy.
class TicketMargin
{
public:
    /// Records the time from the proposal of an assignment to its commit.
    void recordCommit(Duration took);

    /// \param validity how long tickets are valid
    /// \return the margin, which leaves at least three quarters of a long enough validity.
    [[nodiscard]] Duration current(Duration validity) const;
    void clear() { *this = TicketMargin(); }

private:
    Duration mean_{};
    Duration deviation_{}; ///< mean absolute difference from mean_
};

} // namespace Pistachio::Jobs
