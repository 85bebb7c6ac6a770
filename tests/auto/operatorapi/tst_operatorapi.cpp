#include "cell.pb.h"
#include "cellstate/cellstate.h"
#include "operatorapi/authorization.h"
#include "operatorapi/clusterview.h"
#include "operatorapi/operatorapi.h"
#include "zone.pb.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace Pistachio;
using namespace Pistachio::Operatorapi;
using nlohmann::json;

namespace
{

const std::string header
    = "booking,team,kind,tasks,cores,memory_mb,accelerators,start,end,standing,zone,run_seconds,checkpoint,command\n";
const std::string rowA = "a,print,service,2,1.5,100,,,,urgent,north,,,run\n";
const std::string rowB = "b,print,batch,1,2,100,1,2026-12-05T06:00:00Z,,normal,,60,yes,\"x, y\"\n";

class FakeView : public ClusterView
{
public:
    std::vector<TaskView> tasks(const BookingId &booking) const override
    {
        return {{{booking, 0}, 3, "running", WorkerId("w1"), ""}};
    }
    // The invalid byte stands for a reason that another process reported.
    Explanation explain(const BookingId &) const override { return {"waiting", {"no worker\xFF"}, true}; }
    std::vector<WorkerView> workers() const override
    {
        return {{WorkerId("w1"), ZoneId("north"), "r1", {16'000, 1 << 30, 0}, {}, 1, "ready", ""}};
    }
    std::vector<InstanceView> instances() const override
    {
        return {{InstanceId("control-1"), ZoneId("north"), "leader", "127.0.0.1:1", true, 1, 1},
                {InstanceId("control-2"), ZoneId("north"), "voter", "127.0.0.1:2", true, 0, 1},
                {InstanceId("entry-1"), ZoneId("north"), "entry", "", true, 0, 0}};
    }
    StatusView status() const override
    {
        return {InstanceId("control-2"),
                InstanceId("control-1"),
                leaderAddress,
                4,
                9,
                {{ZoneId("north"), {}, true, 1, 2, 3}}};
    }
    std::vector<ZoneCapacityView> capacities() const override { return {{ZoneId("north"), {{16'000, 1 << 30, 8}}}}; }

    std::string leaderAddress = "127.0.0.1:1";
};

struct Cell {
    Cellstate::CellState state;
    FakeView view;
    OperatorApi api{state, view};

    Request request(const std::string &method, const std::string &target, const std::string &body = {},
                    const std::string &requestId = "r", const std::string &version = "0") const
    {
        return {method,
                target,
                {{"request-ID", requestId}, {"author", "Åsa"}, {"Expect-Version", version}},
                body,
                1'796'450'400'000};
    }

    // Does what the control process does: proposes, applies, answers.
    Answer call(const Request &request)
    {
        Handling handling = api.handle(request);
        if (auto *cell = std::get_if<CellProposal>(&handling))
            return cell->answer(state.apply(*cell->command));
        if (auto *zone = std::get_if<ZoneProposal>(&handling)) {
            Wire::ZoneResult result;
            result.set_code(Wire::ZONE_RESULT_ACCEPTED);
            return zone->answer(result);
        }
        return std::get<Answer>(handling);
    }

    Cell()
    {
        const std::string body = R"({"zones": ["north", "south"], "packing_weight_percent": 40,
            "quotas": [{"team": "print", "cores": 20.5, "memory_mb": 4096, "accelerators": 8}],
            "services": [{"service": "orders", "timeout_ms": 1000, "max_body_bytes": 1024}]})";
        const Answer answer = call(request("PUT", "/v1/configuration", body, "setup"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200U, answer.status);
    }
};

json parsed(const Answer &answer)
{
    return json::parse(answer.body);
}

// Every refusal has the documented form.
json failure(const Answer &answer, unsigned status, const std::string &code)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, status, answer.status);
    json body = parsed(answer);
    CPPUNIT_ASSERT_EQUAL(code, body["code"].get<std::string>());
    CPPUNIT_ASSERT(!body["message"].get<std::string>().empty() && !body["next_step"].get<std::string>().empty());
    CPPUNIT_ASSERT(body["details"].is_object() && body.size() == 4);
    return body;
}

} // namespace

class OperatorApiTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorApiTest);
    CPPUNIT_TEST(acceptedSheetTellsWhereItIsInForce);
    CPPUNIT_TEST(refusedSheets);
    CPPUNIT_TEST(dryRunChangesNothing);
    CPPUNIT_TEST(proposalWithoutResult);
    CPPUNIT_TEST(bookingsAreShownAndCancelled);
    CPPUNIT_TEST(configurationCanBeEditedAndSentBack);
    CPPUNIT_TEST(workersInstancesAndStatus);
    CPPUNIT_TEST(malformedRequestsAreRefused);
    CPPUNIT_TEST(tokenIsCompared);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an operator who takes "accepted" for "in force everywhere", and against a changed result of a
    // repeat.
    void acceptedSheetTellsWhereItIsInForce()
    {
        Cell cell;
        const Request request = cell.request("POST", "/v1/sheets", header + rowA + rowB);
        const json first = parsed(cell.call(request));
        CPPUNIT_ASSERT(first["result"] == "accepted" && first["version"] == 1 && first["request_id"] == "r");
        CPPUNIT_ASSERT(first["in_force_instances"] == 1 && first["instances"] == 2);
        CPPUNIT_ASSERT(first["differences"] == json({"added a", "added b"}));
        const json repeated = parsed(cell.call(request));
        CPPUNIT_ASSERT(repeated["version"] == 1 && repeated["repeated_request"] == true);

        const json list = parsed(cell.call(cell.request("GET", "/v1/sheets")));
        CPPUNIT_ASSERT_EQUAL(std::string("Åsa"), list["history"][0]["author"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("2026-12-05T06:00:00Z"), list["history"][0]["accepted_at"].get<std::string>());
        const Answer shown = cell.call(cell.request("GET", "/v1/sheets/1"));
        CPPUNIT_ASSERT(shown.body.find("\"x, y\"") != std::string::npos);
        CPPUNIT_ASSERT(shown.body.find(",south,") != std::string::npos);
        failure(cell.call(cell.request("GET", "/v1/sheets/2")), 404, "not-found");
    }

    void refusedSheets()
    {
        Cell cell;
        const auto post = [&](const std::string &body, const std::string &id, const std::string &version = "0") {
            return cell.call(cell.request("POST", "/v1/sheets", body, id, version));
        };
        const json invalid = failure(post(header + "a b,print,x,1,1,1,,,,normal,,,,run\n", "r1"), 422, "sheet-invalid");
        CPPUNIT_ASSERT(invalid["details"]["error_count"] == 2);
        CPPUNIT_ASSERT((invalid["details"]["errors"][0]
                        == json{{"row", 2},
                                {"column", "booking"},
                                {"value", "a b"},
                                {"reason", invalid["details"]["errors"][0]["reason"]}}));
        failure(post(header + "a,print,batch,99,1,1,,,,normal,,,,run\n", "r2"), 422, "quota-exceeded");
        failure(post(header + "a,print,batch,1,17,1,,,,normal,north,,,run\n", "r3"), 422, "capacity");
        failure(post(header + "a,print,batch,1,1,1,,,,normal,west,,,run\n", "r4"), 422, "invalid");
        CPPUNIT_ASSERT_EQUAL(200U, post(header + rowA, "r5").status);
        const json conflict = failure(post(header + rowB, "r6"), 409, "version-conflict");
        CPPUNIT_ASSERT(conflict["details"]["version"] == 1 && conflict["details"]["author"] == "Åsa");
        CPPUNIT_ASSERT(conflict["details"]["differences"] == json({"added a"}));
        failure(post(header + rowB, "r5", "1"), 422, "request-id-reused");
    }

    // Guards against a dry run that takes a request id or a version.
    void dryRunChangesNothing()
    {
        Cell cell;
        const std::string before = cell.state.snapshot();
        const Answer accepted = cell.call(cell.request("POST", "/v1/sheets?dry_run=true", header + rowA, ""));
        CPPUNIT_ASSERT_EQUAL(200U, accepted.status);
        CPPUNIT_ASSERT(parsed(accepted)["dry_run"] == true);
        CPPUNIT_ASSERT(parsed(accepted)["differences"] == json({"added a"}));
        failure(cell.call(cell.request("POST", "/v1/sheets?dry_run=true", header + rowA, "r", "7")), 409,
                "version-conflict");
        CPPUNIT_ASSERT(before == cell.state.snapshot());
    }

    // Guards against an operator who takes a lost result for a refusal, and against a leader that isn't named.
    void proposalWithoutResult()
    {
        Cell cell;
        const Request request = cell.request("POST", "/v1/sheets", header + rowA, "r77");
        const Handling handling = cell.api.handle(request);
        const auto &failed = std::get<CellProposal>(handling).failed;
        const Answer elsewhere = failed({ErrorCode::NotLeader, "control-1"});
        failure(elsewhere, 421, "not-leader");
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:1"),
                             std::string(headerValue(elsewhere.headers, "pistachio-leader")));
        const json unknown = failure(failed({ErrorCode::Unknown, "timed out"}), 504, "result-unknown");
        CPPUNIT_ASSERT(unknown["next_step"].get<std::string>().find("r77") != std::string::npos);
        failure(failed({ErrorCode::Unavailable, "stopping"}), 503, "unavailable");
        cell.view.leaderAddress.clear();
        failure(failed({ErrorCode::NotLeader, ""}), 503, "no-leader");

        const Handling drain = cell.api.handle(cell.request("POST", "/v1/workers/w1/drain"));
        Wire::ZoneResult result;
        result.set_code(Wire::ZONE_RESULT_IN_DOUBT);
        failure(std::get<ZoneProposal>(drain).answer(result), 504, "result-unknown");
        result.set_code(Wire::ZONE_RESULT_UNAVAILABLE);
        failure(std::get<ZoneProposal>(drain).answer(result), 503, "unavailable");
        result.set_code(Wire::ZONE_RESULT_REFUSED);
        failure(std::get<ZoneProposal>(drain).answer(result), 409, "refused");
    }

    // Guards against answers that hide where a booking stands, and against text of other processes that JSON can't
    // hold.
    void bookingsAreShownAndCancelled()
    {
        Cell cell;
        cell.call(cell.request("POST", "/v1/sheets", header + rowA + rowB));
        const json shown = parsed(cell.call(cell.request("GET", "/v1/bookings/%61")));
        CPPUNIT_ASSERT(shown["cores"] == 1.5 && shown["zone"] == "north" && shown["state"] == "active");
        CPPUNIT_ASSERT(shown["task_list"][0]["worker"] == "w1");
        failure(cell.call(cell.request("POST", "/v1/bookings/cancel", R"({"bookings": ["a", "z"]})", "r2")), 404,
                "not-found");
        const Answer cancelled = cell.call(cell.request("POST", "/v1/bookings/cancel", R"({"bookings": ["a"]})", "r3"));
        CPPUNIT_ASSERT_EQUAL(200U, cancelled.status);
        const json list = parsed(cell.call(cell.request("GET", "/v1/bookings?state=cancelled")));
        CPPUNIT_ASSERT(list["bookings"].size() == 1 && list["bookings"][0]["booking"] == "a");
        const json explained = parsed(cell.call(cell.request("GET", "/v1/bookings/a/explain")));
        CPPUNIT_ASSERT(explained["stale"] == true && explained["reasons"].size() == 2);
        CPPUNIT_ASSERT(explained["reasons"][0].get<std::string>().starts_with("cancelled by Åsa at 2026-12-05"));
        failure(cell.call(cell.request("GET", "/v1/bookings/zzz")), 404, "not-found");
    }

    // Guards against a configuration that loses values on its way to the operator's editor and back.
    void configurationCanBeEditedAndSentBack()
    {
        Cell cell;
        json body = parsed(cell.call(cell.request("GET", "/v1/configuration")));
        CPPUNIT_ASSERT(body["version"] == 1 && body["instances"] == 3 && body["in_force_instances"] == 2);
        body["packing_weight_percent"] = 60;
        const Answer changed = cell.call(cell.request("PUT", "/v1/configuration", body.dump(), "r2", "1"));
        CPPUNIT_ASSERT_EQUAL(200U, changed.status);
        CPPUNIT_ASSERT(parsed(changed)["differences"] == json({"changed packing weight: from 40 % to 60 %"}));
        for (const char *wrong :
             {R"({"zones": ["a"]})", R"({"zones": "a", "packing_weight_percent": 1})",
              R"({"zones": ["a"], "packing_weight_percent": 101})", R"({"zones": ["a"], "packing_weight_percent": -1})",
              R"({"zones": ["a"], "packing_weight_percent": 18446744073709551615})",
              R"({"zones": ["a"], "packing_weight_percent": 1, "color": 1})",
              R"({"zones": ["a"], "packing_weight_percent": 1, "quotas": [{"team": "t"}]})", "[", ""})
            failure(cell.call(cell.request("PUT", "/v1/configuration", wrong, "r3", "2")), 400, "invalid-request");
    }

    void workersInstancesAndStatus()
    {
        Cell cell;
        CPPUNIT_ASSERT(parsed(cell.call(cell.request("GET", "/v1/workers?zone=south")))["workers"].empty());
        CPPUNIT_ASSERT(parsed(cell.call(cell.request("GET", "/v1/workers")))["workers"][0]["capacity"]["cores"]
                       == 16.0);
        const Handling drain = cell.api.handle(cell.request("POST", "/v1/workers/w1/drain"));
        CPPUNIT_ASSERT(std::get<ZoneProposal>(drain).zone == ZoneId("north"));
        CPPUNIT_ASSERT(std::get<ZoneProposal>(drain).command->set_drain().draining());
        CPPUNIT_ASSERT(parsed(cell.call(cell.request("POST", "/v1/workers/w1/resume")))["draining"] == false);
        failure(cell.call(cell.request("POST", "/v1/workers/w9/drain")), 404, "not-found");

        const std::string added = R"({"id": "control-4", "zone": "north", "internal": "127.0.0.1:7",
            "operator": "127.0.0.1:8", "worker": "127.0.0.1:9"})";
        failure(cell.call(cell.request("PUT", "/v1/instances/control-9", added)), 404, "not-found");
        CPPUNIT_ASSERT_EQUAL(200U, cell.call(cell.request("PUT", "/v1/instances/control-2", added)).status);
        CPPUNIT_ASSERT(cell.state.instances().at(InstanceId("control-2")).retired);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                             parsed(cell.call(cell.request("GET", "/v1/instances")))["instances"].size());
        std::string existing = added;
        existing.replace(existing.find("control-4"), 9, "control-1");
        failure(cell.call(cell.request("POST", "/v1/instances", existing, "r2")), 409, "instance-exists");

        const json status = parsed(cell.call(cell.request("GET", "/v1/status")));
        CPPUNIT_ASSERT(status["leader"] == "control-1" && status["term"] == 4
                       && status["zones"][0]["waiting_tasks"] == 3);
    }

    // Guards against changes without an id or author, and against text that protobuf can't carry.
    void malformedRequestsAreRefused()
    {
        Cell cell;
        failure(cell.call(cell.request("GET", "/v2/sheets")), 404, "not-found");
        failure(cell.call(cell.request("GET", "/v1/bookings/%FF")), 400, "invalid-request");
        failure(cell.call(cell.request("GET", "/v1/bookings/%4")), 400, "invalid-request");
        const Answer method = cell.call(cell.request("DELETE", "/v1/sheets"));
        failure(method, 405, "method-not-allowed");
        CPPUNIT_ASSERT_EQUAL(std::string("POST, GET"), std::string(headerValue(method.headers, "Allow")));
        for (const char *id : {"", "a b", "\xFF"})
            failure(cell.call(cell.request("POST", "/v1/sheets", header, id)), 400, "invalid-request");
        for (const char *version : {"", "-1", "1x", "99999999999999999999"})
            failure(cell.call(cell.request("POST", "/v1/sheets", header, "r", version)), 400, "invalid-request");
        Request request = cell.request("POST", "/v1/sheets", header);
        for (const char *author : {"", "\xFF", "a\nb"}) {
            request.headers[1].second = author;
            failure(cell.call(request), 400, "invalid-request");
        }
        for (const char *body : {"", "{}", R"({"bookings": []})", R"({"bookings": [1]})", "{\"bookings\": [\"\xFF\"]}"})
            failure(cell.call(cell.request("POST", "/v1/bookings/cancel", body)), 400, "invalid-request");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.state.sheetVersion());
    }

    // Guards against a token check that accepts a prefix, an extension or nothing.
    void tokenIsCompared()
    {
        const auto allows = [](const std::string &value, const std::string &token) {
            return isAuthorized({{"authorization", value}}, token);
        };
        CPPUNIT_ASSERT(allows("Bearer secret", "secret"));
        for (const char *value :
             {"", "Bearer ", "Bearer secre", "Bearer secrets", "Bearer Secret", "secret", "Bearer secretsecret"})
            CPPUNIT_ASSERT(!allows(value, "secret"));
        CPPUNIT_ASSERT(!allows("Bearer ", "") && !allows("Bearer a", ""));
        CPPUNIT_ASSERT(!isAuthorized({}, "secret"));
        failure(unauthorizedAnswer(), 401, "unauthorized");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorApiTest);
