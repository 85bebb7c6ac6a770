#include "cell.pb.h"
#include "cellstate/cellstate.h"
#include "operatorapi/clusterview.h"
#include "operatorapi/operatorapi.h"
#include "pistachioctl/networkcaller.h"
#include "pistachioctl/table.h"
#include "pistachioctl/verbs.h"
#include "transport/eventloop.h"
#include "transport/httpserver.h"
#include "zone.pb.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace Pistachio;
using namespace Pistachio::Pistachioctl;
using Transport::CallError;
using Transport::CallResult;
using Transport::Endpoint;

namespace
{

const std::string header
    = "booking,team,kind,tasks,cores,memory_mb,accelerators,start,end,standing,zone,run_seconds,checkpoint,command\n";

class NoView : public Operatorapi::ClusterView
{
public:
    std::vector<Operatorapi::TaskView> tasks(const BookingId &) const override { return {}; }
    Operatorapi::Explanation explain(const BookingId &) const override { return {"waits for cores", {}, false}; }
    std::vector<Operatorapi::WorkerView> workers() const override { return {}; }
    std::vector<Operatorapi::InstanceView> instances() const override { return {}; }
    Operatorapi::StatusView status() const override { return {}; }
    std::vector<Operatorapi::ZoneCapacityView> capacities() const override { return {}; }
};

// A cell behind several addresses, each of which can misbehave in its own way.
class FakeCell : public Caller
{
public:
    enum class Fault { None, Refused, LosesAnswer, DoesNotKnow, Unavailable, NamesLeader };

    std::map<std::uint16_t, Fault> faults;
    std::uint16_t leader = 3;
    Cellstate::CellState state;
    std::vector<std::uint16_t> called;
    int pauses = 0;

    FakeCell()
    {
        Wire::CellCommand command;
        command.mutable_set_configuration()->mutable_configuration()->add_zones("north");
        CPPUNIT_ASSERT(state.apply(command).code() == Wire::CELL_RESULT_ACCEPTED);
    }

    CallResult call(const Endpoint &endpoint, const Transport::Request &request) override
    {
        called.push_back(endpoint.port);
        switch (faults[endpoint.port]) {
        case Fault::Refused:
            return CallError{failure(ErrorCode::Unavailable, "connection refused"), false};
        case Fault::LosesAnswer:
            (void)answer(request);
            return CallError{failure(ErrorCode::Io, "connection reset"), true};
        case Fault::DoesNotKnow:
            return Transport::Response{504, {}, "leadership was lost"};
        case Fault::Unavailable:
            return Transport::Response{503, {}, "no leader"};
        case Fault::NamesLeader:
            return Transport::Response{421, {{"Pistachio-Leader", "127.0.0.1:" + std::to_string(leader)}}, "{}"};
        case Fault::None:
            break;
        }
        return answer(request);
    }

    void pause(Duration) override { ++pauses; }

private:
    Transport::Response answer(const Transport::Request &request)
    {
        Operatorapi::Request received{request.method, request.target, {}, request.body, 1000};
        for (const auto &field : request.headers)
            received.headers.emplace_back(field.name, field.value);
        const auto handling = api_.handle(received);
        const auto *proposal = std::get_if<Operatorapi::CellProposal>(&handling);
        const auto answer = proposal != nullptr ? proposal->answer(state.apply(*proposal->command))
                                                : std::get<Operatorapi::Answer>(handling);
        Transport::Response response{static_cast<int>(answer.status), {}, answer.body};
        for (const auto &[name, value] : answer.headers)
            response.headers.push_back({name, value});
        return response;
    }

    NoView view_;
    Operatorapi::OperatorApi api_{state, view_};
};

using Fault = FakeCell::Fault;

// Something else that listens at the address.
class OtherProgram : public Caller
{
public:
    CallResult call(const Endpoint &, const Transport::Request &) override { return response; }
    void pause(Duration) override { }

    Transport::Response response;
};

class File
{
public:
    File(const std::string &name, const std::string &content)
        : path_("tst_pistachioctl_" + std::to_string(getpid()) + '_' + name)
    {
        std::ofstream(path_) << content;
    }
    ~File() { std::remove(path_.c_str()); }
    File(const File &) = delete;
    File &operator=(const File &) = delete;
    [[nodiscard]] const std::string &path() const { return path_; }

private:
    std::string path_;
};

// One operator at a terminal.
struct Operator {
    explicit Operator(Caller &cell, const std::string &name = "anna")
        : caller(cell)
    {
        options.author = name;
        for (const std::uint16_t port : {1, 2, 3})
            options.controls.push_back({"127.0.0.1", port});
    }

    int run(const std::vector<std::string> &words)
    {
        out.str({});
        err.str({});
        const auto newId = [this] { return options.author + std::to_string(++ids); };
        return static_cast<int>(runVerb(words, {options, {}, caller, out, err, newId}));
    }

    [[nodiscard]] bool says(const std::string &text) const
    {
        return out.str().find(text) != std::string::npos || err.str().find(text) != std::string::npos;
    }

    Caller &caller;
    Options options;
    std::ostringstream out;
    std::ostringstream err;
    int ids = 0;
};

} // namespace

class PistachioctlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PistachioctlTest);
    CPPUNIT_TEST(ofTwoOperatorsOneIsToldTheDifferences);
    CPPUNIT_TEST(lostAnswerIsRepeatedSafely);
    CPPUNIT_TEST(unknownResultIsNeverCalledUnchanged);
    CPPUNIT_TEST(nextAddressIsTriedAndLeaderFollowed);
    CPPUNIT_TEST(invalidSheetIsNotSent);
    CPPUNIT_TEST(dryRunAndCommandLineFaults);
    CPPUNIT_TEST(bookingsAndConfiguration);
    CPPUNIT_TEST(answersOfAnotherProgramAreSurvived);
    CPPUNIT_TEST(settingsFilesAreChecked);
    CPPUNIT_TEST(networkCallerTellsWhetherTheRequestWasSent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a daily round (diff, apply, show) that overwrites another operator's sheet.
    void ofTwoOperatorsOneIsToldTheDifferences()
    {
        FakeCell cell;
        Operator anna(cell, "anna");
        Operator bo(cell, "bo");
        const File first("first", header + "a,print,batch,1,1,1,,,,normal,,,,run\n");
        const File second("second", header + "b,print,batch,1,1,1,,,,normal,,,,run\n");
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"sheet", "diff", first.path()}));
        CPPUNIT_ASSERT(anna.says("added a") && anna.says("--expect-version=0"));
        anna.options.expectVersion = bo.options.expectVersion = 0;
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"sheet", "apply", first.path()}));
        CPPUNIT_ASSERT(anna.says("accepted as version 1") && anna.says("request id: anna1"));
        CPPUNIT_ASSERT_EQUAL(4, bo.run({"sheet", "apply", second.path()}));
        CPPUNIT_ASSERT(bo.says("version 1 by anna") && bo.says("added a") && bo.says("next:"));
        CPPUNIT_ASSERT_EQUAL(0, bo.run({"sheet", "show"}));
        const File shown("shown", bo.out.str());
        CPPUNIT_ASSERT_EQUAL(0, bo.run({"sheet", "diff", shown.path()}));
        CPPUNIT_ASSERT(bo.says("0 added, 0 changed, 0 ended"));
        CPPUNIT_ASSERT_EQUAL(0, bo.run({"sheet", "history"}));
        CPPUNIT_ASSERT(bo.says("anna"));
    }

    // Guards against a change that is made twice or reported as a conflict with itself after its answer was lost.
    void lostAnswerIsRepeatedSafely()
    {
        FakeCell cell;
        Operator anna(cell);
        anna.options.expectVersion = 0;
        const File sheet("sheet", header + "a,print,batch,1,1,1,,,,normal,,,,run\n");
        cell.faults[1] = Fault::LosesAnswer;
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"sheet", "apply", sheet.path()}));
        CPPUNIT_ASSERT(anna.says("accepted as version 1") && anna.says("first result"));

        cell.faults[2] = cell.faults[3] = Fault::LosesAnswer;
        anna.options.expectVersion = 1;
        CPPUNIT_ASSERT_EQUAL(7, anna.run({"sheet", "apply", sheet.path()}));
        CPPUNIT_ASSERT(anna.says("unknown") && anna.says("--request-id=anna2") && anna.says("127.0.0.1:3"));
        CPPUNIT_ASSERT(!anna.says("nothing was changed"));
        cell.faults.clear();
        anna.options.requestId = "anna2";
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"sheet", "apply", sheet.path()}));
        CPPUNIT_ASSERT(anna.says("accepted as version 2"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, cell.state.sheetVersion());
    }

    // Guards against "nothing was changed" when an earlier attempt may have changed something.
    void unknownResultIsNeverCalledUnchanged()
    {
        FakeCell cell;
        Operator anna(cell);
        cell.faults = {{1, Fault::LosesAnswer}, {2, Fault::Unavailable}, {3, Fault::Refused}};
        const File sheet("sheet", header);
        anna.options.expectVersion = 0;
        CPPUNIT_ASSERT_EQUAL(7, anna.run({"sheet", "apply", sheet.path()}));
        CPPUNIT_ASSERT_EQUAL(6, anna.run({"status"}));
        cell.faults[1] = Fault::DoesNotKnow;
        CPPUNIT_ASSERT_EQUAL(7, anna.run({"sheet", "apply", sheet.path()}));
        CPPUNIT_ASSERT_EQUAL(6, anna.run({"status"}));
        cell.faults[1] = Fault::Unavailable;
        CPPUNIT_ASSERT_EQUAL(6, anna.run({"sheet", "apply", sheet.path()}));
        CPPUNIT_ASSERT(anna.says("nothing was changed") && anna.says("127.0.0.1:3: connection refused"));
    }

    // Guards against a client that gives up at the first dead address, or runs in circles between two former leaders.
    void nextAddressIsTriedAndLeaderFollowed()
    {
        FakeCell cell;
        Operator anna(cell);
        cell.faults = {{1, Fault::Refused}, {2, Fault::NamesLeader}};
        cell.leader = 9; // an address that the operator did not give
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"booking", "list"}));
        CPPUNIT_ASSERT((std::vector<std::uint16_t>{1, 2, 9} == cell.called));
        CPPUNIT_ASSERT_EQUAL(0, cell.pauses);
        cell.leader = 2;
        cell.faults[3] = Fault::NamesLeader;
        CPPUNIT_ASSERT_EQUAL(6, anna.run({"booking", "list"}));
        CPPUNIT_ASSERT(cell.called.size() < 60 && cell.pauses == 4);
    }

    // Guards against a planner who sees only the first error, or a broken sheet that is sent.
    void invalidSheetIsNotSent()
    {
        FakeCell cell;
        Operator anna(cell);
        const File sheet("sheet", header + "a b,print,job,1,1,1,,,,normal,,,,run\n");
        anna.options.expectVersion = 0;
        for (const char *verb : {"check", "diff", "apply"}) {
            CPPUNIT_ASSERT_EQUAL(3, anna.run({"sheet", verb, sheet.path()}));
            CPPUNIT_ASSERT(anna.says("booking") && anna.says("a b") && anna.says("kind") && anna.says("job"));
        }
        anna.options.isJson = true;
        CPPUNIT_ASSERT_EQUAL(3, anna.run({"sheet", "check", sheet.path()}));
        CPPUNIT_ASSERT(nlohmann::json::parse(anna.out.str())["errors"][1]["column"] == "kind");
        CPPUNIT_ASSERT(cell.called.empty());
        // A sheet that only the cell can judge.
        const File elsewhere("elsewhere", header + "a,print,batch,1,1,1,,,,normal,west,,,run\n");
        CPPUNIT_ASSERT_EQUAL(3, anna.run({"sheet", "apply", elsewhere.path()}));
        CPPUNIT_ASSERT(anna.says("'west' is not configured"));
    }

    void dryRunAndCommandLineFaults()
    {
        FakeCell cell;
        Operator anna(cell);
        const File sheet("sheet", header + "a,print,batch,1,1,1,,,,normal,,,,run\n");
        CPPUNIT_ASSERT_EQUAL(2, anna.run({"sheet", "apply", sheet.path()})); // without --expect-version
        anna.options.expectVersion = 0;
        anna.options.isDryRun = true;
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"sheet", "apply", sheet.path()}));
        CPPUNIT_ASSERT(anna.says("would be accepted") && anna.says("added a") && !anna.says("request id"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.state.sheetVersion());
        anna.options.isDryRun = false;
        anna.options.requestId = "a\r\nAuthorization: x";
        CPPUNIT_ASSERT_EQUAL(2, anna.run({"booking", "cancel", "a"}));
        anna.options.author.clear();
        CPPUNIT_ASSERT_EQUAL(2, anna.run({"booking", "cancel", "a"}));
        for (const std::vector<std::string> &words :
             std::vector<std::vector<std::string>>{{},
                                                   {"sheet"},
                                                   {"sheet", "apply"},
                                                   {"booking", "show"},
                                                   {"status", "now"},
                                                   {"sheet", "check", "missing"}})
            CPPUNIT_ASSERT_EQUAL(2, anna.run(words));
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"help"}));
        anna.options.controls.clear();
        CPPUNIT_ASSERT_EQUAL(2, anna.run({"status"}));
    }

    // Guards against verbs that ask for another path than the cell serves, and against a terminal controlled by a
    // booking.
    void bookingsAndConfiguration()
    {
        FakeCell cell;
        Operator anna(cell);
        anna.options.expectVersion = 0;
        const File sheet("sheet", header + "a,print,batch,1,1,1,,,,normal,,,,run\n");
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"sheet", "apply", sheet.path()}));
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"booking", "show", "a"}));
        CPPUNIT_ASSERT(anna.says("memory_mb"));
        CPPUNIT_ASSERT_EQUAL(5, anna.run({"booking", "show", "a/b ?"}));
        CPPUNIT_ASSERT(anna.says("'a/b ?'"));
        CPPUNIT_ASSERT_EQUAL(5, anna.run({"booking", "cancel", "a", "b"}));
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"booking", "cancel", "a"}));
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"booking", "explain", "a"}));
        CPPUNIT_ASSERT(anna.says("waits for cores") && anna.says("cancelled by anna"));
        anna.options.state = "cancelled";
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"booking", "list"}));
        CPPUNIT_ASSERT(anna.says("cancelled"));
        for (const char *noun : {"worker", "instance"})
            CPPUNIT_ASSERT_EQUAL(0, anna.run({noun, "list"}));
        CPPUNIT_ASSERT_EQUAL(5, anna.run({"worker", "drain", "w1"}));
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"status"}));
        CPPUNIT_ASSERT(anna.says("no leader is known") && anna.says("1 cancelled"));
        CPPUNIT_ASSERT_EQUAL(0,
                             anna.run({"instance", "add", "c4", "north", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}));
        CPPUNIT_ASSERT_EQUAL(
            5, anna.run({"instance", "replace", "c9", "c5", "north", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}));

        anna.options.expectVersion.reset();
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"configuration", "show"}));
        const File edited("edited", anna.out.str());
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"configuration", "apply", edited.path()}));
        CPPUNIT_ASSERT_EQUAL(4, anna.run({"configuration", "apply", edited.path()}));
        CPPUNIT_ASSERT_EQUAL(std::string("a\nx [2J\n"), tableText(nlohmann::json{{{"a", "x\x1B[2J"}}}, {"a"}));
    }

    // Guards against a crash, or a change taken for done or refused, when --control names the port of another program.
    void answersOfAnotherProgramAreSurvived()
    {
        OtherProgram other;
        Operator anna(other);
        anna.options.expectVersion = 0;
        const File sheet("sheet", header);
        const File configuration("configuration", "{}");
        std::string odd = "{";
        for (const char *key :
             {"code", "details", "result", "version", "instances", "repeated_request", "differences", "notes",
              "history", "bookings", "stale", "reasons", "task_list", "workers", "sheet", "zones"})
            odd.append(odd.size() > 1 ? "," : "").append("\"").append(key).append("\": [1, [2], null]");
        for (const int status : {200, 404}) {
            for (const std::string &body : {std::string(), std::string("[]"), std::string("{}"), odd + "}"}) {
                other.response = {status, {{"Sheet-Version", "x"}}, body};
                for (const std::vector<std::string> &words :
                     std::vector<std::vector<std::string>>{{"sheet", "diff", sheet.path()},
                                                           {"sheet", "apply", sheet.path()},
                                                           {"sheet", "show"},
                                                           {"sheet", "history"},
                                                           {"booking", "list"},
                                                           {"booking", "show", "a"},
                                                           {"booking", "explain", "a"},
                                                           {"booking", "cancel", "a"},
                                                           {"worker", "list"},
                                                           {"worker", "drain", "w"},
                                                           {"instance", "list"},
                                                           {"configuration", "show"},
                                                           {"configuration", "apply", configuration.path()},
                                                           {"status"}}) {
                    const int code = anna.run(words);
                    const std::string verb = words.size() > 1 ? words[1] : "";
                    const bool isChange = verb == "apply" || verb == "cancel" || verb == "drain";
                    const bool isReadable
                        = verb != "diff" && (body.starts_with('{') || words.front() + verb == "sheetshow");
                    const int unreadable = isChange ? 7 : 6;
                    const int expected = status != 200 ? 5 : isReadable ? 0 : unreadable;
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(body, expected, code);
                }
            }
        }
    }

    void settingsFilesAreChecked()
    {
        FakeCell cell;
        Operator anna(cell);
        const std::string entry = "instance = \"e\"\nzone = \"z\"\n[listen]\ncallers = \"127.0.0.1:1\"\n"
                                  "minions = \"127.0.0.1:2\"\ninternal = \"127.0.0.1:3\"\n[[control]]\nid = \"c\"\n"
                                  "zone = \"z\"\ninternal = \"127.0.0.1:4\"\n";
        const File good("good", entry);
        CPPUNIT_ASSERT_EQUAL(0, anna.run({"config", "check", good.path()}));
        CPPUNIT_ASSERT(anna.says("pistachio-entry"));
        const File unknownKey("unknown", "colour = 1\n" + entry);
        CPPUNIT_ASSERT_EQUAL(3, anna.run({"config", "check", unknownKey.path()}));
        CPPUNIT_ASSERT(anna.says("colour"));
        const File control("control", "instance = \"c\"\n");
        CPPUNIT_ASSERT_EQUAL(3, anna.run({"config", "check", control.path()}));
        CPPUNIT_ASSERT(anna.says("pistachio-control"));
        CPPUNIT_ASSERT_EQUAL(3, anna.run({"config", "check", "missing"}));
    }

    // Guards against a refused connection taken for a lost answer, and the reverse.
    void networkCallerTellsWhetherTheRequestWasSent()
    {
        using namespace std::chrono_literals;
        Transport::EventLoop loop;
        std::vector<Transport::Responder> unanswered;
        auto server = std::make_unique<Transport::HttpServer>(
            loop, Transport::HttpServerLimits(),
            [&](const Transport::Request &request, const Transport::Responder &responder) {
                if (request.target == "/answered")
                    responder.respond({200, {{"Sheet-Version", "7"}}, request.body + "!"});
                else
                    unanswered.push_back(responder);
            });
        const auto port = server->listen({"127.0.0.1", 0});
        CPPUNIT_ASSERT(port.has_value());
        std::thread thread([&] { loop.run(); });
        NetworkCaller caller(300ms);
        const Endpoint endpoint{"127.0.0.1", port.value()};
        const auto answered = caller.call(endpoint, {"POST", "/answered", {}, "body"});
        const auto silent = caller.call(endpoint, {"POST", "/silent", {}, "body"});
        loop.stop();
        thread.join();
        unanswered.clear();
        server.reset();
        const auto refused = caller.call(endpoint, {"POST", "/", {}, ""});
        CPPUNIT_ASSERT(answered.has_value() && answered.value().body == "body!");
        CPPUNIT_ASSERT(silent.has_error() && silent.error().written);
        CPPUNIT_ASSERT(refused.has_error() && !refused.error().written);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PistachioctlTest);
