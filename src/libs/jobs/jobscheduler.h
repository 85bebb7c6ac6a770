#pragma once

#include "jobs/adviceledger.h"
#include "jobs/durationmodel.h"
#include "jobs/fleet.h"
#include "jobs/jobstoreobserver.h"
#include "jobs/losswatch.h"
#include "jobs/roomplan.h"
#include "jobs/speedtable.h"
#include "jobs/workqueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Pistachio::Wire
{
class JobCommand;
class JobQueue;
class JobStep;
} // namespace Pistachio::Wire

namespace Pistachio::Jobs
{

class JobStore;
class SchedulerPorts;
struct Task;

/// The time of an event as the process sees it.
struct EventTime {
    TimePoint time;
    std::int64_t unixMs = 0; ///< for due times only; it may jump
};

struct SchedulerSettings {
    Duration lease = 4000ms; ///< outlives a restart of all control instances and the election after it
    Duration stopTimeout = 400ms; ///< a stop takes at most this long
    Duration finishedRetention = 150s; ///< a finished job can be read for this long
    std::size_t advisedMinions = 32; ///< the most minions named in one request for advice
};

/// Gives the tasks of the job book to minions while this instance leads the job group.
///
/// An assignment is committed before its start order, an end before the minion may forget it. Only one run of a task
/// exists at a time: a task is assigned anew once its last run has ended, can't begin any more, or its lease is over.
class JobScheduler : public JobStoreObserver
{
public:
    JobScheduler(JobStore &store, SchedulerPorts &ports, const SchedulerSettings &settings);
    ~JobScheduler() override;

    /// This instance leads and has applied all earlier entries.
    /// \param fence above that of all earlier leaders
    void becomeLeader(const EventTime &now, std::uint64_t fencingToken);
    void loseLeadership();
    [[nodiscard]] bool isLeading() const { return leading_; }

    /// \param stored called once the report is stored, if it says something new; at once otherwise
    void minionReported(const EventTime &now, const MinionReport &report, const std::function<void(bool)> &stored);
    /// The minion has ended.
    void minionLeft(const EventTime &now, const MinionIncarnation &incarnation);

    void startAnswered(const EventTime &now, const StartOrder &order, const OrderAnswer &answer);
    void stopAnswered(const EventTime &now, const StopOrder &order, const OrderAnswer &answer);
    void leaseAnswered(const EventTime &now, const LeaseOrder &order, const LeaseAnswer &answer);
    void throttleAnswered(const EventTime &now, const ThrottleOrder &order, const OrderAnswer &answer);
    void adviceAnswered(const EventTime &now, const AdviceRequest &request, bool answered,
                        const std::vector<ApprovedMinion> &approved);

    /// A proposal was not appended.
    void proposalFailed(const EventTime &now, const Wire::JobCommand &command);

    /// Lets time pass; expected every 20 ms or so.
    void tick(const EventTime &now);

    /// Gives out work if something has changed.
    void planIfChanged(const EventTime &now);

    /// \return the active jobs of a queue, without repeating ones, of which no task is known to have begun.
    [[nodiscard]] std::uint32_t pendingJobs(const std::string &queueKey) const;

    /// \return whether a task of the job is known to have begun.
    [[nodiscard]] bool hasBegun(const Job &job) const;

    [[nodiscard]] const Fleet &fleet() const { return fleet_; }
    [[nodiscard]] const WorkQueue &queue() const { return queue_; }

    // JobStoreObserver
    void configurationChanged() override;
    void jobAccepted(const Job &job) override;
    void jobEnded(const Job &job) override;
    void jobRemoved(const std::string &job) override;
    void taskAssigned(const Job &job, const TaskName &task, std::uint64_t run) override;
    void taskEnded(const Job &job, const Wire::JobEnd &end, bool changed) override;
    void minionRecorded(const Wire::JobMinion &minion) override;
    void minionRemoved(const std::string &minion) override;
    void restored() override;

private:
    struct Placement {
        TaskName task;
        Minion *minion;
    };
    using WaitingEntry = std::pair<const StepName, WaitingStep>;
    /// What a step asks of minions, looked up once for all of them.
    struct StepNeeds {
        const Wire::JobQueue &queue;
        const Wire::JobStep &step;
        ResourceAmounts demand;
    };
    /// Of the usable minions of a service, each amount by itself.
    struct Bounds {
        ResourceAmounts mostRoom;
        ResourceAmounts leastCapacity;
    };
    enum class Tickets {
        Valid, ///< may start now
        Known, ///< may start once the ticket is renewed
    };

    // jobscheduler.cpp and bookevents.cpp
    void enqueueJob(const Job &job);
    void enqueue(const Job &job, const TaskName &task);
    void adoptRuns(const Job &job);
    [[nodiscard]] StepTimes timesOf(const Job &job, const Wire::JobQueue &queue, const StepName &step) const;
    [[nodiscard]] Duration expectedRunTime(const Job &job, const StepName &step) const;
    void learnRunTime(const Job &job, const TaskName &task, Duration took);
    [[nodiscard]] TimePoint acceptedTime(const Job &job, std::uint32_t occurrence) const;
    void releaseDueOccurrences();
    void forgetFinished();
    void proposeEnd(Wire::JobCommand &command, Minion &minion, const TaskName &task, std::uint64_t run, int how);
    void stopRunsOf(const Job &job);
    void stopRuns(const Job &job, const StepName &step);
    Minion *holder(const Task &task);

    // runorders.cpp and runlists.cpp
    void sendStart(Minion &minion, const TaskName &task, Run &run);
    void sendStop(Minion &minion, const TaskName &task, Run &run);
    void sendHold(Minion &minion, Duration wait);
    /// Takes note that an order was answered or not.
    void noteContact(Minion &minion, OrderOutcome outcome);
    void driveOrders();
    void driveRun(Minion &minion, const TaskName &task, Run &run);
    /// \param isRecent whether the list shows the progress up to about now
    void takeActive(Minion &minion, const ActiveRun &active, bool isRecent);
    void takeEnded(Minion &minion, const EndedRun &ended, Wire::JobCommand &command);
    void endUnlisted(Minion &minion, const LeaseAnswer &answer, TimePoint sent, Wire::JobCommand &command);
    void loseMinion(Minion &minion, std::string_view reason);
    void loseLapsed();
    void forgetMinion(const std::string &id);
    void pace(Minion &minion);

    // slowminions.cpp
    [[nodiscard]] bool tellsSpeed(const Minion &minion, const TaskName &task, const Run &run) const;
    void noteProgress(const Minion &minion, const ActiveRun &active, Run &run);
    [[nodiscard]] std::optional<double> speedElsewhere(const StepName &step, const Minion &minion);
    [[nodiscard]] std::optional<double> slowness(const Minion &minion);
    void judgeSpeed(Minion &minion);
    void moveFrom(Minion &minion, const TaskName &task, Run &run);

    // planning.cpp
    void plan();
    void planService(const std::string &service, Wire::JobCommand &command);
    bool placeStep(const WaitingEntry &entry, const Job &job, Wire::JobCommand &command);
    bool placeGang(const WaitingEntry &entry, const Job &job, Wire::JobCommand &command);
    void place(const Job &job, const TaskName &task, std::uint64_t run, Minion &minion, Wire::JobCommand &command);
    [[nodiscard]] bool isUsable(const Minion &minion) const;
    [[nodiscard]] std::optional<StepNeeds> needsOf(const Job &job, const StepName &name) const;
    [[nodiscard]] static bool mayRun(const Minion &minion, const StepNeeds &needs);
    /// \return bounds that tell at once of most steps under load that nothing can be done for them.
    [[nodiscard]] Bounds boundsOf(const std::string &service) const;
    /// \return the usable minions that may run the step, with \p tickets as far as it needs them.
    [[nodiscard]] std::vector<Minion *> minionsFor(const StepName &name, const StepNeeds &needs, Tickets tickets);
    [[nodiscard]] bool fits(const Minion &minion, const Wire::JobStep &step, const StepName &name) const;
    Minion *bestMinion(std::span<Minion *const> minions, const StepNeeds &needs, const TaskName &task,
                       const std::string &rack);
    bool askAdvice(const StepName &name, const Job &job);
    void askAhead(const Job &job, const StepName &name);

    // reservations.cpp
    void reserveFor(const WaitingEntry &entry, const Job &job);
    void keepRoom(const WaitingEntry &entry, const Job &job);
    [[nodiscard]] bool isPreemptable(const TaskName &task, const Run &run, const WaitingEntry &entry,
                                     const Wire::JobQueue &queue) const;
    void preemptFor(const WaitingEntry &entry, const StepNeeds &needs, Minion &minion);

    JobStore &store_;
    SchedulerPorts &ports_;
    const SchedulerSettings settings_;
    bool leading_ = false;
    std::uint64_t fencingToken_ = 0;
    EventTime now_;
    Fleet fleet_;
    WorkQueue queue_;
    AdviceLedger advice_;
    LossWatch losses_;
    SpeedTable speeds_;
    DurationModel durations_;
    std::map<std::string, std::vector<std::function<void(bool)>>> reportsToStore_; ///< by minion id
    std::map<std::int64_t, std::vector<TaskName>> notDue_; ///< first tasks of later occurrences, by due time
    std::map<TimePoint, std::vector<std::string>> finished_; ///< jobs by the time at which they may be forgotten
    std::set<std::string> reserved_; ///< minions kept for a gang in this round
    RoomPlan roomPlan_;
    std::map<std::string, TimePoint> services_; ///< that have waiting work
    std::set<TaskName> movedTasks_; ///< away from a minion where they stood still; each only once
    std::map<TaskName, std::uint32_t> preemptions_; ///< of active jobs
    std::set<std::string> begun_; ///< active jobs of which a start was confirmed
    bool dirty_ = true; ///< something changed since the last plan
    TimePoint lastPlan_{};
    TimePoint lastFullPlan_{};
    bool isFullRound_ = true;
    bool hasBacklog_ = false; ///< the last plan left many steps waiting
};

} // namespace Pistachio::Jobs
