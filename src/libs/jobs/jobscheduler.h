#pragma once

#include "jobs/advicecache.h"
#include "jobs/answerlossdetector.h"
#include "jobs/capacityreservations.h"
#include "jobs/copyplanner.h"
#include "jobs/copyports.h"
#include "jobs/durationmodel.h"
#include "jobs/fastplacewait.h"
#include "jobs/fleet.h"
#include "jobs/jobstoreobserver.h"
#include "jobs/minionspeeds.h"
#include "jobs/retrybackoff.h"
#include "jobs/schedulersettings.h"
#include "jobs/teamorder.h"
#include "jobs/teamrates.h"
#include "jobs/teamusage.h"
#include "jobs/ticketmargin.h"
#include "jobs/timespent.h"
#include "jobs/workqueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace Pistachio::Wire
{
class JobCommand;
class JobEnd;
class JobQueue;
class JobRunConfirmation;
class JobStep;
class JobSubmission;
} // namespace Pistachio::Wire

namespace Pistachio::Jobs
{

class EndProof;
class JobStore;
class SchedulerPorts;
struct StepNeeds;
struct Task;

/// The time of an event on the local clocks.
struct EventTime {
    TimePoint time;
    std::int64_t unixMs = 0; ///< wall clock, used only for due times and job ages, as it may jump
};

/// Assigns the tasks of the job store to minions while this instance leads the job group.
///
/// An assignment is committed before its start order is sent, and an end before it is acknowledged to the minion. A
/// task is assigned again only once its last run has ended, can no longer begin, or has lost its lease. Only the task
/// of a step that allows copies may have a second run beside it, on another minion.
class JobScheduler : public JobStoreObserver, private CopyPorts
{
public:
    JobScheduler(JobStore &store, SchedulerPorts &ports, const SchedulerSettings &settings);
    ~JobScheduler() override;

    /// Starts scheduling; all entries of earlier leaders have been applied.
    /// \param fencingToken higher than that of all earlier leaders
    void becomeLeader(const EventTime &now, std::uint64_t fencingToken);
    void loseLeadership();
    [[nodiscard]] bool isLeading() const { return leading_; }

    /// \param stored called with true once a change is committed or if nothing must be stored, with false if the
    /// proposal failed or leadership was lost
    void minionReported(const EventTime &now, const MinionReport &report, const std::function<void(bool)> &stored);
    /// A minion has deregistered and ends once that is confirmed. Its runs are stopped first.
    /// \param incarnation the incarnation; one of time 0 isn't told apart from earlier ones
    /// \param confirmed called with true once nothing runs there or shortly afterwards, with false if this instance
    /// doesn't lead
    void minionLeft(const EventTime &now, const MinionIncarnation &incarnation, std::function<void(bool)> confirmed);

    void startAnswered(const EventTime &now, const StartOrder &order, const OrderAnswer &answer);
    void stopAnswered(const EventTime &now, const StopOrder &order, const OrderAnswer &answer);
    void leaseAnswered(const EventTime &now, const LeaseOrder &order, const LeaseAnswer &answer);
    void throttleAnswered(const EventTime &now, const ThrottleOrder &order, const OrderAnswer &answer);
    void adviceAnswered(const EventTime &now, const AdviceRequest &request, bool answered,
                        const std::vector<ApprovedMinion> &approved);

    /// Decides whether a submission that is not held may be proposed, and whether it is beyond its team's rate.
    /// \param submission with id, queue and team; a team that is not known has no rate
    TeamRates::Admission admit(const EventTime &now, const Wire::JobSubmission &submission);

    /// The proposal was not appended to the replicated log.
    void proposalFailed(const EventTime &now, const Wire::JobCommand &command);

    /// Sends due orders, expires leases and plans; to be called about every 20 ms.
    void tick(const EventTime &now);

    /// Plans if something has changed since the last round.
    void planIfChanged(const EventTime &now);

    /// \return the number of active, non-repeating jobs of a queue without a task that is known to have begun.
    [[nodiscard]] std::uint32_t pendingJobs(const std::string &queueKey) const;

    /// \return whether a task of the job is known to have begun.
    [[nodiscard]] bool hasBegun(const Job &job) const;

    [[nodiscard]] const Fleet &fleet() const { return fleet_; }
    [[nodiscard]] const WorkQueue &queue() const { return queue_; }
    [[nodiscard]] const TeamUsage &teamUsage() const { return teamUsage_; }
    [[nodiscard]] const TeamRates &teamRates() const { return teamRates_; }
    [[nodiscard]] const CopyCounts &copyCounts() const { return copies_.counts(); }

    // JobStoreObserver
    void configurationChanged() override;
    void jobAccepted(const Job &job) override;
    void jobEnded(const Job &job) override;
    void jobRemoved(const std::string &job) override;
    void taskAssigned(const Job &job, const TaskName &task, std::uint64_t run) override;
    void assignmentDropped(const Wire::JobAssignment &assignment) override;
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
    /// The requirements of a step on minions, looked up once per step.
    struct StepRequirements {
        const Wire::JobQueue &queue;
        const Wire::JobStep &step;
        ResourceAmounts demand; ///< what a task takes of a minion's capacity
    };
    /// The largest free amount and the smallest capacity among usable minions, for each resource separately.
    struct CapacityBounds {
        ResourceAmounts maxFree;
        ResourceAmounts maxFreeForLongRunning; ///< with the minions that only long-running tasks may use now
        ResourceAmounts minCapacity;
    };
    /// A run whose order was answered, or nulls if it is not in the phase of the order any more.
    struct AnsweredRun {
        Minion *minion = nullptr;
        Run *run = nullptr;
    };
    enum class Tickets {
        Valid, ///< may start now
        Known, ///< may start once the ticket is renewed
    };

    enum class Room {
        Now, ///< a task of the step fits at present
        Later, ///< it may fit once runs have ended
    };

    // jobscheduler.cpp and storeevents.cpp
    /// Forgets what is not in the store; what was learnt about run times stays.
    void clearState();
    void enqueueJob(const Job &job);
    void enqueue(const Job &job, const TaskName &task);
    void adoptRuns(const Job &job);
    void adoptRun(const Job &job, const TaskName &task, std::uint64_t number, const MinionIncarnation &incarnation);
    [[nodiscard]] StartDeadlines deadlinesOf(const Job &job, const Wire::JobQueue &queue, const StepName &step) const;
    [[nodiscard]] TimePoint acceptedTime(const Job &job, std::uint32_t occurrence) const;
    void enqueueDueTasks();
    void removeFinishedJobs();
    void proposeEnd(Wire::JobCommand &command, Minion &minion, const TaskName &task, std::uint64_t run, int runEnd,
                    const EndProof &proof);
    /// Logs an end that the minion hasn't listed, with what led to it.
    void logConcludedEnd(const Minion &minion, const TaskName &task, std::uint64_t run, const EndProof &proof);
    void addTimeSpent(const Job &job, const StepName &step, const Run &run);
    void stopRunsOf(const Job &job);
    void stopRuns(const Job &job, const StepName &step, StopReason reason);
    /// Stops the runs of a gang of which a member has ended, in case the earlier leader didn't.
    void stopPartOfGang(const Job &job, const StepName &step);
    Minion *minionOf(const Task &task);
    /// \return the minion that a run of the task is assigned to.
    Minion *minionOf(const Task &task, std::uint64_t run);
    /// Releases what an assignment reserved that is not stored, and lets its task wait again.
    void revertAssignment(const Wire::JobAssignment &assignment);
    /// Lets a run go on whose end is not stored.
    void revertEnd(const Wire::JobEnd &end);

    /// \return the minion that the order is for; null if it is not held, or if the order was sent by an earlier
    /// leadership of this process or before the minion was forgotten, when other orders and leases were known.
    template<class Order> [[nodiscard]] Minion *orderedMinion(const Order &order)
    {
        auto *minion = leading_ ? fleet_.find(order.minion) : nullptr;
        return minion && minion->fence == order.fence ? minion : nullptr;
    }
    /// Notes that a start is not under way any more.
    void settleStart(const StartOrder &order);

    // runtimes.cpp
    /// \return the expected run time on a minion of speed 1.
    [[nodiscard]] Duration expectedRunTime(const Job &job, const StepName &step) const;
    [[nodiscard]] Duration expectedRunTime(const Job &job, const StepName &step, const Minion &minion) const;
    /// \param took the run time on \p minion
    void learnRunTime(const Job &job, const TaskName &task, Minion &minion, const Run &run, Duration took);
    void learnSpeed(const Job &job, const TaskName &task, Minion &minion, Duration took);
    /// Updates what is derived from all speeds.
    void refreshSpeeds();
    void proposeSpeeds();

    // runorders.cpp
    void sendStart(Minion &minion, const TaskName &task, Run &run);
    void sendStop(Minion &minion, const TaskName &task, Run &run, StopReason reason);
    void sendLeaseRenewal(Minion &minion, Duration wait);
    /// Records whether a minion answered an order.
    void recordContact(Minion &minion, OrderOutcome outcome);
    /// Records the answer to an order about a run in \p phase.
    template<class Order> AnsweredRun recordAnswer(const Order &order, const OrderAnswer &answer, RunPhase phase);
    void giveUpStart(Minion &minion, const TaskName &task, const Run &run, const EndProof &proof);

    // orderretries.cpp
    [[nodiscard]] Duration idleRenewalInterval() const;
    /// \return how long a renewal of a minion with runs waits for an end.
    [[nodiscard]] Duration longPollTime() const;
    void sendDueOrders();
    [[nodiscard]] bool isRenewalDue(const Minion &minion) const;
    /// \param isStopConfirmed true: the stop of the run is confirmed, false: its order is under way
    /// \return whether there is such a run among those that the minion's lists lack.
    [[nodiscard]] static bool hasUnlistedRun(const Minion &minion, bool isStopConfirmed);
    template<class Visit> void forEachMinionFrom(std::string &cursor, std::size_t budget, const Visit &visit);
    void recordAttempt(Run &run, OrderOutcome outcome);
    [[nodiscard]] bool isRetryDue(const Minion &minion, const Run &run) const;
    /// \return whether an order was due.
    bool retryOrder(Minion &minion, const TaskName &task, Run &run);

    // leaseanswers.cpp
    /// \param isRecent whether the progress in the list is current
    void processActiveRun(Minion &minion, const ActiveRun &active, bool isRecent);
    /// Forgets what a later incarnation might run if the answer to the last renewal shows that there was none.
    void disproveLaterIncarnation(Minion &minion) const;
    /// Proposes the ends that an answer lists or shows.
    void processEnds(Minion &minion, const LeaseAnswer &answer);
    void processEndedRun(Minion &minion, const EndedRun &ended, Wire::JobCommand &command);
    /// Proposes the ends of runs of which \p answer shows that their stop is over.
    /// \param asked when the minion was asked for its lists
    void endStoppedRuns(Minion &minion, const LeaseAnswer &answer, TimePoint asked, Wire::JobCommand &command);
    void stopUnlistedRuns(Minion &minion, const LeaseAnswer &answer, TimePoint asked);

    // runorders.cpp
    void adjustThrottles(Minion &minion);

    // minionlifecycle.cpp
    /// Adds a minion that this leader has granted no lease; earlier leaders may have.
    Minion &addMinion(MinionReport report);
    /// Has a new incarnation stop the runs of the one before it.
    void takeOverRuns(Minion &minion, const std::map<TaskName, Run> &earlier);
    /// Has a minion that reports again stop the runs that were lost with it.
    void takeOverLostRuns(Minion &minion);
    void stopInLaterIncarnation(Minion &minion, const TaskName &task, const Run &earlier);
    /// Assumes that an incarnation which has taken the place of another one gets orders that were meant for it.
    /// \param mayStart whether a start may be among them
    void awaitFence(Minion &minion, bool mayStart) const;
    /// Remembers the runs of a minion that is removed until its lease is over.
    void keepRunsOf(const Minion &removed);
    /// \return whether the store has this run of the task assigned.
    [[nodiscard]] bool isCurrentRun(const TaskName &task, const Run &run) const;
    /// \return whether the store has this run of an existing task assigned to the minion, in whichever incarnation.
    [[nodiscard]] bool isAssignedTo(const TaskName &task, std::uint64_t run, const std::string &minion) const;
    [[nodiscard]] bool hasCurrentRun(const Minion &minion) const;
    void proposeLostRuns();
    /// Grants a minion no more leases, as another one answers or reports in its place.
    void suspendMinion(Minion &minion, std::string_view reason);
    /// Ends the runs of a silent minion that can't work there any more.
    void endRunsOf(Minion &minion);
    void expireLeases();
    /// Confirms deregistrations of minions that run nothing more, or after leaveLimit.
    void confirmLeaves();
    /// Asks a minion what became of its runs after its lease has expired: once, or again while it still reports.
    /// \return whether it has been asked and didn't answer.
    bool staysSilentAfterExpiry(Minion &minion, TimePoint expiredAt);
    void proposeMinionRemoval(const std::string &id);

    // runconfirmations.cpp
    /// Notes which runs the known incarnation of a minion has just listed, and which of them are to be recorded.
    void confirmRuns(Minion &minion);
    void proposeConfirmations();
    void revertConfirmation(const Wire::JobRunConfirmation &confirmation);

    // slowminions.cpp
    [[nodiscard]] bool isSpeedMeaningful(const Minion &minion, const TaskName &task, const Run &run) const;
    void recordProgress(const Minion &minion, const ActiveRun &active, Run &run);
    [[nodiscard]] std::optional<double> siblingSpeed(const StepName &step, const Minion &minion);
    [[nodiscard]] std::optional<double> slowSpeedOf(const Minion &minion);
    void checkSpeed(Minion &minion);
    void learnSlowProgress(Minion &minion);
    void moveIfFasterElsewhere(Minion &minion, const TaskName &task, Run &run);

    // planning.cpp
    void plan();
    void planService(const std::string &service, Wire::JobCommand &command);
    bool placeStep(const WaitingEntry &entry, const Job &job, Wire::JobCommand &command);
    bool placeGang(const WaitingEntry &entry, const Job &job, Wire::JobCommand &command);
    void place(const Job &job, const TaskName &task, std::uint64_t run, Minion &minion, Wire::JobCommand &command);
    /// \param name a step of a job in the store
    [[nodiscard]] StepNeeds needsOf(const StepRequirements &requirements, const StepName &name) const;
    /// \return the best minion that the task fits on; null if there is none, or if the task waits for a faster minion
    /// or for one near its data, see awaitsPlace_.
    Minion *bestMinion(std::span<Minion *const> minions, const StepRequirements &requirements, const TaskName &task,
                       const std::string &rack);
    /// \param best the minion that the task fits on now
    [[nodiscard]] bool waitsForFasterMinion(const StepRequirements &requirements, const StepNeeds &needs,
                                            const TaskName &task, const Minion &best);

    // room.cpp
    /// \return whether the minion may get a task of a step.
    [[nodiscard]] bool isUsable(const Minion &minion, bool isLongRunning) const;
    [[nodiscard]] std::optional<StepRequirements> requirementsOf(const Job &job, const StepName &name) const;
    [[nodiscard]] static bool isEligible(const Minion &minion, const StepRequirements &requirements);
    /// \return the bounds for a service, which rule out most steps under load without a look at each minion.
    [[nodiscard]] CapacityBounds capacityBounds(const std::string &service) const;
    /// \return the usable minions that may run the step, and have \p tickets if the queue needs advice.
    [[nodiscard]] std::vector<Minion *> eligibleMinions(const StepName &name, const StepRequirements &requirements,
                                                        Tickets tickets, Room room);
    /// The only place that decides whether there is room for a task, now or once all but the long-running tasks have
    /// ended. Spare cores are no room: a task that uses them gets what the others leave.
    [[nodiscard]] bool fits(const Minion &minion, const StepRequirements &requirements, const StepName &name,
                            Room room) const;
    /// \return the capacity that is free once all but the long-running tasks have ended.
    [[nodiscard]] ResourceAmounts capacityOnceFree(const Minion &minion) const;
    /// \return how many tasks of the step have room on the minion once all but the long-running tasks have ended.
    [[nodiscard]] std::uint32_t placesOnceFree(const Minion &minion, const StepRequirements &requirements) const;
    /// \return whether the minion has all the cores idle that a task of the step would use without a reservation.
    [[nodiscard]] static bool hasIdleCores(const Minion &minion, const Wire::JobStep &step);
    /// \return whether a task that uses spare cores may share them with others: if it is long-running, or if no other
    /// task of its job runs.
    [[nodiscard]] bool mayShareCores(const Wire::JobStep &step, const StepName &name) const;

    // stepadvice.cpp
    /// \return until when a ticket has to be valid for a start that is planned now.
    [[nodiscard]] TimePoint ticketNeededUntil(const Wire::JobQueue &queue) const;
    bool askAdvice(const StepName &name, const Job &job);
    void prefetchAdvice(const Job &job, const StepName &name);

    // nearplaces.cpp
    /// \param nearFreeAt when a place without the remote penalty is expected to become free, or nothing
    /// \return whether the step waits for it rather than start elsewhere now.
    bool waitsForNearPlace(const StepRequirements &requirements, const StepName &name, const StepNeeds &needs,
                           std::optional<TimePoint> nearFreeAt);
    /// \return whether a task waits for a minion near its data, which is reserved for it then.
    bool waitsForNearMinion(const StepRequirements &requirements, const StepNeeds &needs, const TaskName &task);
    /// \return whether a gang waits until a single rack has room for it.
    bool waitsForOneRack(const StepRequirements &requirements, const StepName &name);

    // teamcaps.cpp
    /// Counts a run against the cap of its job's team.
    void countRun(const Job &job, const TaskName &task, std::uint64_t run);
    /// Forgets counted runs that neither the store nor a minion has any more.
    void removeUnaccountedRuns();
    /// \return whether the team of the step may not start the step, or a task of it, now.
    [[nodiscard]] bool isHeldByCap(const WaitingStep &waiting) const override;
    /// \return for how many waiting tasks of the step capacity may be reserved under its team's cap.
    [[nodiscard]] std::uint32_t reservableTasks(const WaitingStep &waiting) const;
    /// \return whether the team of a task holds more than its cap, as after the cap was cut.
    [[nodiscard]] bool isOverCap(const Job &job);

    enum class WaitCause {
        Cap, ///< the team's cap
        Share, ///< the team holds more than its share while there is a backlog
        Room, ///< no minion has room
        Advice, ///< no minion is approved for the step yet
    };
    /// The capacity of all minions of a service, and how much of it is free.
    struct ServiceCapacity {
        ResourceAmounts total;
        ResourceAmounts free;
    };
    [[nodiscard]] ServiceCapacity serviceCapacity(const std::string &service) const;
    /// Records in \p left that a step could not be placed, and reports it.
    /// \param canFit whether a minion has room for one of its tasks
    void recordWait(const WaitingEntry &entry, const Job &job, bool canFit, const ServiceCapacity &capacity,
                    TeamOrder::RoundResult &left);
    /// \return in how long a backlog of late owed work is expected to end; nothing if there is none.
    [[nodiscard]] std::optional<Duration> untilBacklogEnds(const std::string &service) const;
    /// Reports a step that has waited for long, every few seconds, if there are teams.
    void reportWaitingStep(const WaitingEntry &entry, WaitCause cause);

    // copyplaces.cpp (CopyPorts)
    [[nodiscard]] std::vector<Minion *> copyPlaces(const Job &job, const StepName &step) override;
    void requestCopyTickets(const Job &job, const StepName &step, Duration limit) override;
    [[nodiscard]] double slownessOf(const Minion &minion) const override;
    [[nodiscard]] bool mayTeamHold(const Job &job, const ResourceAmounts &amounts) override;
    void assignCopy(const Job &job, const TaskName &task, Minion &minion) override;

    // waitinggangs.cpp
    /// Reports a gang that has waited for long, every few seconds.
    void reportWaitingGang(const WaitingEntry &entry, const Job &job);
    /// \return the runs of a gang's members that don't wait, up to a few, for the log.
    [[nodiscard]] std::string membersNotWaiting(const WaitingEntry &entry, const Job &job);
    [[nodiscard]] std::string describeRun(const TaskName &name, const Task &task);

    // reservations.cpp
    /// Reserves whole minions for a gang or a long-running task, if it can start once other tasks have ended.
    void reserveMinions(const WaitingEntry &entry, const Job &job);
    void reserveCapacity(const WaitingEntry &entry, const Job &job);
    [[nodiscard]] bool isPreemptable(const TaskName &task, const Run &run, const WaitingEntry &entry,
                                     const Wire::JobQueue &queue) const;
    void preemptFor(const WaitingEntry &entry, const StepRequirements &requirements, Minion &minion);

    JobStore &store_;
    SchedulerPorts &ports_;
    const SchedulerSettings settings_;
    bool leading_ = false;
    std::uint64_t fencingToken_ = 0;
    std::uint64_t incarnations_ = 0; ///< learnt of since this instance leads
    EventTime now_;
    Fleet fleet_;
    WorkQueue queue_;
    AdviceCache advice_;
    TicketMargin ticketMargin_;
    AnswerLossDetector answerLosses_;
    RetryBackoff backoff_{0};
    std::string renewalCursor_; ///< the minion that was visited last for renewals
    std::string retryCursor_; ///< the minion that was visited last for retries
    MinionSpeeds speeds_;
    bool differInSpeed_ = false; ///< some minion's speed is not that of its kind
    FastPlaceWait fastPlaceWait_;
    TimePoint speedsRefreshedAt_{};
    TimePoint speedsProposedAt_{};
    DurationModel durations_;
    CopyPlanner copies_;
    std::map<std::string, std::vector<std::function<void(bool)>>> reportsToStore_; ///< callbacks by minion id
    std::map<std::int64_t, std::vector<TaskName>> futureTasks_; ///< tasks of occurrences that are not due, by due time
    std::map<TimePoint, std::vector<std::string>> finishedJobs_; ///< job ids by the time of their removal
    CapacityReservations reservations_;
    TeamUsage teamUsage_;
    TeamOrder teamOrder_{teamUsage_};
    TeamRates teamRates_;
    TimePoint lastUsageCheck_{};
    std::map<std::string, TimePoint> services_; ///< services that have had waiting tasks, with the time of the last one
    std::set<TaskName> movedTasks_; ///< moved off a slow minion; a task is moved at most once
    std::map<TaskName, std::uint32_t> preemptions_; ///< preemptions of each task of active jobs
    /// A deregistration that is not confirmed yet.
    struct PendingLeave {
        MinionIncarnation minion;
        TimePoint since{};
        std::function<void(bool)> confirmed;
    };
    std::vector<PendingLeave> pendingLeaves_;
    /// Assigned runs whose minion isn't known any more, by task and number, with the time after which they can't work.
    /// Their end is proposed until it is stored.
    std::map<std::pair<TaskName, std::uint64_t>, TimePoint> lostRuns_;
    TimePoint lostRunsProposedAt_{};
    std::vector<std::pair<TaskName, std::uint64_t>> confirmedRuns_; ///< to be recorded
    std::map<std::string, TimeSpent> timeSpent_; ///< by active jobs, in steps that this leader has seen end
    std::set<std::string> begunJobs_; ///< active jobs with a confirmed start
    bool planNeeded_ = true; ///< something changed since the last round
    TimePoint lastPlan_{};
    TimePoint lastFullPlan_{};
    TimePoint lastGangReport_{};
    TimePoint lastStepReport_{};
    bool isFullRound_ = true;
    bool awaitsPlace_ = false; ///< the step that is placed waits for a better place than those that are free
    std::set<std::string> crowdedServices_; ///< for which the last round found no room for some step
    bool hasBacklog_ = false; ///< the last round left many steps waiting
};

} // namespace Pistachio::Jobs
