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

/// A leader with its own copy of the committed state.
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

std::size_t running(const WorkerAgent &worker)
{
    return worker.tasks().count({BookingId("service"), 0});
}

/// Commits what the leader proposes at all who hold the log, and carries its answers to the worker.
void exchange(Leader &leader, const EventContext &now, std::initializer_list<Leader *> holders, WorkerAgent &worker,
              TimePoint workerTime)
{
    const Commands commands = leader.scheduler.takeCommands();
    for (const Wire::ZoneCommand &command : commands.proposals) {
        for (Leader *holder : holders) {
            const Wire::ZoneResult result = holder->state.apply(command);
            if (holder == &leader)
                leader.scheduler.applied(now, command, result);
        }
    }
    for (const WorkerAnswer &answer : commands.answers)
        worker.ordersReceived(workerTime, answer.orders);
}

/// Lets a worker and a leader get to know each other: the introduction, then the full report.
void introduce(Leader &leader, WorkerAgent &worker, const EventContext &now)
{
    leader.scheduler.workerSync(now, worker.makeSync(now.time));
    exchange(leader, now, {&leader}, worker, now.time);
    leader.scheduler.workerSync(now, worker.makeSync(now.time));
}

} // namespace

class StaleLeaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StaleLeaderTest);
    CPPUNIT_TEST(leaderWhoseClockStoodStillStartsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that runs twice (I2) because a leader was paused together with its clock, as a suspended
    // machine is: it still believes in its authority and sends an order that was committed before the pause.
    void leaderWhoseClockStoodStillStartsNothing()
    {
        Leader paused(1);
        Leader successor(2);
        WorkerAgent first = makeWorker("w0");
        WorkerAgent second = makeWorker("w1");

        EventContext now = momentAt(start);
        paused.scheduler.leadershipChanged(now, paused.term, true);
        introduce(paused, first, now);
        now = momentAt(start + 3100ms); // the long poll ends without orders
        paused.scheduler.tick(now);
        exchange(paused, now, {}, first, now.time);
        paused.scheduler.bookingsChanged(now, oneService(), {});
        exchange(paused, now, {&paused, &successor}, first, now.time);
        CPPUNIT_ASSERT(successor.state.tasks().assignment({BookingId("service"), 0}) != nullptr);
        const TimePoint pausedAt = now.time;

        // The successor hears nothing of the first worker and starts the task on the second one.
        now = momentAt(start + 6s);
        successor.scheduler.bookingsChanged(now, oneService(), {});
        successor.scheduler.leadershipChanged(now, successor.term, true);
        now = momentAt(start + 20s);
        introduce(successor, second, now);
        for (int step = 0; step < 10; ++step) {
            now = momentAt(now.time + 1s);
            successor.scheduler.tick(now);
            exchange(successor, now, {&successor}, second, now.time);
            successor.scheduler.workerSync(now, second.makeSync(now.time));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, running(second));

        // The first leader resumes; its clock did not advance, and nobody has answered it since.
        const EventContext stale{pausedAt + 1ms, unixMs, true, pausedAt};
        first.tick(now.time);
        paused.scheduler.workerSync(stale, first.makeSync(now.time));
        exchange(paused, stale, {}, first, now.time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, running(first));

        // The order goes out once a majority has answered what was sent after the sync arrived, had it done so.
        const EventContext confirmed{pausedAt + 300ms, unixMs, true, pausedAt + 1ms};
        paused.scheduler.tick(confirmed);
        exchange(paused, confirmed, {}, first, now.time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, running(first));
    }

private:
    static EventContext momentAt(TimePoint time) { return {time, unixMs, true, time}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StaleLeaderTest);
