#include "scheduler/leasetable.h"
#include "simulatedzone.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace Pistachio;
using Scheduler::BookingState;

class SchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerTest);
    CPPUNIT_TEST(bookedWorkRunsAndIsExplained);
    CPPUNIT_TEST(leavingWorkerGetsNoNewTasks);
    CPPUNIT_TEST(serviceSpreadsOverRacksAndSurvivesDrain);
    CPPUNIT_TEST(urgentWorkDisplacesOnlyCheckpointedSpareBatches);
    CPPUNIT_TEST(taskIsDisplacedAtMostTwice);
    CPPUNIT_TEST(workRunsOnlyWhileBooked);
    CPPUNIT_TEST(rebookedWorkRunsAfterCancellation);
    CPPUNIT_TEST(rejectedProposalsAreRetried);
    CPPUNIT_TEST(massCancellationNeedsFewLogEntries);
    CPPUNIT_TEST(taskAboveItsMemoryIsThrottledThenStopped);
    CPPUNIT_TEST(faultyWorkerIsQuarantinedAndProbed);
    CPPUNIT_TEST(jobThatFailsEverywhereIsHeld);
    CPPUNIT_TEST(newLeaderWaitsForLeasesOfPreviousLeader);
    CPPUNIT_TEST(gangRestartsAfterLosingMember);
    CPPUNIT_TEST(delayedSyncOfPreviousProcessIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against booked work that does not run, and against wrong states and reasons reported for it.
    void bookedWorkRunsAndIsExplained()
    {
        SimulatedZone zone({});
        zone.book("service", Wire::WORK_KIND_SERVICE, 2, 1000);
        zone.book("batch", Wire::WORK_KIND_BATCH, 3, 1000);
        zone.book("gang", Wire::WORK_KIND_TOGETHER, 4, 2000);
        zone.book("huge", Wire::WORK_KIND_BATCH, 1, 9000);
        zone.runTime = {{"batch", 2s}};
        zone.advance(4s);
        CPPUNIT_ASSERT(zone.violations().empty());
        CPPUNIT_ASSERT(zone.stateOf("service") == BookingState::Running);
        CPPUNIT_ASSERT(zone.stateOf("gang") == BookingState::Running);
        CPPUNIT_ASSERT(zone.stateOf("batch") == BookingState::Completed);
        CPPUNIT_ASSERT(zone.stateOf("huge") == BookingState::Unschedulable);
        CPPUNIT_ASSERT(zone.scheduler().explain(BookingId("huge")).reason.find("cores") != std::string::npos);
        CPPUNIT_ASSERT(zone.stateOf("nothing") == BookingState::Unknown);
    }

    // Guards against new tasks on a worker that announced that it is leaving (I6), and against tasks that are lost with
    // it.
    void leavingWorkerGetsNoNewTasks()
    {
        SimulatedZone zone({});
        zone.book("batch", Wire::WORK_KIND_BATCH, 600, 1000);
        zone.book("service", Wire::WORK_KIND_SERVICE, 2, 1000);
        zone.runTime = {{"batch", 3s}};
        zone.advance(5s);
        zone.agent(0).setLeaving(true);
        zone.advance(2s);
        std::map<TaskId, std::uint64_t> known;
        for (const auto &[id, task] : zone.agent(0).tasks())
            known[id] = task.incarnation;
        for (int i = 0; i < 20; ++i) {
            zone.advance(500ms);
            for (const auto &[id, task] : zone.agent(0).tasks())
                CPPUNIT_ASSERT_EQUAL(known[id], task.incarnation);
        }
        CPPUNIT_ASSERT(zone.agent(0).allocated() == Resources{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, zone.runningOn("service").size());
        zone.agent(0).setLeaving(false);
        zone.advance(10s);
        CPPUNIT_ASSERT(zone.agent(0).allocated() != Resources{});
        CPPUNIT_ASSERT(zone.violations().empty());
    }

    // Guards against placing a whole service in one rack, and against tasks that stay on drained workers.
    void serviceSpreadsOverRacksAndSurvivesDrain()
    {
        SimulatedZone::Options options;
        options.workers = 8; // in four racks
        SimulatedZone zone(options);
        zone.book("service", Wire::WORK_KIND_SERVICE, 4, 1000);
        zone.advance(3s);
        std::set<char> racks;
        for (const std::string &worker : zone.runningOn("service"))
            racks.insert(static_cast<char>((worker.back() - '0') / 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, racks.size());
        zone.proposeDrain(0, true);
        zone.proposeDrain(1, true);
        zone.advance(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, zone.runningOn("service").size());
        CPPUNIT_ASSERT(zone.agent(0).allocated() == Resources{} && zone.agent(1).allocated() == Resources{});
    }

    // Guards against urgent work that displaces promised work, services or work without checkpoints.
    void urgentWorkDisplacesOnlyCheckpointedSpareBatches()
    {
        SimulatedZone zone({});
        zone.book("promised", Wire::WORK_KIND_BATCH, 1, 8000, Wire::STANDING_PROMISED).set_checkpoint(true);
        zone.book("service", Wire::WORK_KIND_SERVICE, 1, 8000, Wire::STANDING_SPARE).set_checkpoint(true);
        zone.book("plain", Wire::WORK_KIND_BATCH, 1, 8000, Wire::STANDING_SPARE);
        zone.advance(2s);
        zone.book("spare", Wire::WORK_KIND_BATCH, 8, 1000, Wire::STANDING_SPARE).set_checkpoint(true);
        zone.publish();
        zone.advance(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, zone.runningOn("spare").size());
        zone.book("urgent", Wire::WORK_KIND_BATCH, 1, 4000, Wire::STANDING_URGENT);
        zone.publish();
        zone.advance(3700ms);
        CPPUNIT_ASSERT(zone.stateOf("urgent") == BookingState::Running);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, zone.runningOn("spare").size()); // no more than needed
        zone.book("urgent2", Wire::WORK_KIND_BATCH, 2, 4000, Wire::STANDING_URGENT);
        zone.publish();
        zone.advance(20s);
        for (const char *kept : {"promised", "service", "plain"})
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.runningOn(kept).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.runningOn("urgent2").size());
    }

    // Guards against a task that is displaced and loses its progress at each of many urgent bookings.
    void taskIsDisplacedAtMostTwice()
    {
        SimulatedZone::Options options;
        options.workers = 1;
        SimulatedZone zone(options);
        zone.book("spare", Wire::WORK_KIND_BATCH, 1, 8000, Wire::STANDING_SPARE).set_checkpoint(true);
        zone.advance(3s);
        for (int i = 0; i < 5; ++i) {
            const std::string id = "urgent" + std::to_string(i);
            zone.book(id, Wire::WORK_KIND_BATCH, 1, 8000, Wire::STANDING_URGENT);
            zone.runTime[id] = 2s;
            zone.publish();
            zone.advance(15s);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, zone.decisions("displace"));
        CPPUNIT_ASSERT(zone.stateOf("spare") == BookingState::Running);
        CPPUNIT_ASSERT(zone.stateOf("urgent4") == BookingState::Waiting);
    }

    // Guards against work that runs before its start date, after its end date, or after it is cancelled.
    void workRunsOnlyWhileBooked()
    {
        SimulatedZone zone({});
        Wire::Booking &later = zone.book("later", Wire::WORK_KIND_SERVICE, 2, 1000);
        later.set_start_unix_s(1'800'000'010);
        later.set_end_unix_s(1'800'000'020);
        zone.book("gone", Wire::WORK_KIND_SERVICE, 2, 1000);
        zone.advance(8s);
        CPPUNIT_ASSERT(zone.stateOf("later") == BookingState::Scheduled && zone.runningOn("later").empty());
        zone.advance(5s);
        CPPUNIT_ASSERT(zone.stateOf("later") == BookingState::Running);
        zone.cancel("gone");
        zone.advance(9s);
        CPPUNIT_ASSERT(zone.stateOf("later") == BookingState::Ended && zone.runningOn("later").empty());
        CPPUNIT_ASSERT(zone.runningOn("gone").empty());
        CPPUNIT_ASSERT(zone.state().tasks().assignments().empty());
    }

    // Guards against a cancelled booking that never runs again because it was booked anew while its tasks were ending.
    void rebookedWorkRunsAfterCancellation()
    {
        SimulatedZone zone({});
        zone.book("service", Wire::WORK_KIND_SERVICE, 3, 1000);
        zone.advance(4s);
        zone.cancel("service");
        zone.advance(50ms);
        zone.book("service", Wire::WORK_KIND_SERVICE, 3, 1000);
        zone.publish();
        zone.advance(10s);
        CPPUNIT_ASSERT(zone.stateOf("service") == BookingState::Running);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, zone.runningOn("service").size());
    }

    // Guards against work that waits forever for the result of a proposal that was never appended to the log.
    void rejectedProposalsAreRetried()
    {
        SimulatedZone zone({});
        zone.rejectProposals = true;
        zone.book("gang", Wire::WORK_KIND_TOGETHER, 2, 1000);
        zone.book("batch", Wire::WORK_KIND_BATCH, 2, 1000);
        zone.runTime = {{"batch", 2s}};
        zone.advance(3s);
        CPPUNIT_ASSERT(zone.state().tasks().assignments().empty());
        zone.rejectProposals = false;
        while (zone.state().tasks().assignmentsOf(BookingId("gang")).empty())
            zone.advance(10ms);
        zone.rejectProposals = true; // the gang's start and the ends of tasks
        zone.advance(4s);
        CPPUNIT_ASSERT(zone.runningOn("gang").empty());
        zone.rejectProposals = false;
        zone.advance(3s);
        CPPUNIT_ASSERT(zone.stateOf("gang") == BookingState::Running);
        CPPUNIT_ASSERT(zone.stateOf("batch") == BookingState::Completed);
    }

    // Guards against one log entry per cancelled task when many are cancelled at once.
    void massCancellationNeedsFewLogEntries()
    {
        ZoneState::ZoneState state;
        Scheduler::ZoneScheduler scheduler("zone", state, 1);
        Scheduler::EventContext now{TimePoint(1000s), 1'800'000'000'000, true, TimePoint(1000s)};
        scheduler.leadershipChanged(now, 1, true);
        std::vector<Wire::Booking> bookings(1000);
        for (std::size_t i = 0; i < bookings.size(); ++i) {
            bookings[i].set_id("b" + std::to_string(i));
            bookings[i].set_kind(Wire::WORK_KIND_BATCH);
            bookings[i].set_tasks(10);
            bookings[i].mutable_resources()->set_milli_cores(1000);
            bookings[i].set_zone("zone");
        }
        scheduler.bookingsChanged(now, bookings, {});
        now.time += 1s;
        scheduler.tick(now);
        scheduler.takeCommands();
        scheduler.bookingsChanged(now, {}, {});
        CPPUNIT_ASSERT(scheduler.takeCommands().proposals.empty()); // waiting work has no log entries
        CPPUNIT_ASSERT(scheduler.explain(BookingId("b0")).state == BookingState::Unknown);

        SimulatedZone zone({});
        zone.book("wave", Wire::WORK_KIND_BATCH, 32, 1000);
        zone.advance(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, zone.runningOn("wave").size());
        const std::size_t before = zone.endCommands;
        zone.cancel("wave");
        zone.advance(5s);
        CPPUNIT_ASSERT(zone.runningOn("wave").empty());
        CPPUNIT_ASSERT(zone.endCommands - before <= 8); // a few reports per worker, not one entry per task
    }

    // Guards against a task that uses more memory than declared and starves the other tasks on its worker.
    void taskAboveItsMemoryIsThrottledThenStopped()
    {
        SimulatedZone zone({});
        zone.book("greedy", Wire::WORK_KIND_BATCH, 1, 1000);
        zone.book("modest", Wire::WORK_KIND_BATCH, 1, 1000);
        zone.memoryUse = {{"greedy", 2LL << 30}, {"modest", 1LL << 29}};
        zone.advance(6s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.decisions("throttle"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.decisions("stop"));
        zone.advance(15s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.decisions("stop"));
        const ZoneState::TaskPast *past = zone.state().tasks().past({BookingId("greedy"), 0});
        CPPUNIT_ASSERT(past->reason == ZoneState::EndReason::Failed);
        CPPUNIT_ASSERT(past->detail.find("declared") != std::string::npos);
        CPPUNIT_ASSERT(zone.stateOf("modest") == BookingState::Running);
    }

    // Guards against a faulty worker on which all tasks fail early, so that it always has room and gets all new work.
    void faultyWorkerIsQuarantinedAndProbed()
    {
        SimulatedZone zone({});
        bool broken = true;
        zone.fails = [&](const std::string &worker, const std::string &) { return broken && worker == "w0"; };
        for (int i = 0; i < 60; ++i) {
            const std::string id = "job" + std::to_string(i);
            zone.book(id, Wire::WORK_KIND_BATCH, 1, 1000);
            zone.runTime[id] = 8s;
        }
        zone.advance(60s);
        CPPUNIT_ASSERT(zone.decisions("quarantine") >= 1);
        std::size_t failures = 0;
        for (int i = 0; i < 60; ++i) {
            CPPUNIT_ASSERT(zone.stateOf("job" + std::to_string(i)) == BookingState::Completed);
            failures += zone.state().tasks().past({BookingId("job" + std::to_string(i)), 0})->failures;
        }
        CPPUNIT_ASSERT(failures <= 8 + 4); // the tasks placed first, then single probes
        broken = false;
        zone.book("after", Wire::WORK_KIND_BATCH, 32, 1000);
        zone.publish();
        zone.advance(200s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, zone.runningOn("after").size()); // needs all four workers
    }

    // Guards against a job that always fails and is retried forever or gets healthy workers quarantined.
    void jobThatFailsEverywhereIsHeld()
    {
        SimulatedZone zone({});
        zone.fails = [](const std::string &, const std::string &booking) { return booking == "bad"; };
        zone.book("bad", Wire::WORK_KIND_BATCH, 3, 1000);
        zone.book("good", Wire::WORK_KIND_BATCH, 3, 1000);
        zone.runTime = {{"good", 5s}};
        zone.advance(60s);
        CPPUNIT_ASSERT(zone.stateOf("bad") == BookingState::Failing);
        CPPUNIT_ASSERT(zone.scheduler().explain(BookingId("bad")).reason.find("failed") != std::string::npos);
        CPPUNIT_ASSERT(zone.stateOf("good") == BookingState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.decisions("quarantine"));
        zone.changeLeader(1s, true);
        zone.advance(30s);
        CPPUNIT_ASSERT(zone.stateOf("bad") == BookingState::Failing); // its failures are in the replicated state
    }

    // Guards against a new leader that counts unreachable workers as lost before the leases from the previous leader
    // have expired, so that tasks run twice (I2).
    void newLeaderWaitsForLeasesOfPreviousLeader()
    {
        SimulatedZone zone({});
        zone.book("service", Wire::WORK_KIND_SERVICE, 4, 1000);
        zone.advance(5s);
        for (std::size_t worker = 0; worker < 4; ++worker)
            zone.partition(worker, 12s);
        zone.changeLeader(100ms, true);
        zone.advance(12400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.decisions("lost"));
        zone.partition(0, 60s);
        zone.advance(20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, zone.runningOn("service").size());
        CPPUNIT_ASSERT(zone.decisions("lost") > 0);
        zone.partition(1, 60s);
        zone.changeLeader(100ms, true);
        zone.advance(20s);
        CPPUNIT_ASSERT(zone.violations().empty());
    }

    // Guards against a gang that keeps running with a task missing after the worker of that task is lost.
    void gangRestartsAfterLosingMember()
    {
        SimulatedZone zone({});
        zone.book("gang", Wire::WORK_KIND_TOGETHER, 3, 6000);
        zone.advance(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, zone.runningOn("gang").size());
        const std::string lost = zone.runningOn("gang").front();
        zone.partition(static_cast<std::size_t>(lost.back() - '0'), 100s);
        zone.advance(30s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, zone.runningOn("gang").size());
        CPPUNIT_ASSERT(zone.violations().empty());
    }

    // Guards against a delayed sync of a worker's previous process that is taken for a restart of the worker, which
    // ends the tasks of the current process.
    void delayedSyncOfPreviousProcessIsIgnored()
    {
        SimulatedZone zone({});
        zone.book("service", Wire::WORK_KIND_SERVICE, 4, 1000);
        Scheduler::WorkerAgent previous(WorkerId("w0"), "0", "r0", {8000, 16LL << 30, 2});
        const Wire::WorkerSync delayed = previous.makeSync(zone.now());
        zone.advance(5s);
        zone.scheduler().workerSync({zone.now(), 1'800'000'005'000, true, zone.now()}, delayed);
        zone.advance(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, zone.runningOn("service").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.decisions("end"));

        // The same after the lease of the previous process expired, with two of its syncs delayed.
        using SyncResult = Scheduler::LeaseTable::SyncResult;
        Scheduler::LeaseTable leases;
        TimePoint now(1000s);
        leases.reset(now, 7);
        CPPUNIT_ASSERT(leases.syncReceived(now, 0, "a", 1, 0, true) == SyncResult::Unconfirmed);
        CPPUNIT_ASSERT(leases.syncReceived(now, 0, "a", 2, 0, true)
                       == SyncResult::Unconfirmed); // no answer of this term yet
        leases.answered(now, 0);
        CPPUNIT_ASSERT(leases.syncReceived(now, 0, "a", 3, 7, true) == SyncResult::Accepted);
        CPPUNIT_ASSERT(leases.syncReceived(now, 0, "a", 3, 7, true) == SyncResult::Ignored);
        CPPUNIT_ASSERT(leases.takeExpired(now + Scheduler::lossTimeout - 1ms).empty());
        now += Scheduler::lossTimeout;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leases.takeExpired(now).size());
        leases.syncReceived(now, 0, "b", 1, 0, true);
        CPPUNIT_ASSERT(leases.syncReceived(now, 0, "b", 2, 7, true) == SyncResult::Accepted);
        CPPUNIT_ASSERT(leases.syncReceived(now, 0, "a", 4, 7, true) == SyncResult::Ignored);
        CPPUNIT_ASSERT(leases.syncReceived(now, 0, "a", 5, 7, true) == SyncResult::Ignored);
        CPPUNIT_ASSERT(leases.isConfirmed(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerTest);
