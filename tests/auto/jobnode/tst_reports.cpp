#include "jobnode/fleetsize.h"
#include "jobnode/peers.h"
#include "jobnode/reportbatch.h"
#include "jobnode/reportplacement.h"
#include "jobnode/reportrelay.h"
#include "jobs/jobstore.h"
#include "jobs/minionrecord.h"
#include "replication/types.h"
#include "transport/http2server.h"

#include <jobs.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Jobnode;

namespace
{

const std::string leaderIp = "127.0.0.9";

Jobs::MinionReport reportOf(const std::string &id)
{
    Jobs::MinionReport report;
    report.incarnation = {id, 5};
    report.address = "10.0.0.1:80";
    report.service = "service";
    report.sequence = 7;
    return report;
}

/// A leader that gets batches of reports.
struct ReportLeader {
    explicit ReportLeader(Transport::EventLoop &loop)
        : server(loop, {},
                 [this, &loop](const Transport::Request &request, const Transport::Responder &responder) {
                     ++batches;
                     answerReportBatch(
                         loop, request.body,
                         [this](const Jobs::MinionReport &report, std::function<void(bool)> stored) {
                             reports.push_back(report);
                             if (outcome)
                                 stored(*outcome);
                             else
                                 held.push_back(std::move(stored));
                         },
                         responder);
                 })
        , port(server.listen({leaderIp, 0}).value())
    {
    }

    std::optional<bool> outcome = true; ///< nothing: the callbacks are held
    int batches = 0;
    std::vector<Jobs::MinionReport> reports;
    std::vector<std::function<void(bool)>> held;
    Transport::Http2Server server;
    std::uint16_t port;
};

std::vector<Replication::MemberStatus> members(int count)
{
    std::vector<Replication::MemberStatus> result;
    for (int i = 1; i <= count; ++i) {
        Replication::MemberStatus status;
        status.instance = InstanceId("10.0.0." + std::to_string(i));
        status.timeSinceAnswer = 50ms;
        result.push_back(status);
    }
    return result;
}

} // namespace

class ReportsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReportsTest);
    CPPUNIT_TEST(reportsWithoutNewsShareABatch);
    CPPUNIT_TEST(newsAreNotHeldBack);
    CPPUNIT_TEST(eachReportHasItsOwnOutcome);
    CPPUNIT_TEST(unreachableLeaderStoresNothing);
    CPPUNIT_TEST(batchIsAnsweredWithoutAllOutcomes);
    CPPUNIT_TEST(unreadableBatchIsRefused);
    CPPUNIT_TEST(reportsOfLargeFleetsAreSpread);
    CPPUNIT_TEST(lostInstanceMovesItsMinionsOnly);
    CPPUNIT_TEST(reportsOfSmallFleetsGoToTheLeader);
    CPPUNIT_TEST_SUITE_END();

    Transport::EventLoop loop_;
    Jobs::JobStore store_;

    void know(const std::string &id)
    {
        Wire::JobCommand command;
        *command.add_minions() = Jobs::toWire(reportOf(id));
        store_.apply(1, command.SerializeAsString());
    }

    void runUntil(const std::function<bool()> &condition)
    {
        for (int round = 0; round < 400 && !condition(); ++round)
            loop_.runFor(5ms);
        CPPUNIT_ASSERT(condition());
    }

public:
    // Each report of 1,100 minions was a call of its own to the leader.
    void reportsWithoutNewsShareABatch()
    {
        ReportLeader leader(loop_);
        Peers peers(loop_, leader.port, {});
        ReportRelay relay(loop_, peers, store_);
        std::size_t stored = 0;
        for (int i = 0; i < 100; ++i) {
            know("m" + std::to_string(i));
            relay.add(leaderIp, reportOf("m" + std::to_string(i)), [&stored](bool ok) { stored += ok ? 1 : 0; });
        }
        runUntil([&] { return stored == 100; });
        CPPUNIT_ASSERT_EQUAL(1, leader.batches);
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, leader.reports.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, leader.reports.front().sequence);
    }

    // Guards against a minion that leaves, or is new, and waits for others that have nothing to say.
    void newsAreNotHeldBack()
    {
        ReportLeader leader(loop_);
        Peers peers(loop_, leader.port, {});
        ReportRelay relay(loop_, peers, store_);
        know("m1");
        auto leaving = reportOf("m1");
        leaving.draining = true;
        auto moved = reportOf("m1");
        moved.address = "10.0.0.2:80";
        auto restarted = reportOf("m1");
        restarted.incarnation.bornUnixMs = 6;
        int batches = 0;
        for (const auto &report : {leaving, moved, restarted, reportOf("m2")}) {
            relay.add(leaderIp, report, [](bool) {});
            ++batches;
            // Less than reports without news wait.
            for (int round = 0; round < 10 && leader.batches < batches; ++round)
                loop_.runFor(5ms);
            CPPUNIT_ASSERT_EQUAL(batches, leader.batches);
        }
        CPPUNIT_ASSERT(leader.reports.front().draining);
    }

    void eachReportHasItsOwnOutcome()
    {
        ReportLeader leader(loop_);
        leader.outcome.reset();
        Peers peers(loop_, leader.port, {});
        ReportRelay relay(loop_, peers, store_);
        std::map<std::string, bool> outcomes;
        for (const std::string id : {"a", "b", "c"}) {
            know(id);
            relay.add(leaderIp, reportOf(id), [&outcomes, id](bool ok) { outcomes[id] = ok; });
        }
        runUntil([&] { return leader.held.size() == 3; });
        leader.held[2](true);
        leader.held[0](true);
        leader.held[1](false);
        runUntil([&] { return outcomes.size() == 3; });
        CPPUNIT_ASSERT(outcomes["a"] && !outcomes["b"] && outcomes["c"]);
    }

    // Guards against telling a minion that its report is known while no leader has it.
    void unreachableLeaderStoresNothing()
    {
        Peers peers(loop_, 1, {});
        ReportRelay relay(loop_, peers, store_);
        std::vector<bool> outcomes;
        const auto keep = [&outcomes](bool ok) { outcomes.push_back(ok); };
        relay.add({}, reportOf("m"), keep);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes.size());
        relay.add(leaderIp, reportOf("m"), keep);
        runUntil([&] { return outcomes.size() == 2; });
        know("m");
        relay.add(leaderIp, reportOf("m"), keep);
        relay.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, outcomes.size());
        CPPUNIT_ASSERT(std::none_of(outcomes.begin(), outcomes.end(), [](bool ok) { return ok; }));
    }

    // Guards against one report that is not committed and makes all others of its batch look lost.
    void batchIsAnsweredWithoutAllOutcomes()
    {
        Wire::JobMinionReports message;
        for (const std::string id : {"a", "b", ""})
            *message.add_reports()->mutable_minion() = Jobs::toWire(reportOf(id));
        std::optional<Wire::JobMinionReportsReply> reply;
        std::vector<std::function<void(bool)>> held;
        answerReportBatch(
            loop_, message.SerializeAsString(),
            [&held](const Jobs::MinionReport &report, std::function<void(bool)> stored) {
                if (report.incarnation.id == "a")
                    stored(true);
                else
                    held.push_back(std::move(stored));
            },
            Transport::Responder([&reply](const Transport::Response &response) {
                reply.emplace();
                CPPUNIT_ASSERT(reply->ParseFromString(response.body));
            }));
        CPPUNIT_ASSERT(!reply);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held.size());
        runUntil([&] { return reply.has_value(); });
        CPPUNIT_ASSERT_EQUAL(3, reply->stored_size());
        CPPUNIT_ASSERT(reply->stored(0) && !reply->stored(1) && !reply->stored(2));
        held.front()(true);
    }

    void unreadableBatchIsRefused()
    {
        int status = 0;
        answerReportBatch(
            loop_, "\xff\xff", [](const Jobs::MinionReport &, const std::function<void(bool)> &) {},
            Transport::Responder([&status](const Transport::Response &response) { status = response.status; }));
        CPPUNIT_ASSERT_EQUAL(400, status);
    }

    void reportsOfLargeFleetsAreSpread()
    {
        auto all = members(5);
        all[4].timeSinceAnswer = 3s;
        std::map<std::string, int> counts;
        for (int i = 0; i < 1000; ++i)
            ++counts[placeReports("m" + std::to_string(i), 1000, all).value()];
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, counts.size());
        for (const auto &[ip, count] : counts)
            CPPUNIT_ASSERT_MESSAGE(ip, count > 150 && count < 350);
    }

    void lostInstanceMovesItsMinionsOnly()
    {
        const auto before = members(5);
        auto after = before;
        after[2].timeSinceAnswer.reset();
        const std::string lost(after[2].instance.value());
        for (int i = 0; i < 1000; ++i) {
            const auto id = "m" + std::to_string(i);
            const auto place = placeReports(id, 1000, before).value();
            CPPUNIT_ASSERT(place == lost || place == placeReports(id, 1000, after).value());
        }
    }

    void reportsOfSmallFleetsGoToTheLeader()
    {
        CPPUNIT_ASSERT(!placeReports("m", 48, members(2)));
        CPPUNIT_ASSERT(!isLargeFleet(48));
        CPPUNIT_ASSERT(isLargeFleet(1100));
        CPPUNIT_ASSERT(!placeReports("m", 1100, {}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportsTest);
