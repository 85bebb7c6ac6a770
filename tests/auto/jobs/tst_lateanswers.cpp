#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <cppunit/extensions/HelperMacros.h>
#include <jobs.pb.h>

#include <utility>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

/// Applies proposals at once and keeps orders.
class RecordingPorts : public SchedulerPorts
{
public:
    explicit RecordingPorts(JobStore &store)
        : store_(store)
    {
    }

    void propose(Wire::JobCommand command, std::function<void(bool applied)> ended) override
    {
        store_.apply(++applied_, command.SerializeAsString());
        if (ended)
            ended(true);
    }
    void start(const StartOrder &order) override { starts.push_back(order); }
    void stop(const StopOrder &order) override { stops.push_back(order); }
    void renewLease(const LeaseOrder &order) override { renewals.push_back(order); }
    void throttle(const ThrottleOrder & /*order*/) override { }
    [[nodiscard]] std::size_t idleAdviceClients() const override { return 0; }
    void askAdvice(const AdviceRequest & /*request*/) override { }
    void logDecision(Logging::LogLevel /*level*/, std::string_view /*event*/,
                     std::initializer_list<Logging::LogField> /*fields*/) override
    {
    }

    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<LeaseOrder> renewals;

private:
    JobStore &store_;
    std::uint64_t applied_ = 0;
};

} // namespace

/// Answers that arrive when they no longer say what the leader asked.
class LateAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LateAnswersTest);
    CPPUNIT_TEST(answerToAnEarlierLeadershipConfirmsNoLease);
    CPPUNIT_TEST_SUITE_END();

    JobStore store_;
    RecordingPorts ports_{store_};
    JobScheduler scheduler_{store_, ports_, {}};
    EventTime now_{TimePoint(1h), 1'000'000};
    const MinionIncarnation minion_{"a", 1};

    void advance(Duration span)
    {
        now_.time += span;
        now_.unixMs += span / 1ms;
        scheduler_.tick(now_);
    }

    void reportMinion()
    {
        MinionReport report;
        report.incarnation = minion_;
        report.address = "a:1";
        report.service = "service";
        report.milliCores = 4000;
        report.memoryMb = 1000;
        report.sequence = 1;
        scheduler_.minionReported(now_, report, [](bool) {});
    }

    static LeaseAnswer confirmed()
    {
        LeaseAnswer answer;
        answer.outcome = OrderOutcome::Done;
        answer.clockMs = 5000;
        answer.bornUnixMs = 1;
        return answer;
    }

public:
    // A minion that had answered an earlier leadership of the process got starts, though it still obeyed others.
    void answerToAnEarlierLeadershipConfirmsNoLease()
    {
        scheduler_.becomeLeader(now_, 1);
        reportMinion();
        advance(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ports_.renewals.size());
        scheduler_.loseLeadership();
        scheduler_.becomeLeader(now_, 2);
        advance(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ports_.renewals.size());
        scheduler_.leaseAnswered(now_, ports_.renewals.front(), confirmed());
        CPPUNIT_ASSERT(!std::as_const(scheduler_).fleet().find(minion_)->leaseConfirmed);
        advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ports_.renewals.size());
        scheduler_.leaseAnswered(now_, ports_.renewals.back(), confirmed());
        CPPUNIT_ASSERT(std::as_const(scheduler_).fleet().find(minion_)->leaseConfirmed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateAnswersTest);
