#pragma once

#include "core/time.h"
#include "jobs/taskname.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>

namespace Pistachio::Soak
{

/// A task of an accepted long-running job that nobody has cancelled, as it is at one moment.
struct LastingTask {
    Jobs::TaskName name;
    std::uint64_t run = 0; ///< the last one; 0: it has never run
    bool isRunning = false;
    bool fits = false; ///< capacity is free for it twice over
};

/// The rule LOST of the platform's pages for tasks that last: from this long after the last run of a task on ...
constexpr Duration longestGap = 6s;
/// ... it must not have nothing running for this long on end while it fits and the cell is calm.
constexpr Duration idleLimit = 3s;

/// Reports long-running tasks that don't run again in time.
class LastingWatch
{
public:
    using Report = std::function<void(const std::string &violation)>;

    explicit LastingWatch(Report report);

    /// To be called every few milliseconds.
    /// \param tasks all of them; one that is not among them any more is forgotten
    void observe(TimePoint now, std::span<const LastingTask> tasks, bool isCalm);

private:
    struct State {
        std::uint64_t run = 0;
        TimePoint lastRun; ///< or when the task was seen first
        TimePoint idleSince; ///< while it should have run
        bool isReported = false;
    };

    void observe(TimePoint now, const LastingTask &task, State &state, bool isCalm);

    const Report report_;
    std::map<Jobs::TaskName, State> states_;
};

} // namespace Pistachio::Soak
