#include "soak/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

using namespace Pistachio;
using Pistachio::Soak::Ledger;

/// Each check of the soak must find what it is for; a ledger that reports nothing would pass every run.
class LedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LedgerTest);
    CPPUNIT_TEST(orderlyRunIsNoViolation);
    CPPUNIT_TEST(unknownAndRefusedJobsMustNotRun);
    CPPUNIT_TEST(payloadMustBeTheCallers);
    CPPUNIT_TEST(taskMustNotRunTwice);
    CPPUNIT_TEST(runNumbersMustRise);
    CPPUNIT_TEST(minionMustNotBeOverfull);
    CPPUNIT_TEST(laterStepMustWait);
    CPPUNIT_TEST(acknowledgedEndIsFinal);
    CPPUNIT_TEST(lostEndMayRunAgain);
    CPPUNIT_TEST(toldStatesMustBeTrue);
    CPPUNIT_TEST(laterReadMustNotShowEarlierState);
    CPPUNIT_TEST(overtakenReadMayShowEarlierState);
    CPPUNIT_TEST(jobMustNotHaveTwoFinalStates);
    CPPUNIT_TEST(oneEndStandsForAGang);
    CPPUNIT_TEST(cancelledWorkMustStop);
    CPPUNIT_TEST(configurationMustNotGoBack);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        violations_.clear();
        ledger_ = std::make_unique<Ledger>([this](const std::string &text) { violations_.push_back(text); });
        ledger_->addMinion("m1", 4000);
        ledger_->addMinion("m2", 4000);
        Ledger::Job job;
        job.payload = "p";
        job.steps = {{2, 1500, false, false}, {1, 1500, true, false}};
        ledger_->sent("a", job);
        ledger_->accepted("a");
    }

    void orderlyRunIsNoViolation()
    {
        begin("m1", 0, 0);
        begin("m2", 0, 1);
        end("m1", 0, 0, 1);
        end("m2", 0, 1, 1);
        ledger_->endsAcknowledged("m1", 1);
        begin("m1", 1, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger_->unfinished().size());
        end("m1", 1, 0, 2);
        ledger_->stateSeen("a", "completed", false);
        ledger_->checkNothingRuns();
        CPPUNIT_ASSERT(ledger_->unfinished().empty());
        expect(0);
    }

    void unknownAndRefusedJobsMustNotRun()
    {
        auto order = orderOf(0, 0);
        order.task.step.job = "b";
        ledger_->runBegan("m1", order);
        expect(1);
        Ledger::Job job;
        job.payload = "p";
        job.steps = {{1, 100, false, false}};
        ledger_->sent("b", job);
        ledger_->refused("b");
        expect(1);
        ledger_->runBegan("m1", order);
        expect(2);
    }

    void payloadMustBeTheCallers()
    {
        auto order = orderOf(0, 0);
        order.payload = "q";
        ledger_->runBegan("m1", order);
        expect(1);
    }

    void taskMustNotRunTwice()
    {
        begin("m1", 0, 0);
        begin("m2", 0, 0, 2);
        expect(1);
    }

    void runNumbersMustRise()
    {
        begin("m1", 0, 0, 2);
        end("m1", 0, 0, 1, 2, Jobs::RunEnd::LeaseExpired);
        begin("m1", 0, 0, 2);
        expect(1);
    }

    void minionMustNotBeOverfull()
    {
        Ledger::Job job;
        job.payload = "p";
        job.steps = {{3, 1500, false, false}};
        ledger_->sent("a", job);
        begin("m1", 0, 0);
        begin("m1", 0, 1);
        expect(0);
        begin("m1", 0, 2);
        expect(1);
    }

    void laterStepMustWait()
    {
        begin("m1", 0, 0);
        end("m1", 0, 0, 1);
        begin("m1", 1, 0);
        expect(1);
    }

    void acknowledgedEndIsFinal()
    {
        begin("m1", 0, 0);
        end("m1", 0, 0, 1);
        ledger_->endsAcknowledged("m1", 1);
        begin("m2", 0, 0, 2);
        expect(1);
    }

    // A crashed minion takes the ends that nobody has stored with it.
    void lostEndMayRunAgain()
    {
        begin("m1", 0, 0);
        end("m1", 0, 0, 1);
        ledger_->minionCrashed("m1");
        ledger_->endsAcknowledged("m1", 1);
        begin("m2", 0, 0, 2);
        expect(0);
    }

    void toldStatesMustBeTrue()
    {
        ledger_->stateSeen("a", "running", false);
        expect(0);
        ledger_->stateSeen("a", "", false);
        expect(1);
        ledger_->stateSeen("a", "failed", false);
        expect(2);
        ledger_->stateSeen("a", "cancelled", false);
        expect(3);
        ledger_->stateSeen("a", "completed", false); // three tasks are missing, and it can't be both
        expect(7);
        ledger_->stateSeen("a", "queued", true);
        expect(8);
    }

    void laterReadMustNotShowEarlierState()
    {
        completeAll();
        ledger_->stateSeen("a", "completed", true);
        expect(0);
        ledger_->stateSeen("a", "running", true);
        expect(1);
        ledger_->stateSeen("a", "queued", true);
        expect(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger_->overtakenReads());
    }

    void overtakenReadMayShowEarlierState()
    {
        completeAll();
        ledger_->stateSeen("a", "running", false);
        ledger_->stateSeen("a", "queued", false);
        expect(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ledger_->overtakenReads());
    }

    void jobMustNotHaveTwoFinalStates()
    {
        ledger_->cancelling("a");
        completeAll();
        ledger_->stateSeen("a", "cancelled", false);
        expect(1);
    }

    void oneEndStandsForAGang()
    {
        Ledger::Job job;
        job.payload = "p";
        job.steps = {{2, 1500, false, true}};
        ledger_->sent("a", job);
        begin("m1", 0, 0);
        end("m1", 0, 0, 1);
        ledger_->stateSeen("a", "completed", false);
        expect(0);
        ledger_->endsAcknowledged("m1", 1);
        begin("m2", 0, 1);
        expect(1);
    }

    void cancelledWorkMustStop()
    {
        begin("m1", 0, 0);
        ledger_->cancelling("a");
        ledger_->cancelled("a");
        CPPUNIT_ASSERT(ledger_->unfinished().empty());
        ledger_->checkNothingRuns();
        expect(1);
    }

    void configurationMustNotGoBack()
    {
        ledger_->configurationAcknowledged(5);
        ledger_->configurationAcknowledged(4);
        ledger_->configurationRead(5, ledger_->newestAcknowledged());
        expect(0);
        ledger_->configurationRead(4, ledger_->newestAcknowledged());
        expect(1);
    }

private:
    static Jobs::StartOrder orderOf(std::uint32_t step, std::uint32_t index, std::uint64_t run = 1)
    {
        Jobs::StartOrder order;
        order.task = {{"a", 0, step}, index};
        order.run = run;
        order.payload = "p";
        return order;
    }
    void begin(const std::string &minion, std::uint32_t step, std::uint32_t index, std::uint64_t run = 1)
    {
        ledger_->runBegan(minion, orderOf(step, index, run));
    }
    void end(const std::string &minion, std::uint32_t step, std::uint32_t index, std::uint64_t number,
             std::uint64_t run = 1, Jobs::RunEnd how = Jobs::RunEnd::Done)
    {
        ledger_->runEnded(minion, {number, {{"a", 0, step}, index}, run, how, {}});
    }
    void completeAll()
    {
        end("m1", 0, 0, 1);
        end("m1", 0, 1, 2);
        end("m1", 1, 0, 3);
        ledger_->stateSeen("a", "completed", false);
    }
    void expect(std::size_t violations) const { CPPUNIT_ASSERT_EQUAL(violations, violations_.size()); }

    std::vector<std::string> violations_;
    std::unique_ptr<Ledger> ledger_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);
