#include "jobs/capacityreservations.h"
#include "jobs/durationmodel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

constexpr TimePoint start{1h};

Minion minionWith(std::int64_t milliCores)
{
    Minion minion;
    minion.report.milliCores = milliCores;
    minion.report.memoryMb = 1000;
    return minion;
}

Run running(std::int64_t milliCores, Duration expected)
{
    Run run;
    run.reserved.milliCores = milliCores;
    run.phase = RunPhase::Running;
    run.startedAt = start;
    run.progressAt = start;
    run.expected = expected;
    return run;
}

} // namespace

class CapacityReservationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CapacityReservationsTest);
    CPPUNIT_TEST(taskFitsOnceEnoughRunsHaveEnded);
    CPPUNIT_TEST(progressOverridesTheExpectedRunTime);
    CPPUNIT_TEST(otherTasksGetOnlyTheRemainder);
    CPPUNIT_TEST(unrelatedEstimatesAreDiscounted);
    CPPUNIT_TEST(proportionalEstimatesAreScaled);
    CPPUNIT_TEST(finishedTasksPredictTheirStep);
    CPPUNIT_TEST_SUITE_END();

public:
    // Capacity reserved on a minion where it becomes free late would delay the task.
    void taskFitsOnceEnoughRunsHaveEnded()
    {
        auto minion = minionWith(4000);
        minion.add({{"j", 0, 0}, 0}, running(1000, 5s));
        minion.add({{"j", 0, 0}, 1}, running(1000, 1s));
        minion.add({{"j", 0, 0}, 2}, running(1000, 3s));
        CapacityReservations reservations;
        const auto now = reservations.expectedFit(minion, {1000, 0, 0}, start);
        CPPUNIT_ASSERT(now && now->time == start && now->remaining.milliCores == 0);
        const auto later = reservations.expectedFit(minion, {3000, 0, 0}, start);
        CPPUNIT_ASSERT(later && later->time == start + 3s);
        CPPUNIT_ASSERT(!reservations.expectedFit(minion, {5000, 0, 0}, start));
    }

    // A run that progresses slower than predicted must not be expected to end on time.
    void progressOverridesTheExpectedRunTime()
    {
        auto run = running(1000, 1s);
        run.progressAt = start + 800ms;
        run.percent = 20;
        CPPUNIT_ASSERT(CapacityReservations::expectedEnd(run, start + 1s) == start + 4s);
    }

    // Small tasks that take reserved capacity would delay the large task again and again.
    void otherTasksGetOnlyTheRemainder()
    {
        const auto minion = minionWith(4000);
        CapacityReservations reservations;
        CPPUNIT_ASSERT(reservations.allows(minion, {4000, 0, 0}));
        reservations.reserve(minion, {start + 1s, {1500, 100, 0}});
        CPPUNIT_ASSERT(reservations.allows(minion, {1000, 0, 0}));
        CPPUNIT_ASSERT(!reservations.allows(minion, {2000, 0, 0}));
        reservations.consume(minion, {1000, 0, 0});
        CPPUNIT_ASSERT(!reservations.allows(minion, {1000, 0, 0}));
    }

    // Guards against treating jobs with estimates ten times too low as late while they are on time.
    void unrelatedEstimatesAreDiscounted()
    {
        DurationModel model;
        for (int sample = 0; sample < 100; ++sample)
            model.learn("q", {"j" + std::to_string(sample), 0, 0}, sample % 2 == 0 ? Duration(500ms) : Duration(50s),
                        5s);
        const auto low = model.expected("q", {"new", 0, 0}, 500ms);
        const auto high = model.expected("q", {"new", 0, 0}, 50s);
        CPPUNIT_ASSERT(low > 4s && low < 6s);
        CPPUNIT_ASSERT(high > 4s && high < 6s);
        CPPUNIT_ASSERT(model.expected("other", {"new", 0, 0}, 500ms) == 500ms);
    }

    // Estimates that are off by a constant factor must still predict run times.
    void proportionalEstimatesAreScaled()
    {
        DurationModel model;
        for (int sample = 1; sample < 100; ++sample) {
            const Duration estimate = std::chrono::milliseconds(100 * sample);
            model.learn("q", {"j" + std::to_string(sample), 0, 0}, estimate, estimate * 2);
        }
        const auto expected = model.expected("q", {"new", 0, 0}, 1s);
        CPPUNIT_ASSERT(expected > 1700ms && expected < 2300ms);
    }

    // A wrong estimate must not outweigh the run times of finished tasks of the same step.
    void finishedTasksPredictTheirStep()
    {
        DurationModel model;
        const StepName step{"j", 0, 0};
        model.learn("q", step, 1s, 8s);
        CPPUNIT_ASSERT(model.expected("q", step, 1s) > 3s);
        model.learn("q", step, 1s, 8s);
        model.learn("q", step, 1s, 8s);
        CPPUNIT_ASSERT(model.expected("q", step, 1s) > 6s);
        CPPUNIT_ASSERT(model.expected("q", step, Duration::zero()) == 8s);
        model.removeJob("j");
        CPPUNIT_ASSERT(model.expected("q", step, Duration::zero()) == Duration::zero());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityReservationsTest);
