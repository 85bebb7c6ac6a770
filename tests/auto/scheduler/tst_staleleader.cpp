#include "scheduler/commands.h"
#include "scheduler/workeragent.h"
#include "scheduler/zonescheduler.h"
#include "zonestate/zonestate.h"

#include <cell.pb.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Pistachio;
using namespace Pistachio::Scheduler;

namespace
{

constexpr TimePoint start(1000s);
constexpr std::int64_t unixMs = 1'800'000'000'000;

/// A leader with its own replica of the zone state.
struct Leader {
    explicit Leader(std::uint64_t leaderTerm)
        : term(leaderTerm)
    {
    }

    std::uint64_t term;
    ZoneState::ZoneState state;
    ZoneScheduler scheduler{"zone", state, 1};
};

std::vector<Wire::Booking> oneService()
{
    std::vector<Wire::Booking> bookings(1);
    bookings[0].set_id("service");
    bookings[0].set_kind(Wire::WORK_KIND_SERVICE);
    bookings[0].set_tasks(1);
    bookings[0].mutable_resources()->set_milli_cores(1000);
    bookings[0].set_zone("zone");
    return bookings;
}

WorkerAgent makeWorker(const char *name)
{
    return {WorkerId(name), "boot", "rack", {8000, 16LL << 30, 0}};
}

std::size_t runningTasks(const WorkerAgent &worker)
{
    return worker.tasks().count({BookingId("service"), 0});
}

/// Applies the leader's proposals to \p replicas and delivers its answers to the worker.
void deliver(Leader &leader, const EventContext &now, std::initializer_list<Leader *> replicas, WorkerAgent &worker,
             TimePoint workerTime)
{
    const Commands commands = leader.scheduler.takeCommands();
    for (const Wire::ZoneCommand &command : commands.proposals) {
        for (Leader *replica : replicas) {
            const Wire::ZoneResult result = replica->state.apply(command);
            if (replica == &leader)
                leader.scheduler.applied(now, command, result);
        }
    }
    for (const WorkerAnswer &answer : commands.answers)
        worker.ordersReceived(workerTime, answer.orders);
}

/// Registers a worker with a leader: the first sync, then the full report that confirms the process.
void registerWorker(Leader &leader, WorkerAgent &worker, const EventContext &now)
{
    leader.scheduler.workerSync(now, worker.makeSync(now.time));
    deliver(leader, now, {&leader}, worker, now.time);
    leader.scheduler.workerSync(now, worker.makeSync(now.time));
}

} // namespace

class StaleLeaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StaleLeaderTest);
    CPPUNIT_TEST(resumedLeaderWithStoppedClockStartsNoTask);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that runs twice (I2) because a leader was paused together with its clock, as on a suspended
    // machine: when resumed, it still counts its leader lease as valid and sends an order committed before the pause.
    void resumedLeaderWithStoppedClockStartsNoTask()
    {
        Leader paused(1);
        Leader successor(2);
        WorkerAgent first = makeWorker("w0");
        WorkerAgent second = makeWorker("w1");

        EventContext now = contextAt(start);
        paused.scheduler.leadershipChanged(now, paused.term, true);
        registerWorker(paused, first, now);
        now = contextAt(start + 3100ms); // the poll interval passes without orders
        paused.scheduler.tick(now);
        deliver(paused, now, {}, first, now.time);
        paused.scheduler.bookingsChanged(now, oneService(), {});
        deliver(paused, now, {&paused, &successor}, first, now.time);
        CPPUNIT_ASSERT(successor.state.tasks().assignment({BookingId("service"), 0}) != nullptr);
        const TimePoint pausedAt = now.time;

        // The successor receives no sync from the first worker and starts the task on the second one.
        now = contextAt(start + 6s);
        successor.scheduler.bookingsChanged(now, oneService(), {});
        successor.scheduler.leadershipChanged(now, successor.term, true);
        now = contextAt(start + 20s);
        registerWorker(successor, second, now);
        for (int step = 0; step < 10; ++step) {
            now = contextAt(now.time + 1s);
            successor.scheduler.tick(now);
            deliver(successor, now, {&successor}, second, now.time);
            successor.scheduler.workerSync(now, second.makeSync(now.time));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runningTasks(second));

        // The first leader resumes. Its clock did not advance, and no replica has answered it since the pause.
        const EventContext stale{pausedAt + 1ms, unixMs, true, pausedAt};
        first.tick(now.time);
        paused.scheduler.workerSync(stale, first.makeSync(now.time));
        deliver(paused, stale, {}, first, now.time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, runningTasks(first));

        // Shows that only the missing confirmation held the order back: with a leadership confirmed after the arrival
        // of the sync, it is sent.
        const EventContext confirmed{pausedAt + 300ms, unixMs, true, pausedAt + 1ms};
        paused.scheduler.tick(confirmed);
        deliver(paused, confirmed, {}, first, now.time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runningTasks(first));
    }

private:
    static EventContext contextAt(TimePoint time) { return {time, unixMs, true, time}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StaleLeaderTest);
