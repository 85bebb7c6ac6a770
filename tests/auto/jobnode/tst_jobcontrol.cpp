#include "fakeleader.h"
#include "jobnode/adviceclient.h"
#include "jobnode/jobcontrol.h"
#include "jobnode/minionclient.h"
#include "jobnode/noderuntime.h"
#include "jobnode/peers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <optional>
#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobnode;

namespace
{

class NoAdvice : public AdviceClient
{
public:
    void ask(const Jobs::AdviceRequest & /*request*/, Answered answered) override { answered(false, {}); }
    void close() override { }
};

class NoMinions : public MinionClient
{
public:
    void start(const Jobs::StartOrder & /*order*/, Answered answered) override { answered({}); }
    void stop(const Jobs::StopOrder & /*order*/, Answered answered) override { answered({}); }
    void throttle(const Jobs::ThrottleOrder & /*order*/, Answered answered) override { answered({}); }
    void renewLease(const Jobs::LeaseOrder & /*order*/,
                    std::function<void(const Jobs::LeaseAnswer &)> answered) override
    {
        answered({});
    }
    void close() override { isClosed = true; }

    bool isClosed = false;
};

class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "pistachio-XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::string path;
};

Settings::JobSettings settingsOf(const std::string &ip, const std::string &folder)
{
    Settings::JobSettings settings;
    settings.instance = ip;
    settings.ip = ip;
    settings.zone = "z";
    settings.dataFolder = folder;
    settings.log.file = "/dev/null";
    settings.seeds = {{"127.0.0.2", 1}};
    return settings;
}

Settings::JobSettings leadingSettings(const std::string &folder)
{
    auto settings = settingsOf("127.0.0.1", folder);
    settings.seeds = {{"127.0.0.1", 1}};
    settings.bootstrap = true;
    settings.toleratedLosses = 0;
    return settings;
}

const Settings::JobSettings &withPort(Settings::JobSettings &settings, std::uint16_t port)
{
    settings.internalPort = port;
    return settings;
}

/// A control instance at 127.0.0.1 that leads alone, and the way to it.
class LeadingControl
{
public:
    LeadingControl()
        : settings(leadingSettings(folder.path))
        , runtime("test", settings)
        , portHolder(runtime.loop(), "127.0.0.6", 0)
        , control(withPort(settings, portHolder.port), runtime, minions, advice)
        , peers(runtime.loop(), settings.internalPort, "", nullptr)
    {
        CPPUNIT_ASSERT(control.open());
        while (!control.canAnswer())
            runtime.loop().runFor(10ms);
    }

    TemporaryFolder folder;
    Settings::JobSettings settings;
    NodeRuntime runtime;
    const FakeLeader portHolder;
    NoAdvice advice;
    NoMinions minions;
    JobControl control;
    Peers peers;
};

} // namespace

class JobControlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobControlTest);
    CPPUNIT_TEST(aloneItLeadsAndStoresAConfiguration);
    CPPUNIT_TEST(emptyInstanceFindsALeaderThatIsNoSeed);
    CPPUNIT_TEST(stopEndsCallsToMinions);
    CPPUNIT_TEST(destructionEndsCallsToMinions);
    CPPUNIT_TEST(instanceBehindATranslatedAddressTakesPart);
    CPPUNIT_TEST(stoppedVoterHandsOver);
    CPPUNIT_TEST(oddAnnouncementsTakePart);
    CPPUNIT_TEST(heldJobIsNotRefusedForItsQueue);
    CPPUNIT_TEST_SUITE_END();

public:
    void aloneItLeadsAndStoresAConfiguration()
    {
        TemporaryFolder folder;
        auto settings = settingsOf("127.0.0.1", folder.path);
        settings.seeds = {{"127.0.0.1", 1}};
        settings.bootstrap = true;
        settings.toleratedLosses = 0;
        NodeRuntime runtime("test", settings);
        NoAdvice advice;
        NoMinions minions;
        JobControl control(settings, runtime, minions, advice);
        CPPUNIT_ASSERT(control.open());
        while (!control.canAnswer())
            runtime.loop().runFor(10ms);
        Wire::JobConfiguration configuration;
        configuration.set_version(3);
        configuration.set_document("as sent");
        std::optional<Wire::JobVerdict> verdict;
        control.configure(configuration, [&](const Wire::JobReply &reply) { verdict = reply.verdict(); });
        while (!verdict)
            runtime.loop().runFor(10ms);
        CPPUNIT_ASSERT_EQUAL(int{Wire::JOB_VERDICT_ACCEPTED}, int{*verdict});
        std::optional<std::string> document;
        control.readConfiguration([&](const std::optional<std::string> &text) { document = text.value_or(""); });
        while (!document)
            runtime.loop().runFor(10ms);
        CPPUNIT_ASSERT_EQUAL(std::string("as sent"), *document);
    }

    // It asked only the seeds, which did not lead, and stayed outside the group for the rest of the day.
    void emptyInstanceFindsALeaderThatIsNoSeed()
    {
        TemporaryFolder folder;
        auto settings = settingsOf("127.0.0.4", folder.path);
        NodeRuntime runtime("test", settings);
        FakeLeader seed(runtime.loop(), "127.0.0.2", 0);
        FakeLeader leader(runtime.loop(), "127.0.0.3", seed.port);
        seed.verdict = Wire::JOB_VERDICT_NOT_LEADER;
        seed.otherLeader = "127.0.0.3";
        settings.internalPort = seed.port;
        NoAdvice advice;
        NoMinions minions;
        JobControl control(settings, runtime, minions, advice);
        CPPUNIT_ASSERT(control.open());
        for (int round = 0; round < 400 && leader.joins == 0; ++round)
            runtime.loop().runFor(10ms);
        CPPUNIT_ASSERT(leader.joins > 0);
    }

    // Lease renewals of a leader that stopped were answered after its end, which crashed it on every SIGTERM.
    void stopEndsCallsToMinions()
    {
        TemporaryFolder folder;
        const auto settings = settingsOf("127.0.0.1", folder.path);
        NodeRuntime runtime("test", settings);
        NoAdvice advice;
        NoMinions minions;
        JobControl control(settings, runtime, minions, advice);
        CPPUNIT_ASSERT(control.open());
        bool hasStopped = false;
        control.stop([&hasStopped] { hasStopped = true; });
        CPPUNIT_ASSERT(minions.isClosed);
        while (!hasStopped)
            runtime.loop().runFor(10ms);
    }

    // After a failed log the process ended without a stop, and answers came to an object that no longer existed.
    void destructionEndsCallsToMinions()
    {
        TemporaryFolder folder;
        const auto settings = settingsOf("127.0.0.1", folder.path);
        NodeRuntime runtime("test", settings);
        NoAdvice advice;
        NoMinions minions;
        {
            JobControl control(settings, runtime, minions, advice);
            CPPUNIT_ASSERT(control.open());
            CPPUNIT_ASSERT(!minions.isClosed);
        }
        CPPUNIT_ASSERT(minions.isClosed);
    }

    // Its own address is not one of the machine: neither listening nor connecting from there works.
    void instanceBehindATranslatedAddressTakesPart()
    {
        TemporaryFolder folder;
        auto settings = settingsOf("192.0.2.1", folder.path);
        settings.bindIp = "127.0.0.5";
        NodeRuntime runtime("test", settings);
        FakeLeader seed(runtime.loop(), "127.0.0.2", 0);
        settings.internalPort = seed.port;
        NoAdvice advice;
        NoMinions minions;
        JobControl control(settings, runtime, minions, advice);
        CPPUNIT_ASSERT(control.open());
        for (int round = 0; round < 400 && seed.joins == 0; ++round)
            runtime.loop().runFor(10ms);
        CPPUNIT_ASSERT(seed.joins > 0);
    }

    // A voter that was told to end took its vote along, although its successor held the log.
    void stoppedVoterHandsOver()
    {
        TemporaryFolder folder;
        TemporaryFolder otherFolder;
        auto settings = settingsOf("127.0.0.6", folder.path);
        settings.seeds = {{"127.0.0.6", 1}};
        settings.bootstrap = true;
        settings.toleratedLosses = 0;
        auto otherSettings = settingsOf("127.0.0.7", otherFolder.path);
        otherSettings.seeds = settings.seeds;
        otherSettings.toleratedLosses = 0;
        NodeRuntime runtime("test", settings);
        NodeRuntime otherRuntime("test", otherSettings);
        FakeLeader reserved(runtime.loop(), "127.0.0.2", 0);
        settings.internalPort = reserved.port;
        otherSettings.internalPort = reserved.port;
        NoAdvice advice;
        NoMinions minions;
        NoMinions otherMinions;
        JobControl control(settings, runtime, minions, advice);
        JobControl successor(otherSettings, otherRuntime, otherMinions, advice);
        const auto runBoth = [&] {
            runtime.loop().runFor(10ms);
            otherRuntime.loop().runFor(10ms);
        };
        CPPUNIT_ASSERT(control.open());
        CPPUNIT_ASSERT(successor.open());
        for (int round = 0; round < 150; ++round)
            runBoth();
        CPPUNIT_ASSERT(control.canAnswer());
        bool hasStopped = false;
        control.stop([&hasStopped] { hasStopped = true; });
        for (int round = 0; round < 200 && !(hasStopped && successor.canAnswer()); ++round)
            runBoth();
        CPPUNIT_ASSERT(hasStopped);
        CPPUNIT_ASSERT(successor.canAnswer());
    }

    // One without an id replaced the leader's own adviser; the others became members and relays that no one can reach.
    void oddAnnouncementsTakePart()
    {
        LeadingControl leading;
        auto &runtime = leading.runtime;
        auto &peers = leading.peers;
        for (const auto &odd :
             {std::string(), std::string("~1"), std::string("10.0.0.999"), std::string("10.0.0.1:99999~1"),
              std::string("name"), std::string(1'000'000, '9'), "10.0.0.1~" + std::string(1'000'000, '9')}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd.substr(0, 80), 400, join(runtime, peers, odd, false).status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd.substr(0, 80), 400, join(runtime, peers, odd, true).status);
        }
        CPPUNIT_ASSERT_EQUAL(200, join(runtime, peers, "10.0.0.1", true).status);
        Wire::JobReply reply;
        CPPUNIT_ASSERT(reply.ParseFromString(join(runtime, peers, "10.0.0.2", true).body));
        CPPUNIT_ASSERT_EQUAL(1, reply.entries_size());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), reply.entries(0));
    }

    // A job that is held was answered with "no such queue" when it was handed in again after its queue was removed.
    void heldJobIsNotRefusedForItsQueue()
    {
        LeadingControl leading;
        auto &runtime = leading.runtime;
        auto &peers = leading.peers;
        auto &control = leading.control;
        const std::string held = "/q/0000000000000001";
        configure(runtime, control, "/q/");
        CPPUNIT_ASSERT_EQUAL(int{Wire::JOB_VERDICT_ACCEPTED}, int{submit(runtime, peers, held)});
        configure(runtime, control, "/other/");
        CPPUNIT_ASSERT_EQUAL(int{Wire::JOB_VERDICT_UNKNOWN}, int{submit(runtime, peers, held)});
        CPPUNIT_ASSERT_EQUAL(int{Wire::JOB_VERDICT_NO_SUCH_QUEUE}, int{submit(runtime, peers, "/q/0000000000000002")});
        CPPUNIT_ASSERT_EQUAL(int{Wire::JOB_VERDICT_NO_SUCH_QUEUE}, int{submit(runtime, peers, "/z/0000000000000001")});
        configure(runtime, control, "/");
        CPPUNIT_ASSERT_EQUAL(int{Wire::JOB_VERDICT_UNKNOWN}, int{submit(runtime, peers, held)});
        CPPUNIT_ASSERT_EQUAL(int{Wire::JOB_VERDICT_INVALID}, int{submit(runtime, peers, "/q/0000000000000002")});
        configure(runtime, control, "/q/");
        CPPUNIT_ASSERT_EQUAL(int{Wire::JOB_VERDICT_ACCEPTED}, int{submit(runtime, peers, held)});
    }

private:
    /// Puts a configuration in force that has one queue at \p prefix.
    void configure(NodeRuntime &runtime, JobControl &control, const std::string &prefix)
    {
        Wire::JobConfiguration configuration;
        configuration.set_version(++version_);
        configuration.set_document("as sent");
        configuration.add_services()->set_name("s");
        auto &queue = *configuration.add_queues();
        queue.set_host("h");
        queue.set_path_prefix(prefix);
        queue.set_service("s");
        std::optional<Wire::JobVerdict> verdict;
        control.configure(configuration, [&](const Wire::JobReply &reply) { verdict = reply.verdict(); });
        while (!verdict)
            runtime.loop().runFor(5ms);
        CPPUNIT_ASSERT_EQUAL(int{Wire::JOB_VERDICT_ACCEPTED}, int{*verdict});
    }

    static Wire::JobVerdict submit(NodeRuntime &runtime, Peers &peers, const std::string &path)
    {
        Wire::JobCall call;
        call.set_host("h");
        call.set_path(path);
        call.mutable_submission()->add_steps()->set_tasks(1);
        std::optional<Wire::JobReply> reply;
        peers.call("127.0.0.1", "/jobs/call", call.SerializeAsString(), 3s, [&](const Transport::CallResult &result) {
            reply.emplace();
            CPPUNIT_ASSERT(result && reply->ParseFromString(result.value().body));
        });
        while (!reply)
            runtime.loop().runFor(5ms);
        return reply->verdict();
    }

    static Transport::Response join(NodeRuntime &runtime, Peers &peers, const std::string &instance, bool isEntry)
    {
        Wire::JobJoin join;
        join.set_instance(instance);
        join.set_is_entry(isEntry);
        std::optional<Transport::Response> response;
        peers.call("127.0.0.1", "/jobs/join", join.SerializeAsString(), 3s, [&](const Transport::CallResult &result) {
            response = result ? result.value() : Transport::Response{0, {}, result.error().error.message};
        });
        while (!response)
            runtime.loop().runFor(5ms);
        return *response;
    }

    std::uint64_t version_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobControlTest);
