#pragma once

#include "core/time.h"
#include "jobs/copybudget.h"
#include "jobs/copycounts.h"
#include "jobs/copypolicy.h"
#include "jobs/orders.h"
#include "jobs/taskname.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Jobs
{

class CopyPorts;
class Fleet;
class Job;
class JobStore;
class SchedulerPorts;
class WorkQueue;
struct Minion;
struct ResourceAmounts;
struct Run;

/// Watches the running tasks of steps that allow copies, and gives the late ones a second run where room is free that
/// no waiting task needs. CopyPolicy tells which are late; this class knows where they are and keeps the limits.
///
/// What it knows is relearned after a change of leader; the copies themselves are in the job store.
class CopyPlanner
{
public:
    /// \param fleet outlives this, as do the others
    CopyPlanner(const JobStore &store, Fleet &fleet, const WorkQueue &queue, CopyPorts &ports, SchedulerPorts &log);

    /// The start of a run was confirmed. Of no effect unless its step allows copies.
    void runStarted(const Job &job, const TaskName &task, const Run &run, const Minion &minion);
    /// A stored assignment is that of a copy.
    void copyAssigned(const TaskName &task, std::uint64_t run);
    /// The assignment of a copy was not stored.
    void copyDropped(TimePoint now, const TaskName &task);
    /// The end of a run was stored. Of no effect unless its step allows copies.
    /// \param isWinner whether it completed the task
    void runEnded(TimePoint now, const Job &job, const TaskName &task, const Run &run, bool isWinner);
    /// Ends the watch over a job that has ended. What its copies discard is still counted.
    void jobEnded(const std::string &job);
    void jobRemoved(const std::string &job);
    void clear();

    /// Assigns copies that are due; to be called at every tick, after planning.
    void plan(TimePoint now);

    [[nodiscard]] const CopyCounts &counts() const { return counts_; }

private:
    /// The first run of a task, while it works.
    struct Watched {
        std::uint64_t run = 0;
        MinionIncarnation minion;
        TimePoint nextCheck{};
        bool hasAsked = false; ///< for tickets
        std::uint32_t attempts = 0; ///< copies that were assigned and never started
    };
    /// What is known of a step with watched tasks.
    struct Step {
        std::vector<Duration> done; ///< run times of its ended tasks
        Duration longestDone{};
        std::set<std::uint32_t> copied; ///< tasks that have or had a copy
    };
    /// A task with two runs, until one of them has ended and the other can't complete it.
    struct Copy {
        Watched watched; ///< the first run
        std::uint64_t copy = 0; ///< zero: not stored yet
        TimePoint assignedAt{};
        double charged = 0; ///< core seconds
        std::uint64_t winner = 0; ///< zero: none yet
        bool hasFirstEnded = false;
    };

    /// \return the run if it still works and may get a copy, or null.
    [[nodiscard]] const Run *workingRun(const TaskName &task, const Watched &watched);
    void check(TimePoint now, const TaskName &task, Watched &watched, const Run &run);
    [[nodiscard]] CopyPolicy::RunningTask describe(TimePoint now, const Run &run, const Minion &minion) const;
    /// \return run times that the done tasks of the step have taken and the others' progress shows, but for one task.
    [[nodiscard]] std::vector<Duration> siblingTotals(const TaskName &task);
    [[nodiscard]] Minion *bestPlace(const Job &job, const TaskName &task, const Minion &first);
    /// \return whether tasks that wait in the service may need the room.
    [[nodiscard]] bool isRoomWanted(const std::string &service, const ResourceAmounts &demand);
    /// \return what forbids a copy, for the log; empty: nothing.
    [[nodiscard]] std::string_view obstacle(TimePoint now, const Job &job, const TaskName &task,
                                            const CopyPolicy::Reason &reason, double coreSeconds);
    /// Watches the first run again whose copy was not started.
    void restoreWatch(TimePoint now, const TaskName &task, const Watched &watched);
    void endCopy(TimePoint now, std::map<TaskName, Copy>::iterator copy, const Run &ended, bool isDiscarded);

    const JobStore &store_;
    Fleet &fleet_;
    const WorkQueue &queue_;
    CopyPorts &ports_;
    SchedulerPorts &log_;
    CopyBudget budget_;
    CopyCounts counts_;
    std::map<TaskName, Watched> watched_;
    std::map<StepName, Step> steps_;
    std::map<TaskName, Copy> copies_;
};

} // namespace Pistachio::Jobs
