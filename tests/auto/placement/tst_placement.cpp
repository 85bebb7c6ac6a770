#include "core/random.h"
#include "placement/planner.h"
#include "placement/runestimates.h"
#include "placement/workerhealth.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Pistachio;
using namespace Pistachio::Placement;

namespace
{

constexpr std::int64_t gibibyte = 1LL << 30;
const TimePoint start(1000s);

/// A planner with workers "w0", "w1", ..., two to a rack.
struct Cell {
    std::map<TaskId, std::uint32_t> displacements;
    Planner planner{[this](const TaskId &task) { return displacements[task]; }};

    WorkerSlot add(const Resources &capacity)
    {
        const std::string number = std::to_string(planner.workers().size());
        const WorkerSlot slot = planner.workers().slotOf(WorkerId("w" + number));
        planner.workers().setRack(slot, "r" + std::to_string(slot / 2));
        planner.workers().setCapacity(slot, capacity);
        planner.workers().setAccepting(slot, true);
        return slot;
    }

    Unit unit(const std::string &booking, const Resources &resources, std::uint32_t tasks = 1,
              WorkKind kind = WorkKind::Batch, Standing standing = Standing::Normal, Duration run = 10min)
    {
        auto work = std::make_shared<Work>();
        work->booking = BookingId(booking);
        work->team = TeamId("team");
        work->kind = kind;
        work->standing = standing;
        work->resources = resources;
        work->estimatedRun = run;
        Unit made{std::move(work), {}, start, {}, 0};
        for (std::uint32_t i = 0; i < tasks; ++i)
            made.tasks.push_back(i);
        return made;
    }

    /// Plans and returns the bookings that were assigned, in order.
    std::vector<std::string> assigned(TimePoint now)
    {
        std::vector<std::string> names;
        for (const PlannedStep &step : planner.plan(now, 1000)) {
            if (step.kind == PlannedStep::Kind::Assign)
                names.push_back(step.unit.work->booking.value());
        }
        return names;
    }
};

using Names = std::vector<std::string>;

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(gridFindsExactlyWhatFits);
    CPPUNIT_TEST(waitingWorkCostsNothingUntilItsShapeFits);
    CPPUNIT_TEST(acceleratorsAreKeptForWorkThatNeedsThem);
    CPPUNIT_TEST(gangIsNotOvertakenForEver);
    CPPUNIT_TEST(gangDisplacesWorkWithCheckpointsOfItsStanding);
    CPPUNIT_TEST(backfillEndsBeforeTheReservedStart);
    CPPUNIT_TEST(oneReservationForEachClass);
    CPPUNIT_TEST(quotaHoldsBackOnlyItsTeam);
    CPPUNIT_TEST(spareWorkAges);
    CPPUNIT_TEST(quarantineGrowsAndEndsWithAProbe);
    CPPUNIT_TEST(estimatesFollowWhatWasSeen);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a search that misses a worker with room or returns one without: compared with a scan.
    void gridFindsExactlyWhatFits()
    {
        RandomSource random(7);
        LevelGrid grid;
        std::map<LevelGrid::Entry, Resources> all;
        const auto amount = [&](std::uint64_t scale) {
            return Resources{static_cast<std::int64_t>(random.below(scale * 1000)),
                             static_cast<std::int64_t>(random.below(scale * gibibyte)),
                             static_cast<std::int64_t>(random.below(18))};
        };
        for (int step = 0; step < 4000; ++step) {
            const auto entry = static_cast<LevelGrid::Entry>(random.below(60));
            if (random.below(8) == 0) {
                grid.remove(entry);
                all.erase(entry);
            } else {
                all[entry] = amount(64);
                grid.set(entry, all[entry]);
            }
            const Resources need = amount(40);
            std::set<LevelGrid::Entry> expected;
            for (const auto &[number, resources] : all) {
                if (need.fitsIn(resources))
                    expected.insert(number);
            }
            for (const auto order : {LevelGrid::SearchOrder::BestFit, LevelGrid::SearchOrder::WorstFit}) {
                std::set<LevelGrid::Entry> found;
                grid.visit(need, order, [&](LevelGrid::Entry visited) { return !found.insert(visited).second; });
                CPPUNIT_ASSERT(expected == found);
            }
        }
    }

    // Guards against a cost for each waiting job at each event.
    void waitingWorkCostsNothingUntilItsShapeFits()
    {
        Cell cell;
        const WorkerSlot small = cell.add({4000, 8 * gibibyte, 0});
        cell.add({16000, 8 * gibibyte, 0});
        cell.planner.enqueue(cell.unit("holds", {16000, gibibyte, 0}));
        cell.planner.enqueue(cell.unit("first", {3000, gibibyte, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.assigned(start).size());
        for (int i = 0; i < 1000; ++i)
            cell.planner.enqueue(cell.unit("big" + std::to_string(i), {9000, gibibyte, 0}));
        cell.assigned(start);
        const std::uint64_t before = cell.planner.attempts();
        for (int i = 0; i < 100; ++i) {
            const std::shared_ptr<const Work> work = cell.unit("first", {3000, gibibyte, 0}).work;
            cell.planner.release(small, *work, {BookingId("first"), 0});
            cell.planner.enqueue(cell.unit("first", {3000, gibibyte, 0}));
            CPPUNIT_ASSERT(Names{"first"} == cell.assigned(start + Duration(i)));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, cell.planner.attempts() - before);
    }

    // Guards against plain work that takes the cores which accelerators need.
    void acceleratorsAreKeptForWorkThatNeedsThem()
    {
        Cell cell;
        cell.add({8000, 16 * gibibyte, 0});
        const WorkerSlot accelerated = cell.add({32000, 64 * gibibyte, 4});
        for (int i = 0; i < 20; ++i)
            cell.planner.enqueue(cell.unit("plain" + std::to_string(i), {2000, gibibyte, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cell.assigned(start).size());
        CPPUNIT_ASSERT(cell.planner.workers().at(accelerated).allocated == Resources{});
        cell.planner.enqueue(cell.unit("accelerated", {8000, 16 * gibibyte, 4}));
        // The accelerators take 8 cores, so the other 24 are free for plain work.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1 + 12}, cell.assigned(start).size());
    }

    // Guards against a gang that waits while small work takes each piece of room as it appears.
    void gangIsNotOvertakenForEver()
    {
        Cell cell;
        std::vector<std::pair<WorkerSlot, Unit>> running;
        for (int i = 0; i < 4; ++i)
            cell.add({4000, 8 * gibibyte, 0});
        cell.planner.enqueue(cell.unit("gang", {4000, gibibyte, 0}, 4, WorkKind::Gang));
        cell.planner.workers().setAccepting(0, false); // at first only three workers
        cell.assigned(start);
        int number = 0;
        const auto fill = [&](TimePoint now) {
            Unit unit = cell.unit("small" + std::to_string(number++), {1000, gibibyte, 0}, 1, WorkKind::Batch,
                                  Standing::Normal, 1h);
            unit.readyAt = now;
            cell.planner.enqueue(std::move(unit));
        };
        for (int i = 0; i < 40; ++i)
            fill(start + 1s);
        cell.planner.workers().setAccepting(0, true);
        bool gangRuns = false;
        for (int second = 1; second < 400 && !gangRuns; ++second) {
            const TimePoint now = start + std::chrono::seconds(second);
            for (const PlannedStep &step : cell.planner.plan(now, 100)) {
                if (step.kind != PlannedStep::Kind::Assign)
                    continue;
                gangRuns = gangRuns || step.unit.work->kind == WorkKind::Gang;
                running.emplace_back(step.workers.front(), step.unit);
            }
            if (second % 5 == 0 && !running.empty()) { // one ends every 5 s, and a new one arrives
                cell.planner.release(running.front().first, *running.front().second.work, running.front().second.id());
                running.erase(running.begin());
                fill(now);
            }
        }
        CPPUNIT_ASSERT(gangRuns);
    }

    // Guards against reserved workers that stand idle for minutes while a gang waits for the last of them.
    void gangDisplacesWorkWithCheckpointsOfItsStanding()
    {
        Cell cell;
        for (int i = 0; i < 3; ++i) {
            cell.add({4000, 8 * gibibyte, 0});
            Unit unit
                = cell.unit("batch" + std::to_string(i), {4000, gibibyte, 0}, 1, WorkKind::Batch, Standing::Normal, 1h);
            auto work = std::make_shared<Work>(*unit.work);
            work->checkpoint = i > 0;
            unit.work = work;
            cell.planner.enqueue(std::move(unit));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cell.assigned(start).size());
        cell.planner.enqueue(cell.unit("gang", {4000, gibibyte, 0}, 2, WorkKind::Gang));
        std::vector<std::string> displaced;
        for (int second = 0; second < 150; ++second) {
            for (const PlannedStep &step : cell.planner.plan(start + std::chrono::seconds(second), 100)) {
                CPPUNIT_ASSERT(step.kind != PlannedStep::Kind::Assign);
                if (step.kind == PlannedStep::Kind::Displace)
                    displaced.push_back(step.victim.booking.value());
            }
        }
        std::sort(displaced.begin(), displaced.end());
        CPPUNIT_ASSERT(Names({"batch1", "batch2"}) == displaced);
    }

    // Guards against backfill that delays the job for which the workers are kept, and against idle reserved workers.
    void backfillEndsBeforeTheReservedStart()
    {
        Cell cell;
        cell.add({8000, 8 * gibibyte, 0});
        cell.planner.enqueue(cell.unit("running", {4000, gibibyte, 0}, 1, WorkKind::Batch, Standing::Promised, 20min));
        cell.assigned(start);
        cell.planner.enqueue(cell.unit("large", {8000, gibibyte, 0}));
        cell.assigned(start);
        CPPUNIT_ASSERT(cell.planner.reservations().of(AcceleratorClass::Without).has_value());
        Unit late = cell.unit("long", {2000, gibibyte, 0}, 1, WorkKind::Batch, Standing::Normal, 40min);
        Unit quick = cell.unit("short", {2000, gibibyte, 0}, 1, WorkKind::Batch, Standing::Normal, 10min);
        late.readyAt = quick.readyAt = start + 1s;
        cell.planner.enqueue(std::move(late));
        cell.planner.enqueue(std::move(quick));
        CPPUNIT_ASSERT(Names{"short"} == cell.assigned(start + 1s));
        // Work that goes before the holder is not held back.
        cell.planner.enqueue(cell.unit("urgent", {2000, gibibyte, 0}, 1, WorkKind::Batch, Standing::Urgent));
        CPPUNIT_ASSERT(Names{"urgent"} == cell.assigned(start + 2s));
    }

    // Guards against jobs that wait for each other's reservations.
    void oneReservationForEachClass()
    {
        Cell cell;
        for (int i = 0; i < 4; ++i)
            cell.add({8000, 8 * gibibyte, i < 2 ? 0 : 2});
        for (int i = 0; i < 4; ++i)
            cell.planner.enqueue(cell.unit("r" + std::to_string(i), {8000, gibibyte, i < 2 ? 0 : 2}, 1, WorkKind::Batch,
                                           Standing::Urgent));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cell.assigned(start).size());
        for (const char *name : {"g1", "g2"})
            cell.planner.enqueue(cell.unit(name, {8000, gibibyte, 0}, 2, WorkKind::Gang));
        cell.planner.enqueue(cell.unit("g3", {8000, gibibyte, 2}, 2, WorkKind::Gang));
        cell.assigned(start);
        CPPUNIT_ASSERT(BookingId("g1") == cell.planner.reservations().of(AcceleratorClass::Without)->holder.booking);
        CPPUNIT_ASSERT(BookingId("g3") == cell.planner.reservations().of(AcceleratorClass::With)->holder.booking);
        CPPUNIT_ASSERT(cell.planner.withdraw({BookingId("g1"), 0}));
        cell.assigned(start + 20s);
        CPPUNIT_ASSERT(BookingId("g2") == cell.planner.reservations().of(AcceleratorClass::Without)->holder.booking);
    }

    // Guards against a team above its quota, and against one team's quota that stops the others.
    void quotaHoldsBackOnlyItsTeam()
    {
        Cell cell;
        const WorkerSlot slot = cell.add({8000, 16 * gibibyte, 0});
        cell.planner.setQuotas({{TeamId("team"), Resources{2000, 4 * gibibyte, 0}}});
        for (const char *name : {"a", "b", "c"})
            cell.planner.enqueue(cell.unit(name, {1000, gibibyte, 0}));
        Unit other = cell.unit("other", {1000, gibibyte, 0});
        auto work = std::make_shared<Work>(*other.work);
        work->team = TeamId("other team");
        other.work = work;
        cell.planner.enqueue(std::move(other));
        CPPUNIT_ASSERT((Names{"a", "b", "other"}) == cell.assigned(start));
        CPPUNIT_ASSERT(cell.planner.waitingFor({BookingId("c"), 0})->find("quota") != std::string::npos);
        cell.planner.release(slot, *cell.unit("a", {1000, gibibyte, 0}).work, {BookingId("a"), 0});
        CPPUNIT_ASSERT(Names{"c"} == cell.assigned(start));
    }

    // Guards against spare work that never runs, and against spare work that goes before promised work at once.
    void spareWorkAges()
    {
        Cell cell;
        Unit spare = cell.unit("s", {1000, 0, 0}, 1, WorkKind::Batch, Standing::Spare);
        Unit promised = cell.unit("p", {1000, 0, 0}, 1, WorkKind::Batch, Standing::Promised);
        promised.readyAt = start + 1h;
        CPPUNIT_ASSERT(priorityOf(promised, 100, 1) < priorityOf(spare, 100, 2));
        promised.readyAt = start + 5h;
        CPPUNIT_ASSERT(priorityOf(spare, 100, 1) < priorityOf(promised, 100, 2));
        Unit urgent = cell.unit("u", {1000, 0, 0}, 1, WorkKind::Batch, Standing::Urgent);
        urgent.readyAt = start + 500h;
        CPPUNIT_ASSERT(priorityOf(urgent, 100, 2) < priorityOf(spare, 100, 1));
    }

    // Guards against a broken worker that gets work again and again, and against one that never gets any again.
    void quarantineGrowsAndEndsWithAProbe()
    {
        using Mode = WorkerHealth::Mode;
        WorkerHealth health;
        const WorkerId worker("w");
        TimePoint now = start;
        for (int i = 0; i < 5; ++i) // one booking alone, late failures and jobs that fail everywhere prove nothing
            health.recordFailure(now, worker, BookingId("same"), 1s, false);
        health.recordFailure(now, worker, BookingId("late"), 2min, false);
        health.recordFailure(now, worker, BookingId("everywhere"), 1s, true);
        CPPUNIT_ASSERT(health.mode(now, worker) == Mode::Healthy);
        health.recordFailure(now, worker, BookingId("b"), 1s, false);
        CPPUNIT_ASSERT(health.recordFailure(now, worker, BookingId("c"), 1s, false));
        Duration pause = 10s;
        for (int round = 0; round < 8; ++round) {
            CPPUNIT_ASSERT(health.mode(now + pause - 1s, worker) == Mode::Quarantined);
            now += pause;
            CPPUNIT_ASSERT(health.mode(now, worker) == Mode::ProbeDue);
            health.recordPlacement(worker);
            CPPUNIT_ASSERT(health.mode(now, worker) == Mode::Probing);
            CPPUNIT_ASSERT(health.recordFailure(now, worker, BookingId("probe"), 1s, false));
            pause = std::min<Duration>(pause * 2, 10min);
        }
        now += pause;
        health.recordPlacement(worker);
        health.recordSuccess(worker, BookingId("probe"));
        CPPUNIT_ASSERT(health.mode(now, worker) == Mode::Healthy);
    }

    // Guards against backfill by declared run times that are far off.
    void estimatesFollowWhatWasSeen()
    {
        RunEstimates estimates;
        const BookingId booking("b");
        CPPUNIT_ASSERT(estimates.estimate(booking, Duration(10min)) == Duration(10min));
        CPPUNIT_ASSERT(estimates.estimate(booking, {}) == Duration(1h));
        for (int i = 0; i < 20; ++i)
            estimates.recordCompletion(booking, 40min);
        estimates.recordCompletion(booking, 4min); // one outlier
        CPPUNIT_ASSERT(estimates.estimate(booking, Duration(10min)) == Duration(31min));
        UsagePeak peak;
        peak.recordUsage(start, {1000, 100, 0});
        peak.recordUsage(start + 300s, {1000, 10, 0});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{50}, peak.peak().memoryBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
