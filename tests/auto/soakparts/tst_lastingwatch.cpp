#include "soak/calm.h"
#include "soak/lastingwatch.h"
#include "soak/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

using namespace Pistachio;
using Pistachio::Soak::Calm;
using Pistachio::Soak::LastingWatch;
using Pistachio::Soak::Ledger;

/// The incident LOST: tasks that last didn't run again, and the soak had none and looked at the end only.
class LastingWatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LastingWatchTest);
    CPPUNIT_TEST(taskThatIsNeverStartedAgainIsReportedOnce);
    CPPUNIT_TEST(taskThatNeverRanIsReported);
    CPPUNIT_TEST(taskThatRunsAgainInTimeIsNotReported);
    CPPUNIT_TEST(taskWithoutRoomIsNotReported);
    CPPUNIT_TEST(taskThatLacksRoomForAMomentIsNotReported);
    CPPUNIT_TEST(disturbedCellIsNotReported);
    CPPUNIT_TEST(lostMajorityPutsTheReportOff);
    CPPUNIT_TEST(cancelledTaskIsNotReported);
    CPPUNIT_TEST(shortRunBetweenTwoLooksCounts);
    CPPUNIT_TEST(fullMinionsAreNoRoom);
    CPPUNIT_TEST(drainingMinionIsNoRoom);
    CPPUNIT_TEST(taskThatOutlivesItsCancelledJobIsSeen);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        violations_.clear();
        const auto report = [this](const std::string &text) { violations_.push_back(text); };
        now_ = TimePoint() + 1h;
        calm_ = Calm();
        watch_ = std::make_unique<LastingWatch>(report);
        ledger_ = std::make_unique<Ledger>(report);
        ledger_->addMinion("m1", 4000);
        ledger_->addMinion("m2", 4000);
        ledger_->sent("a", lastingJob());
        ledger_->accepted("a");
    }

    void taskThatIsNeverStartedAgainIsReportedOnce()
    {
        begin("m1", "a", 1);
        passes(20s);
        end("m1", "a", 1);
        passes(8900ms);
        expect(0);
        passes(200ms);
        expect(1);
        passes(30s);
        expect(1);
    }

    void taskThatNeverRanIsReported()
    {
        passes(8900ms);
        expect(0);
        passes(200ms);
        expect(1);
    }

    void taskThatRunsAgainInTimeIsNotReported()
    {
        for (std::uint64_t run = 1; run < 5; ++run) {
            begin("m1", "a", run);
            passes(5s);
            end("m1", "a", run);
            passes(8900ms);
        }
        expect(0);
    }

    void taskWithoutRoomIsNotReported()
    {
        fill("m1", "b", 3000);
        fill("m2", "c", 3000);
        passes(60s);
        expect(0);
        end("m1", "b", 1);
        ledger_->cancelling("b");
        passes(2900ms);
        expect(0);
        passes(200ms);
        expect(1);
    }

    void taskThatLacksRoomForAMomentIsNotReported()
    {
        passes(8s);
        fill("m1", "b", 3000);
        fill("m2", "c", 3000);
        passes(100ms);
        ledger_->cancelling("b");
        ledger_->cancelling("c");
        end("m1", "b", 1);
        passes(2900ms);
        expect(0);
        passes(200ms);
        expect(1);
    }

    void disturbedCellIsNotReported()
    {
        passes(60s, true);
        expect(0);
        passes(Soak::contactTime + 2900ms);
        expect(0);
        passes(200ms);
        expect(1);
    }

    void lostMajorityPutsTheReportOff()
    {
        passes(60s, false, false);
        expect(0);
        passes(Soak::recoveryTime + 2900ms);
        expect(0);
        passes(200ms);
        expect(1);
    }

    void cancelledTaskIsNotReported()
    {
        passes(8s);
        ledger_->cancelling("a");
        passes(60s);
        expect(0);
    }

    void shortRunBetweenTwoLooksCounts()
    {
        passes(8900ms);
        begin("m1", "a", 1);
        end("m1", "a", 1);
        passes(8900ms);
        expect(0);
        passes(200ms);
        expect(1);
    }

    // Room for one copy is none: the rule asks for twice the capacity.
    void fullMinionsAreNoRoom()
    {
        CPPUNIT_ASSERT(ledger_->lastingTasks().front().fits);
        fill("m1", "b", 3500);
        CPPUNIT_ASSERT(ledger_->lastingTasks().front().fits);
        fill("m2", "c", 2500);
        CPPUNIT_ASSERT(!ledger_->lastingTasks().front().fits);
    }

    // A minion that drains takes nothing more, also when its next report says that it is ready.
    void drainingMinionIsNoRoom()
    {
        ledger_->minionDrains("m1");
        CPPUNIT_ASSERT(ledger_->lastingTasks().front().fits);
        fill("m2", "b", 2500);
        CPPUNIT_ASSERT(!ledger_->lastingTasks().front().fits);
        ledger_->minionCrashed("m1");
        CPPUNIT_ASSERT(ledger_->lastingTasks().front().fits);
    }

    void taskThatOutlivesItsCancelledJobIsSeen()
    {
        begin("m1", "a", 1);
        CPPUNIT_ASSERT(!ledger_->isLastingAfterCancel());
        ledger_->cancelling("a");
        ledger_->cancelled("a");
        CPPUNIT_ASSERT(ledger_->isLastingAfterCancel());
        CPPUNIT_ASSERT(ledger_->lastingJobs().empty());
        end("m1", "a", 1);
        CPPUNIT_ASSERT(!ledger_->isLastingAfterCancel());
    }

private:
    static Ledger::Job lastingJob(std::int64_t milliCores = 1500)
    {
        Ledger::Job job;
        job.payload = "p";
        Ledger::Step step;
        step.tasks = 1;
        step.milliCores = milliCores;
        step.isLasting = true;
        job.steps = {step};
        return job;
    }
    void begin(const std::string &minion, const std::string &job, std::uint64_t run)
    {
        Jobs::StartOrder order;
        order.task = {{job, 0, 0}, 0};
        order.run = run;
        order.payload = "p";
        ledger_->runBegan(minion, order);
    }
    void end(const std::string &minion, const std::string &job, std::uint64_t run)
    {
        ledger_->runEnded(minion, {run, {{job, 0, 0}, 0}, run, Jobs::RunEnd::Failed, {}});
    }
    void fill(const std::string &minion, const std::string &job, std::int64_t milliCores)
    {
        ledger_->sent(job, lastingJob(milliCores));
        ledger_->accepted(job);
        begin(minion, job, 1);
    }
    void passes(Duration span, bool isDisturbed = false, bool hasMajority = true)
    {
        constexpr Duration look = 10ms;
        for (const auto until = now_ + span; now_ < until; now_ += look) {
            calm_.observe(now_, isDisturbed, hasMajority);
            watch_->observe(now_, ledger_->lastingTasks(), calm_.isCalm(now_));
        }
    }
    void expect(std::size_t violations) const { CPPUNIT_ASSERT_EQUAL(violations, violations_.size()); }

    TimePoint now_;
    Calm calm_;
    std::vector<std::string> violations_;
    std::unique_ptr<Ledger> ledger_;
    std::unique_ptr<LastingWatch> watch_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LastingWatchTest);
