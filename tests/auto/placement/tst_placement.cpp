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

/// A planner with workers "w0", "w1" and so on, two per rack.
struct Cell {
    std::map<TaskId, std::uint32_t> displacements;
    Planner planner{[this](const TaskId &task) { return displacements[task]; }};

    WorkerSlot addWorker(const Resources &capacity)
    {
        const std::string number = std::to_string(planner.workers().size());
        const WorkerSlot slot = planner.workers().slotOf(WorkerId("w" + number));
        planner.workers().setRack(slot, "r" + std::to_string(slot / 2));
        planner.workers().setCapacity(slot, capacity);
        planner.workers().setAccepting(slot, true);
        return slot;
    }

    Unit makeUnit(const std::string &booking, const Resources &resources, std::uint32_t tasks = 1,
                  WorkKind kind = WorkKind::Batch, Standing standing = Standing::Normal, Duration run = 10min)
    {
        auto work = std::make_shared<Work>();
        work->booking = BookingId(booking);
        work->team = TeamId("team");
        work->kind = kind;
        work->standing = standing;
        work->resources = resources;
        work->estimatedRun = run;
        Unit unit{std::move(work), {}, start, {}, 0};
        for (std::uint32_t i = 0; i < tasks; ++i)
            unit.tasks.push_back(i);
        return unit;
    }

    /// Runs the planner.
    /// \return the bookings of the assigned units, in order.
    std::vector<std::string> planAssigned(TimePoint now)
    {
        std::vector<std::string> names;
        for (const PlannedStep &step : planner.plan(now, 1000)) {
            if (step.kind == PlannedStep::Kind::Assign)
                names.push_back(step.unit.work->booking.value());
        }
        return names;
    }
};

using BookingNames = std::vector<std::string>;

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(gridVisitsExactlyTheFittingEntries);
    CPPUNIT_TEST(blockedUnitsAreNotRetriedUntilTheirShapeFits);
    CPPUNIT_TEST(workWithoutAcceleratorsLeavesTheAcceleratorShareFree);
    CPPUNIT_TEST(gangStartsDespiteSteadyArrivalsOfSmallWork);
    CPPUNIT_TEST(gangDisplacesTasksOfEqualStandingWithCheckpoints);
    CPPUNIT_TEST(onlyWorkThatEndsBeforeTheReservedStartIsBackfilled);
    CPPUNIT_TEST(eachAcceleratorClassHasOneReservation);
    CPPUNIT_TEST(exhaustedQuotaBlocksOnlyItsTeam);
    CPPUNIT_TEST(spareWorkOvertakesNewerPromisedWork);
    CPPUNIT_TEST(failedProbesExtendTheQuarantineAndASuccessEndsIt);
    CPPUNIT_TEST(estimatesFollowObservedRunTimes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a search that misses an entry with enough resources or visits one without, as compared with a
    // scan.
    void gridVisitsExactlyTheFittingEntries()
    {
        RandomSource random(7);
        LevelGrid grid;
        std::map<LevelGrid::Entry, Resources> resourcesByEntry;
        const auto amount = [&](std::uint64_t scale) {
            return Resources{static_cast<std::int64_t>(random.below(scale * 1000)),
                             static_cast<std::int64_t>(random.below(scale * gibibyte)),
                             static_cast<std::int64_t>(random.below(18))};
        };
        for (int step = 0; step < 4000; ++step) {
            const auto entry = static_cast<LevelGrid::Entry>(random.below(60));
            if (random.below(8) == 0) {
                grid.remove(entry);
                resourcesByEntry.erase(entry);
            } else {
                resourcesByEntry[entry] = amount(64);
                grid.set(entry, resourcesByEntry[entry]);
            }
            const Resources need = amount(40);
            std::set<LevelGrid::Entry> expected;
            for (const auto &[number, resources] : resourcesByEntry) {
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

    // Guards against trying every waiting unit again at each event, although none of its shape can fit.
    void blockedUnitsAreNotRetriedUntilTheirShapeFits()
    {
        Cell cell;
        const WorkerSlot small = cell.addWorker({4000, 8 * gibibyte, 0});
        cell.addWorker({16000, 8 * gibibyte, 0});
        cell.planner.enqueue(cell.makeUnit("holds", {16000, gibibyte, 0}));
        cell.planner.enqueue(cell.makeUnit("first", {3000, gibibyte, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.planAssigned(start).size());
        for (int i = 0; i < 1000; ++i)
            cell.planner.enqueue(cell.makeUnit("big" + std::to_string(i), {9000, gibibyte, 0}));
        cell.planAssigned(start);
        const std::uint64_t before = cell.planner.attempts();
        for (int i = 0; i < 100; ++i) {
            const std::shared_ptr<const Work> work = cell.makeUnit("first", {3000, gibibyte, 0}).work;
            cell.planner.release(small, *work, {BookingId("first"), 0});
            cell.planner.enqueue(cell.makeUnit("first", {3000, gibibyte, 0}));
            CPPUNIT_ASSERT(BookingNames{"first"} == cell.planAssigned(start + Duration(i)));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, cell.planner.attempts() - before);
    }

    // Guards against work without accelerators that uses the cores needed by work on free accelerators.
    void workWithoutAcceleratorsLeavesTheAcceleratorShareFree()
    {
        Cell cell;
        cell.addWorker({8000, 16 * gibibyte, 0});
        const WorkerSlot acceleratorWorker = cell.addWorker({32000, 64 * gibibyte, 4});
        for (int i = 0; i < 20; ++i)
            cell.planner.enqueue(cell.makeUnit("plain" + std::to_string(i), {2000, gibibyte, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cell.planAssigned(start).size());
        CPPUNIT_ASSERT(cell.planner.workers().at(acceleratorWorker).allocated == Resources{});
        cell.planner.enqueue(cell.makeUnit("accelerated", {8000, 16 * gibibyte, 4}));
        // The work with accelerators takes 8 cores, so the other 24 are free for work without.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1 + 12}, cell.planAssigned(start).size());
    }

    // Guards against a gang that starves because small work takes resources as soon as they become free.
    void gangStartsDespiteSteadyArrivalsOfSmallWork()
    {
        Cell cell;
        std::vector<std::pair<WorkerSlot, Unit>> runningUnits;
        for (int i = 0; i < 4; ++i)
            cell.addWorker({4000, 8 * gibibyte, 0});
        cell.planner.enqueue(cell.makeUnit("gang", {4000, gibibyte, 0}, 4, WorkKind::Gang));
        cell.planner.workers().setAccepting(0, false); // at first only three workers
        cell.planAssigned(start);
        int number = 0;
        const auto enqueueSmall = [&](TimePoint now) {
            Unit unit = cell.makeUnit("small" + std::to_string(number++), {1000, gibibyte, 0}, 1, WorkKind::Batch,
                                      Standing::Normal, 1h);
            unit.readyAt = now;
            cell.planner.enqueue(std::move(unit));
        };
        for (int i = 0; i < 40; ++i)
            enqueueSmall(start + 1s);
        cell.planner.workers().setAccepting(0, true);
        bool gangRuns = false;
        for (int second = 1; second < 400 && !gangRuns; ++second) {
            const TimePoint now = start + std::chrono::seconds(second);
            for (const PlannedStep &step : cell.planner.plan(now, 100)) {
                if (step.kind != PlannedStep::Kind::Assign)
                    continue;
                gangRuns = gangRuns || step.unit.work->kind == WorkKind::Gang;
                runningUnits.emplace_back(step.workers.front(), step.unit);
            }
            if (second % 5 == 0 && !runningUnits.empty()) { // every 5 s one task ends and a new one arrives
                cell.planner.release(runningUnits.front().first, *runningUnits.front().second.work,
                                     runningUnits.front().second.id());
                runningUnits.erase(runningUnits.begin());
                enqueueSmall(now);
            }
        }
        CPPUNIT_ASSERT(gangRuns);
    }

    // Guards against reserved workers that are idle for minutes while a gang waits for the last of them.
    void gangDisplacesTasksOfEqualStandingWithCheckpoints()
    {
        Cell cell;
        for (int i = 0; i < 3; ++i) {
            cell.addWorker({4000, 8 * gibibyte, 0});
            Unit unit = cell.makeUnit("batch" + std::to_string(i), {4000, gibibyte, 0}, 1, WorkKind::Batch,
                                      Standing::Normal, 1h);
            auto work = std::make_shared<Work>(*unit.work);
            work->checkpoint = i > 0;
            unit.work = work;
            cell.planner.enqueue(std::move(unit));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cell.planAssigned(start).size());
        cell.planner.enqueue(cell.makeUnit("gang", {4000, gibibyte, 0}, 2, WorkKind::Gang));
        std::vector<std::string> displaced;
        for (int second = 0; second < 150; ++second) {
            for (const PlannedStep &step : cell.planner.plan(start + std::chrono::seconds(second), 100)) {
                CPPUNIT_ASSERT(step.kind != PlannedStep::Kind::Assign);
                if (step.kind == PlannedStep::Kind::Displace)
                    displaced.push_back(step.victim.booking.value());
            }
        }
        std::sort(displaced.begin(), displaced.end());
        CPPUNIT_ASSERT(BookingNames({"batch1", "batch2"}) == displaced);
    }

    // Guards against backfilled work that delays the holder of the reservation, and against reserved workers left idle
    // although short work would fit.
    void onlyWorkThatEndsBeforeTheReservedStartIsBackfilled()
    {
        Cell cell;
        cell.addWorker({8000, 8 * gibibyte, 0});
        cell.planner.enqueue(
            cell.makeUnit("running", {4000, gibibyte, 0}, 1, WorkKind::Batch, Standing::Promised, 20min));
        cell.planAssigned(start);
        cell.planner.enqueue(cell.makeUnit("large", {8000, gibibyte, 0}));
        cell.planAssigned(start);
        CPPUNIT_ASSERT(cell.planner.reservations().of(AcceleratorClass::Without).has_value());
        Unit late = cell.makeUnit("long", {2000, gibibyte, 0}, 1, WorkKind::Batch, Standing::Normal, 40min);
        Unit quick = cell.makeUnit("short", {2000, gibibyte, 0}, 1, WorkKind::Batch, Standing::Normal, 10min);
        late.readyAt = quick.readyAt = start + 1s;
        cell.planner.enqueue(std::move(late));
        cell.planner.enqueue(std::move(quick));
        CPPUNIT_ASSERT(BookingNames{"short"} == cell.planAssigned(start + 1s));
        // Work with a higher priority than the holder is not blocked by the reservation.
        cell.planner.enqueue(cell.makeUnit("urgent", {2000, gibibyte, 0}, 1, WorkKind::Batch, Standing::Urgent));
        CPPUNIT_ASSERT(BookingNames{"urgent"} == cell.planAssigned(start + 2s));
    }

    // Guards against jobs of one accelerator class that wait for each other's reservations, and against classes that
    // share one.
    void eachAcceleratorClassHasOneReservation()
    {
        Cell cell;
        for (int i = 0; i < 4; ++i)
            cell.addWorker({8000, 8 * gibibyte, i < 2 ? 0 : 2});
        for (int i = 0; i < 4; ++i)
            cell.planner.enqueue(cell.makeUnit("r" + std::to_string(i), {8000, gibibyte, i < 2 ? 0 : 2}, 1,
                                               WorkKind::Batch, Standing::Urgent));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cell.planAssigned(start).size());
        for (const char *name : {"g1", "g2"})
            cell.planner.enqueue(cell.makeUnit(name, {8000, gibibyte, 0}, 2, WorkKind::Gang));
        cell.planner.enqueue(cell.makeUnit("g3", {8000, gibibyte, 2}, 2, WorkKind::Gang));
        cell.planAssigned(start);
        CPPUNIT_ASSERT(BookingId("g1") == cell.planner.reservations().of(AcceleratorClass::Without)->holder.booking);
        CPPUNIT_ASSERT(BookingId("g3") == cell.planner.reservations().of(AcceleratorClass::With)->holder.booking);
        CPPUNIT_ASSERT(cell.planner.withdraw({BookingId("g1"), 0}));
        cell.planAssigned(start + 20s);
        CPPUNIT_ASSERT(BookingId("g2") == cell.planner.reservations().of(AcceleratorClass::Without)->holder.booking);
    }

    // Guards against a team that exceeds its quota, and against one team's quota that blocks other teams.
    void exhaustedQuotaBlocksOnlyItsTeam()
    {
        Cell cell;
        const WorkerSlot slot = cell.addWorker({8000, 16 * gibibyte, 0});
        cell.planner.setQuotas({{TeamId("team"), Resources{2000, 4 * gibibyte, 0}}});
        for (const char *name : {"a", "b", "c"})
            cell.planner.enqueue(cell.makeUnit(name, {1000, gibibyte, 0}));
        Unit other = cell.makeUnit("other", {1000, gibibyte, 0});
        auto work = std::make_shared<Work>(*other.work);
        work->team = TeamId("other team");
        other.work = work;
        cell.planner.enqueue(std::move(other));
        CPPUNIT_ASSERT((BookingNames{"a", "b", "other"}) == cell.planAssigned(start));
        CPPUNIT_ASSERT(cell.planner.waitingFor({BookingId("c"), 0})->find("quota") != std::string::npos);
        cell.planner.release(slot, *cell.makeUnit("a", {1000, gibibyte, 0}).work, {BookingId("a"), 0});
        CPPUNIT_ASSERT(BookingNames{"c"} == cell.planAssigned(start));
    }

    // Guards against spare work that starves, and against spare work that overtakes promised work too early.
    void spareWorkOvertakesNewerPromisedWork()
    {
        Cell cell;
        Unit spare = cell.makeUnit("s", {1000, 0, 0}, 1, WorkKind::Batch, Standing::Spare);
        Unit promised = cell.makeUnit("p", {1000, 0, 0}, 1, WorkKind::Batch, Standing::Promised);
        promised.readyAt = start + 1h;
        CPPUNIT_ASSERT(priorityOf(promised, 100, 1) < priorityOf(spare, 100, 2));
        promised.readyAt = start + 5h;
        CPPUNIT_ASSERT(priorityOf(spare, 100, 1) < priorityOf(promised, 100, 2));
        Unit urgent = cell.makeUnit("u", {1000, 0, 0}, 1, WorkKind::Batch, Standing::Urgent);
        urgent.readyAt = start + 500h;
        CPPUNIT_ASSERT(priorityOf(urgent, 100, 2) < priorityOf(spare, 100, 1));
    }

    // Guards against a faulty worker that keeps receiving work, and against a recovered one that never receives any.
    void failedProbesExtendTheQuarantineAndASuccessEndsIt()
    {
        using Mode = WorkerHealth::Mode;
        WorkerHealth health;
        const WorkerId worker("w");
        TimePoint now = start;
        for (int i = 0; i < 5; ++i) // one booking, late failures and jobs that fail everywhere are no evidence
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

    // Guards against backfill that relies on declared run times which differ much from the observed ones.
    void estimatesFollowObservedRunTimes()
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
