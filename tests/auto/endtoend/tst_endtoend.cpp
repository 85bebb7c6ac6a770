#include "cluster.h"
#include "journalview.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <unistd.h>

using namespace Pistachio;
using namespace Pistachio::EndToEnd;
using namespace std::chrono_literals;

namespace
{

const std::string configuration = R"({"zones": ["svealand"], "packing_weight_percent": 50,
    "quotas": [{"team": "print", "cores": 1000, "memory_mb": 1000000, "accelerators": 100}]})";
const std::string columns = "booking,team,kind,tasks,cores,memory_mb,accelerators,start,end,standing,zone,run_seconds,"
                            "checkpoint,command\n";

std::string row(const std::string &booking, const std::string &kind, int tasks, const std::string &command)
{
    return booking + ",print," + kind + ',' + std::to_string(tasks) + ",1,256,0,,,normal,svealand,,no," + command
        + '\n';
}

Transport::Request change(const std::string &method, const std::string &target, const std::string &requestId,
                          std::uint64_t expectedVersion, std::string body)
{
    return {method,
            target,
            {{"Request-Id", requestId}, {"Author", "tester"}, {"Expect-Version", std::to_string(expectedVersion)}},
            std::move(body)};
}

/// What a caller sees.
struct CallResultText {
    int status = 0;
    std::string body;
    std::string outcome;
};

} // namespace

class EndToEndTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndToEndTest);
    CPPUNIT_TEST(doubleRunsAreReported);
    CPPUNIT_TEST(sheetIsAppliedAndItsWorkRuns);
    CPPUNIT_TEST(tasksOfALostWorkerRunOnceElsewhere);
    CPPUNIT_TEST(changesSurviveLeadersOfThreeInstances);
    CPPUNIT_TEST(changesSurviveLeadersOfFiveInstances);
    CPPUNIT_TEST(aSecondLossAfterARepairLeavesAQuorum);
    CPPUNIT_TEST(aChangeInDoubtIsTakenOnce);
    CPPUNIT_TEST(aClaimedRequestRunsOnceAcrossLeaders);
    CPPUNIT_TEST(aPlannedStopEndsWithSuccess);
    CPPUNIT_TEST_SUITE_END();

    /// Sends a change until it is answered with success, to one instance after the other, always with the same id.
    /// \return the answer's body.
    static std::string accept(Cluster &cluster, const Transport::Request &request, int first = 0)
    {
        std::string body;
        int attempt = first;
        const bool accepted = Cluster::waitFor([&] {
            const auto result = cluster.call(attempt++ % cluster.size(), request, 2500ms);
            if (!result)
                return false;
            body = result.value().body;
            // Any other refusal means that an acknowledged change was lost or took effect twice.
            CPPUNIT_ASSERT_MESSAGE(body, result.value().status == 200 || result.value().status >= 500);
            return result.value().status == 200;
        });
        CPPUNIT_ASSERT_MESSAGE("not accepted: " + body, accepted);
        return body;
    }

    static void configure(Cluster &cluster, int workers)
    {
        accept(cluster, change("PUT", "/v1/configuration", "configuration-1", 0, configuration));
        for (int number = 1; number <= workers; ++number)
            cluster.startWorker("worker-" + std::to_string(number));
        CPPUNIT_ASSERT(Cluster::waitFor([&] {
            const auto view = cluster.get("/v1/workers?state=ready");
            std::size_t ready = 0;
            for (auto at = view.find("\"worker\""); at != std::string::npos; at = view.find("\"worker\"", at + 1))
                ++ready;
            return ready == static_cast<std::size_t>(workers);
        }));
    }

    static void assertRunning(Cluster &cluster, const std::string &prefix, std::size_t count)
    {
        std::size_t running = 0;
        const bool reached = Cluster::waitFor([&] {
            running = JournalView(cluster.journalPath(), cluster.deaths()).running(prefix);
            return running == count;
        });
        CPPUNIT_ASSERT_MESSAGE(prefix + ": " + std::to_string(running) + " run", reached);
    }

    static void assertNoOverlap(Cluster &cluster)
    {
        const auto overlaps = JournalView(cluster.journalPath(), cluster.deaths()).overlaps();
        CPPUNIT_ASSERT_MESSAGE(overlaps.empty() ? "" : overlaps.front(), overlaps.empty());
    }

    static int awaitLeader(Cluster &cluster, const std::string &group)
    {
        int leader = -1;
        CPPUNIT_ASSERT(Cluster::waitFor([&] { return (leader = cluster.leader(group)) >= 0; }));
        return leader;
    }

    /// A sheet for each change, each with one booking more; the leader of one group is killed and that of the other
    /// paused meanwhile.
    static void changesSurviveLeaders(int instances)
    {
        constexpr std::uint64_t changes = 12;
        Cluster cluster(instances);
        configure(cluster, 3);
        std::string sheet = columns;
        std::string firstAnswer;
        int killed = -1;
        int paused = -1;
        for (std::uint64_t number = 1; number <= changes; ++number) {
            sheet += row("b" + std::to_string(number), "service", 1, "serve");
            if (number == 4) {
                killed = awaitLeader(cluster, "cell");
                cluster.control(killed).kill();
            }
            if (number == 7)
                cluster.startControl(killed);
            if (number == 9) {
                paused = awaitLeader(cluster, "zone");
                cluster.control(paused).signal(SIGSTOP);
            }
            const auto id = "change-" + std::to_string(number);
            const auto body
                = accept(cluster, change("POST", "/v1/sheets", id, number - 1, sheet), static_cast<int>(number));
            if (number == 1)
                firstAnswer = body;
        }
        cluster.control(paused).signal(SIGCONT);

        assertRunning(cluster, "b", changes);
        const auto current = cluster.get("/v1/sheets/current");
        for (std::uint64_t number = 1; number <= changes; ++number)
            CPPUNIT_ASSERT_MESSAGE(current, current.find("\nb" + std::to_string(number) + ',') != std::string::npos);
        // The first change again, after its leader is gone: the answer of then, not a conflict.
        const auto again
            = accept(cluster, change("POST", "/v1/sheets", "change-1", 0, columns + row("b1", "service", 1, "serve")));
        CPPUNIT_ASSERT_MESSAGE(again + firstAnswer, again.find("\"version\":1}") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(again, again.find("\"repeated_request\":true") != std::string::npos);
        assertNoOverlap(cluster);
        // Leases outlive the changes of leaders, so no task had to be started again.
        const JournalView view(cluster.journalPath(), cluster.deaths());
        for (const auto &[task, runs] : view.runs())
            CPPUNIT_ASSERT_EQUAL_MESSAGE(task, std::size_t{1}, runs.size());
    }

public:
    // Guards against a check of the journal that finds nothing whatever happened.
    void doubleRunsAreReported()
    {
        auto path = (std::filesystem::temp_directory_path() / "pistachio-journal-XXXXXX").string();
        ::close(::mkstemp(path.data()));
        const auto overlaps = [&path](const std::string &lines, const std::map<std::string, std::int64_t> &deaths) {
            std::ofstream(path) << lines;
            return JournalView(path, deaths).overlaps();
        };
        const std::string first = "100 start web/0 1 worker-1 \n";
        const std::string second = "200 start web/0 2 worker-2 \n";
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, overlaps(first + second, {}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             overlaps(first + second + "250 stop web/0 1 worker-1 killed\n", {}).size());
        CPPUNIT_ASSERT(overlaps(first + "150 stop web/0 1 worker-1 killed\n" + second, {}).empty());
        CPPUNIT_ASSERT(overlaps(first + second, {{"worker-1", 180}}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, overlaps(first + second, {{"worker-1", 220}}).size());
        std::filesystem::remove(path);
    }

    // Guards against a broken path from the operator to the workers.
    void sheetIsAppliedAndItsWorkRuns()
    {
        Cluster cluster(3);
        configure(cluster, 3);
        const auto wrong
            = cluster.call(0, change("POST", "/v1/sheets", "wrong", 0, columns + row("a", "servce", 1, "serve")));
        CPPUNIT_ASSERT_EQUAL(422, wrong.value().status);
        CPPUNIT_ASSERT_MESSAGE(wrong.value().body, wrong.value().body.find("\"row\":2") != std::string::npos);
        const auto sheet = columns + row("web", "service", 3, "serve") + row("job", "batch", 4, "run 200")
            + row("gang", "together", 3, "run 60000");
        // Every instance takes the request, whoever leads.
        for (int index = 0; index < cluster.size(); ++index)
            accept(cluster, change("POST", "/v1/sheets", "sheet-1", 0, sheet), index);
        assertRunning(cluster, "web/", 3);
        assertRunning(cluster, "gang/", 3);
        CPPUNIT_ASSERT(Cluster::waitFor([&] {
            const JournalView view(cluster.journalPath(), {});
            return view.started("job/") == 4 && view.running("job/") == 0;
        }));
        CPPUNIT_ASSERT(
            Cluster::waitFor([&] { return cluster.get("/v1/bookings/job").find("\"ended\"") != std::string::npos; }));
        assertNoOverlap(cluster);
        const auto unauthorized = cluster.call(0, {"GET", "/v1/status", {{"Authorization", "Bearer wrong"}}, {}});
        CPPUNIT_ASSERT_EQUAL(401, unauthorized.value().status);
    }

    // Guards against tasks that stay lost, and against tasks that are placed again before the lease has expired.
    void tasksOfALostWorkerRunOnceElsewhere()
    {
        Cluster cluster(3);
        configure(cluster, 3);
        accept(cluster, change("POST", "/v1/sheets", "sheet-1", 0, columns + row("web", "service", 9, "serve")));
        assertRunning(cluster, "web/", 9);
        std::set<std::string> lost;
        const JournalView before(cluster.journalPath(), {});
        for (const auto &[task, runs] : before.runs()) {
            if (runs.front().worker == "worker-2")
                lost.insert(task);
        }
        CPPUNIT_ASSERT(!lost.empty());
        cluster.killWorker("worker-2");
        assertRunning(cluster, "web/", 9);
        const JournalView view(cluster.journalPath(), cluster.deaths());
        for (const auto &[task, runs] : view.runs())
            CPPUNIT_ASSERT_EQUAL_MESSAGE(task, std::size_t{lost.contains(task) ? 2U : 1U}, runs.size());
        assertNoOverlap(cluster);
    }

    // Guard against acknowledged changes that get lost, and against work of two leaders at once.
    void changesSurviveLeadersOfThreeInstances() { changesSurviveLeaders(3); }
    void changesSurviveLeadersOfFiveInstances() { changesSurviveLeaders(5); }

    // Guards against a repair that does not restore the quorum: a lost voter is replaced, then a second one is lost.
    void aSecondLossAfterARepairLeavesAQuorum()
    {
        Cluster cluster(3);
        configure(cluster, 2);
        const int lost = awaitLeader(cluster, "cell");
        cluster.control(lost).kill();
        const auto body = cluster.addControl();
        const auto target = "/v1/instances/control-" + std::to_string(lost + 1);
        accept(cluster, change("PUT", target, "replace-1", 0, body), lost + 1);
        CPPUNIT_ASSERT(Cluster::waitFor([&] {
            const auto metrics = cluster.call(3, {"GET", "/v1/metrics", {}, {}}, 500ms);
            const auto is = [&](const char *line) { return metrics.value().body.find(line) != std::string::npos; };
            return metrics && is("cell_is_voter 1") && is("zone_is_voter{zone=\"svealand\"} 1") && is("cell_voters 3")
                && is("zone_voters{zone=\"svealand\"} 3");
        }));
        cluster.control((lost + 1) % 3).kill();
        accept(cluster, change("POST", "/v1/sheets", "sheet-1", 0, columns + row("web", "service", 2, "serve")), 3);
        assertRunning(cluster, "web/", 2);
        assertNoOverlap(cluster);
    }

    // Guards against a change that is reported as refused and takes effect later, or that takes effect twice.
    void aChangeInDoubtIsTakenOnce()
    {
        Cluster cluster(3);
        configure(cluster, 1);
        const int leader = awaitLeader(cluster, "cell");
        const auto request = change("POST", "/v1/sheets", "sheet-1", 0, columns + row("web", "service", 2, "serve"));
        // So that the next request does not have to ask the paused instances first.
        CPPUNIT_ASSERT(cluster.call(leader, {"GET", "/v1/status", {}, {}}).has_value());
        for (int index = 0; index < 3; ++index) {
            if (index != leader)
                cluster.control(index).signal(SIGSTOP);
        }
        const auto first = cluster.call(leader, request, 12000ms);
        CPPUNIT_ASSERT(first.has_value());
        CPPUNIT_ASSERT_MESSAGE(first.value().body, first.value().status == 503 || first.value().status == 504);
        for (int index = 0; index < 3; ++index)
            cluster.control(index).signal(SIGCONT);
        if (first.value().status == 503) {
            awaitLeader(cluster, "cell");
            CPPUNIT_ASSERT(Cluster::waitFor([&] { return !cluster.get("/v1/sheets").empty(); }));
            CPPUNIT_ASSERT(cluster.get("/v1/sheets").find("\"version\":0}") != std::string::npos);
        }
        const auto body = accept(cluster, request);
        CPPUNIT_ASSERT_MESSAGE(body, body.find("\"version\":1}") != std::string::npos);
        assertRunning(cluster, "web/", 2);
        assertNoOverlap(cluster);
    }

    // Guards against records of requests that are lost with the leader of the zone: the resend would run again (I5).
    void aClaimedRequestRunsOnceAcrossLeaders()
    {
        Cluster cluster(3);
        auto services = configuration;
        services.insert(1, R"("services": [{"service": "ordering", "timeout_ms": 2000, "max_body_bytes": 10000}], )");
        accept(cluster, change("PUT", "/v1/configuration", "configuration-1", 0, services));
        cluster.startEntryAndMinion();
        const auto send = [&](const std::string &body) {
            return cluster.request({"POST",
                                    "/s/ordering/print",
                                    {{"Pistachio-Repeatable", "no"}, {"Idempotency-Key", "svealand~order-1"}},
                                    body});
        };
        const auto sendUntilRun = [&](const std::string &body) {
            CallResultText text;
            CPPUNIT_ASSERT(Cluster::waitFor([&] {
                const auto result = send(body);
                if (!result)
                    return false;
                text = {result.value().status, result.value().body,
                        std::string(Transport::headerValue(result.value().headers, "Pistachio-Outcome"))};
                CPPUNIT_ASSERT_MESSAGE(text.body, text.outcome != "unknown");
                return text.outcome == "run";
            }));
            return text.body;
        };
        const auto first = sendUntilRun("certificate 1");
        CPPUNIT_ASSERT_MESSAGE(first, first.find("certificate 1") != std::string::npos);
        cluster.control(awaitLeader(cluster, "zone")).kill();
        CPPUNIT_ASSERT_EQUAL(first, sendUntilRun("certificate 1"));
        CPPUNIT_ASSERT_EQUAL(422, send("certificate 2").value().status);
        cluster.minion().signal(SIGTERM);
        CPPUNIT_ASSERT(cluster.minion().wait(20000ms).has_value());
        std::ifstream log(cluster.minionLog());
        const std::string counts{std::istreambuf_iterator<char>(log), {}};
        CPPUNIT_ASSERT_MESSAGE(counts, counts.find("\"runs\":1}") != std::string::npos);
    }

    // Guards against planned stops that fail or take tasks with them.
    void aPlannedStopEndsWithSuccess()
    {
        Cluster cluster(3);
        configure(cluster, 2);
        accept(cluster, change("POST", "/v1/sheets", "sheet-1", 0, columns + row("web", "service", 2, "serve")));
        assertRunning(cluster, "web/", 2);
        const int leader = awaitLeader(cluster, "zone");
        cluster.control(leader).signal(SIGTERM);
        const auto code = cluster.control(leader).wait(20000ms);
        CPPUNIT_ASSERT(code.has_value());
        CPPUNIT_ASSERT_EQUAL(0, *code);
        const auto sheet = columns + row("web", "service", 2, "serve") + row("more", "service", 2, "serve");
        accept(cluster, change("POST", "/v1/sheets", "sheet-2", 1, sheet));
        assertRunning(cluster, "more/", 2);
        // A worker that leaves hands its tasks over and ends by itself.
        cluster.worker("worker-1").signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, cluster.worker("worker-1").wait(20000ms).value_or(-1));
        assertRunning(cluster, "", 4);
        assertNoOverlap(cluster);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndToEndTest);
