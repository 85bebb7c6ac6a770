#include "cellcommands.h"
#include "cellstate/cellstate.h"
#include "cellstate/configurationhistory.h"
#include "cellstate/requestlog.h"
#include "cellstate/sheethistory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Pistachio;
using namespace Pistachio::Cellstate;
using namespace CellCommands;

namespace
{

const std::vector<std::string> threeZones{"gotaland", "norrland", "svealand"};

CellState configured(const std::vector<std::pair<std::string, Resources>> &quotas = {})
{
    CellState cell;
    CPPUNIT_ASSERT(cell.apply(configuration("c0", 0, threeZones, quotas)).code() == Wire::CELL_RESULT_ACCEPTED);
    return cell;
}

CellState restored(const CellState &cell)
{
    CellState copy;
    CPPUNIT_ASSERT(copy.restore(cell.snapshot()).has_value());
    return copy;
}

void assertCode(Wire::CellResultCode expected, const Wire::CellResult &result)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.message(), static_cast<int>(expected), static_cast<int>(result.code()));
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

BookingState stateOf(const CellState &cell, const char *id)
{
    CPPUNIT_ASSERT(cell.booking(BookingId(id)) != nullptr);
    return cell.booking(BookingId(id))->state;
}

std::string zoneOf(const CellState &cell, const char *id)
{
    return cell.booking(BookingId(id))->booking.zone.value();
}

} // namespace

class CellStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CellStateTest);
    CPPUNIT_TEST(ofTwoOperatorsOneWins);
    CPPUNIT_TEST(resentRequestGetsTheFirstResult);
    CPPUNIT_TEST(requestLogIsBounded);
    CPPUNIT_TEST(omittedAndCancelledBookings);
    CPPUNIT_TEST(homeZoneIsChosenByDemandAndKept);
    CPPUNIT_TEST(staleReleaseIsIgnored);
    CPPUNIT_TEST(quotasLimitWhatRunsAtOneTime);
    CPPUNIT_TEST(bookingThatCanNeverRunIsRefused);
    CPPUNIT_TEST(configurationIsCheckedAndCompared);
    CPPUNIT_TEST(historyIsBounded);
    CPPUNIT_TEST(instanceIdIsNeverUsedAgain);
    CPPUNIT_TEST(damagedSnapshotChangesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a sheet that silently overwrites another operator's, and a loser who isn't told what changed.
    void ofTwoOperatorsOneWins()
    {
        CellState cell = configured();
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(sheet("r1", "anna", 0, {booking("a"), booking("b")})));
        const auto won = cell.apply(sheet("r2", "bo", 1, {booking("a", 2), booking("c")}));
        const auto lost = cell.apply(sheet("r3", "cecilia", 1, {booking("a", 3)}));
        assertCode(Wire::CELL_RESULT_ACCEPTED, won);
        assertCode(Wire::CELL_RESULT_VERSION_CONFLICT, lost);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, lost.version());
        CPPUNIT_ASSERT_EQUAL(std::string("bo"), lost.author());
        CPPUNIT_ASSERT_EQUAL(3, lost.differences_size());
        CPPUNIT_ASSERT_EQUAL(std::string("added c"), lost.differences(0));
        CPPUNIT_ASSERT_EQUAL(std::string("changed a: cores from '1' to '2'"), lost.differences(1));
        CPPUNIT_ASSERT_EQUAL(std::string("ended b"), lost.differences(2));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, cell.booking(BookingId("a"))->booking.resources.milliCores);
        // A version from the future is no better than one from the past.
        assertCode(Wire::CELL_RESULT_VERSION_CONFLICT, cell.apply(sheet("r4", "cecilia", 9, {booking("a", 3)})));
    }

    // Guards against a change that is made twice, or answered as a conflict with itself, after its answer was lost and
    // another leader, restored from a snapshot, gets the repeat with other capacities and a later time.
    void resentRequestGetsTheFirstResult()
    {
        CellState cell = configured();
        const auto first = cell.apply(sheet("r1", "anna", 0, {booking("a")}));
        const auto refused = cell.apply(sheet("r2", "bo", 0, {booking("z")}));
        CellState next = restored(cell);
        assertCode(Wire::CELL_RESULT_ACCEPTED, next.apply(sheet("r3", "bo", 1, {booking("b")}, 2000)));
        const std::string before = next.snapshot();

        auto resent = sheet("r1", "anna", 0, {booking("a")}, 1000);
        addCapacity(resent, "svealand", {{1, 1, 0}});
        Wire::CellResult repeated = next.apply(resent);
        CPPUNIT_ASSERT(repeated.repeated_request());
        repeated.clear_repeated_request();
        CPPUNIT_ASSERT_EQUAL(first.SerializeAsString(), repeated.SerializeAsString());
        assertCode(refused.code(), next.apply(sheet("r2", "bo", 0, {booking("z")})));
        assertCode(Wire::CELL_RESULT_REQUEST_ID_REUSED, next.apply(sheet("r1", "anna", 0, {booking("a", 2)})));
        assertCode(Wire::CELL_RESULT_REQUEST_ID_REUSED, next.apply(sheet("r1", "bo", 0, {booking("a")})));
        assertCode(Wire::CELL_RESULT_REQUEST_ID_REUSED, next.apply(cancel("r1", {"b"})));
        CPPUNIT_ASSERT(before == next.snapshot());
    }

    // Guards against memory that grows with every request, and against a leader's late clock that forgets requests
    // early.
    void requestLogIsBounded()
    {
        CellState cell = configured();
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(sheet("r1", "anna", 0, {booking("a")}, 5000)));
        const std::int64_t lastMs = 5000 + Internal::keptRequestsMs;
        CPPUNIT_ASSERT(cell.apply(sheet("r1", "anna", 0, {booking("a")}, lastMs)).repeated_request());
        assertCode(Wire::CELL_RESULT_VERSION_CONFLICT, cell.apply(sheet("r1", "anna", 0, {booking("a")}, lastMs + 1)));
        // Proposed by a leader whose clock is a day behind: kept from now on.
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(sheet("r2", "anna", 1, {booking("b")}, 5000)));
        CPPUNIT_ASSERT(cell.apply(sheet("r2", "anna", 1, {booking("b")}, lastMs + 2)).repeated_request());

        for (std::size_t i = 0; i + 1 < Internal::keptRequests; ++i)
            cell.apply(cancel("fill" + std::to_string(i), {"none"}));
        auto released = release("svealand", {"b"}, 0);
        released.set_request_id("releases have no place in the log");
        cell.apply(released);
        CPPUNIT_ASSERT(cell.apply(sheet("r2", "anna", 1, {booking("b")})).repeated_request());
        cell.apply(cancel("one more", {"none"}));
        assertCode(Wire::CELL_RESULT_VERSION_CONFLICT, cell.apply(sheet("r2", "anna", 1, {booking("b")})));

        // The size counts too, however few the requests are.
        Internal::RequestLog log;
        Wire::StoredRequest request;
        request.mutable_result()->set_message(std::string(Internal::keptRequestBytes / 4, 'x'));
        for (const char *id : {"1", "2", "3", "4"}) {
            request.set_request_id(id);
            log.add(request);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, log.requests().size());
        CPPUNIT_ASSERT(log.find("1") == nullptr && log.find("4")->request_id() == "4");
    }

    // Guards against a cancelled booking that the next morning's export starts again.
    void omittedAndCancelledBookings()
    {
        CellState cell = configured();
        cell.apply(sheet("r1", "anna", 0, {booking("a"), booking("b"), booking("c")}));
        assertCode(Wire::CELL_RESULT_NOT_FOUND, cell.apply(cancel("r2", {"a", "unknown"})));
        CPPUNIT_ASSERT(stateOf(cell, "a") == BookingState::Active);
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(cancel("r3", {"a", "b"})));
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(cancel("r4", {"a"})));

        const auto next = cell.apply(sheet("r5", "anna", 1, {booking("a", 2), booking("b"), booking("d")}));
        assertCode(Wire::CELL_RESULT_ACCEPTED, next);
        CPPUNIT_ASSERT_EQUAL(2, next.notes_size());
        CPPUNIT_ASSERT(stateOf(cell, "a") == BookingState::Cancelled && stateOf(cell, "c") == BookingState::Ended);

        auto back = sheet("r6", "anna", 2, {booking("a", 2), booking("c")});
        back.mutable_apply_sheet()->add_reinstate("a");
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(back));
        CPPUNIT_ASSERT(stateOf(cell, "a") == BookingState::Active && stateOf(cell, "c") == BookingState::Active);
        // "b" was omitted after its cancellation, so listing it again books it anew.
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(sheet("r7", "anna", 3, {booking("b")})));
        CPPUNIT_ASSERT(stateOf(cell, "b") == BookingState::Active);
        auto unlisted = sheet("r8", "anna", 4, {booking("b")});
        unlisted.mutable_apply_sheet()->add_reinstate("a");
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(unlisted));
    }

    // Guards against a task that runs in two zones because its booking moved while the old zone still runs it.
    void homeZoneIsChosenByDemandAndKept()
    {
        CellState cell = configured();
        cell.apply(
            sheet("r1", "anna", 0, {booking("a", 4, "svealand"), booking("b", 3), booking("c", 2), booking("d")}));
        CPPUNIT_ASSERT_EQUAL(std::string("gotaland"), zoneOf(cell, "b"));
        CPPUNIT_ASSERT_EQUAL(std::string("norrland"), zoneOf(cell, "c"));
        CPPUNIT_ASSERT_EQUAL(std::string("norrland"), zoneOf(cell, "d"));
        // Less demand elsewhere does not move a booking, nor does the sheet, nor ending it first.
        const auto moved = cell.apply(sheet("r2", "anna", 1, {booking("a", 4, "gotaland")}));
        assertCode(Wire::CELL_RESULT_INVALID, moved);
        CPPUNIT_ASSERT(contains(moved.message(), "'a'") && contains(moved.message(), "svealand"));
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(sheet("r3", "anna", 1, {booking("d")})));
        CPPUNIT_ASSERT_EQUAL(std::string("norrland"), zoneOf(cell, "d"));
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(sheet("r4", "anna", 2, {booking("a", 4, "gotaland")})));
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(configuration("c1", 1, {"gotaland", "norrland"})));
        // The home zone's release frees it.
        cell.apply(release("svealand", {"a", "d"}, cell.bookingsRevision()));
        CPPUNIT_ASSERT(cell.booking(BookingId("a")) == nullptr && stateOf(cell, "d") == BookingState::Active);
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(sheet("r5", "anna", 2, {booking("a", 4, "gotaland")})));
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(sheet("r6", "anna", 3, {booking("x", 1, "skane")})));
    }

    // Guards against a release that the zone proposed before the booking was started again.
    void staleReleaseIsIgnored()
    {
        CellState cell = configured();
        cell.apply(sheet("r1", "anna", 0, {booking("a", 1, "svealand")}));
        cell.apply(sheet("r2", "anna", 1, {}));
        const std::uint64_t seen = cell.bookingsRevision();
        cell.apply(sheet("r3", "anna", 2, {booking("a", 1, "svealand")}));
        cell.apply(release("svealand", {"a"}, seen));
        CPPUNIT_ASSERT(stateOf(cell, "a") == BookingState::Active);
        cell.apply(sheet("r4", "anna", 3, {}));
        cell.apply(release("svealand", {"a"}, seen));
        cell.apply(release("gotaland", {"a"}, cell.bookingsRevision()));
        CPPUNIT_ASSERT(stateOf(cell, "a") == BookingState::Ended);
        cell.apply(release("svealand", {"a"}, cell.bookingsRevision()));
        CPPUNIT_ASSERT(cell.booking(BookingId("a")) == nullptr);
    }

    // Guards against quotas that add up work which never runs at the same time, or that a misspelt team escapes.
    void quotasLimitWhatRunsAtOneTime()
    {
        CellState cell = configured({{"print", {4000, 100 * gibibyte, 0}}});
        auto night = booking("night", 3);
        auto day = booking("day", 3);
        night.endUnixS = day.startUnixS = 1'800'000'000;
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(sheet("r1", "anna", 0, {night, day})));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, cell.peakDemand(TeamId("print")).milliCores);
        night.endUnixS += 1;
        const auto refused = cell.apply(sheet("r2", "anna", 1, {night, day}));
        assertCode(Wire::CELL_RESULT_QUOTA_EXCEEDED, refused);
        CPPUNIT_ASSERT(contains(refused.message(), "'print'") && contains(refused.message(), "cores"));
        auto accelerated = booking("g");
        accelerated.resources.accelerators = 1;
        CPPUNIT_ASSERT(contains(cell.apply(sheet("r3", "anna", 1, {accelerated})).message(), "accelerators"));
        assertCode(Wire::CELL_RESULT_QUOTA_EXCEEDED,
                   cell.apply(sheet("r4", "anna", 1, {booking("m", 1, "", "pritn")})));
        auto large = booking("l", 10'000);
        large.tasks = 10'000;
        large.resources.memoryBytes = std::int64_t{1} << 46;
        std::vector<Sheet::Booking> many;
        for (int i = 0; i < 20; ++i, large.id = BookingId("l" + std::to_string(i)))
            many.push_back(large);
        assertCode(Wire::CELL_RESULT_QUOTA_EXCEEDED, cell.apply(sheet("r5", "anna", 1, many)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cell.sheetVersion());
        // A cancelled booking claims nothing.
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(cancel("r6", {"night"})));
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(sheet("r7", "anna", 1, {night, day})));
    }

    // Guards against jobs that wait forever, and against refusing work while the workers of a zone aren't known yet.
    void bookingThatCanNeverRunIsRefused()
    {
        CellState cell = configured();
        const Resources small{16'000, 32 * gibibyte, 0};
        const Resources large{64'000, 128 * gibibyte, 8};
        auto job = booking("job", 32);
        auto unknownZone = sheet("r1", "anna", 0, {job});
        addCapacity(unknownZone, "gotaland", {small});
        addCapacity(unknownZone, "norrland", {small});
        CPPUNIT_ASSERT(cell.preview(unknownZone).code() == Wire::CELL_RESULT_ACCEPTED);
        auto allKnown = unknownZone;
        addCapacity(allKnown, "svealand", {small});
        const auto refused = cell.preview(allKnown);
        assertCode(Wire::CELL_RESULT_CAPACITY, refused);
        CPPUNIT_ASSERT(contains(refused.message(), "'job'") && contains(refused.message(), "lacking cores"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.sheetVersion());

        addCapacity(allKnown, "norrland", {large});
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(allKnown));
        CPPUNIT_ASSERT_EQUAL(std::string("norrland"), zoneOf(cell, "job"));
        // The large worker being away must not block the next sheet; a larger claim is checked.
        auto away = sheet("r2", "anna", 1, {job, booking("other")});
        addCapacity(away, "norrland", {small});
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(away));
        job.resources.accelerators = 1;
        auto larger = sheet("r3", "anna", 2, {job});
        addCapacity(larger, "norrland", {{64'000, 128 * gibibyte, 0}});
        CPPUNIT_ASSERT(contains(cell.apply(larger).message(), "lacking accelerators"));
    }

    // Guards against a configuration that no process can use, and a lost update between two administrators.
    void configurationIsCheckedAndCompared()
    {
        CellState cell;
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(sheet("r0", "anna", 0, {booking("a")})));
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(configuration("c1", 0, {})));
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(configuration("c2", 0, {"a", "a"})));
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(configuration("c3", 0, {"a"}, {{"t", {-1, 0, 0}}})));
        auto service = configuration("c4", 0, {"a"});
        service.mutable_set_configuration()->mutable_configuration()->add_services()->set_service("orders");
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(service));
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(configuration("c5", 0, {"a"})));
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(configuration("c6", 1, {"a", "b"})));
        const auto lost = cell.apply(configuration("c7", 1, {"a", "c"}));
        assertCode(Wire::CELL_RESULT_VERSION_CONFLICT, lost);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, lost.version());
        CPPUNIT_ASSERT_EQUAL(std::string("added zone b: configured"), lost.differences(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, cell.configuration().version());
    }

    // Guards against a history that grows with every change, versions that start again once old ones are dropped, and a
    // conflict with a dropped version that is answered as if nothing had changed.
    void historyIsBounded()
    {
        CellState cell = configured();
        const std::uint64_t sheets = Internal::keptSheets + 10;
        for (std::uint64_t i = 0; i < sheets; ++i)
            assertCode(Wire::CELL_RESULT_ACCEPTED,
                       cell.apply(sheet("r" + std::to_string(i), "anna", i, {booking("b" + std::to_string(i))})));
        const std::uint64_t configurations = Internal::keptConfigurations + 10;
        for (std::uint64_t i = 1; i < configurations; ++i)
            assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(configuration("c" + std::to_string(i), i, threeZones)));
        cell = restored(cell);
        CPPUNIT_ASSERT_EQUAL(sheets, cell.sheetVersion());
        CPPUNIT_ASSERT_EQUAL(configurations, cell.configuration().version());
        CPPUNIT_ASSERT_EQUAL(Internal::keptSheets, cell.sheetHistory().size());
        const std::uint64_t oldest = sheets - Internal::keptSheets;
        CPPUNIT_ASSERT_EQUAL("b" + std::to_string(oldest - 1), cell.sheet(oldest).value().front().id.value());
        CPPUNIT_ASSERT(cell.sheet(oldest - 1).error().code == ErrorCode::NotFound);
        const auto stale = cell.apply(sheet("late", "bo", oldest - 1, {}));
        assertCode(Wire::CELL_RESULT_VERSION_CONFLICT, stale);
        CPPUNIT_ASSERT(stale.differences().empty() && contains(stale.notes(0), "no longer kept"));
        CPPUNIT_ASSERT(contains(cell.apply(configuration("late2", 1, threeZones)).notes(0), "not kept"));
    }

    // Guards against a replacement that takes the identity of an instance whose data may be left somewhere.
    void instanceIdIsNeverUsedAgain()
    {
        CellState cell = configured();
        const auto add = [](const std::string &request, const std::string &id, const std::string &replaces) {
            Wire::CellCommand result = command(request, "admin");
            auto *instance = result.mutable_add_instance()->mutable_instance();
            instance->set_id(id);
            instance->set_zone("svealand");
            instance->set_internal_address("127.0.0.1:7101");
            instance->set_operator_address("127.0.0.1:7102");
            instance->set_worker_address("127.0.0.1:7103");
            instance->set_replaces(replaces);
            return result;
        };
        assertCode(Wire::CELL_RESULT_ACCEPTED, cell.apply(add("i1", "control-4", "control-1")));
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(add("i2", "control-5", "control-1")));
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(add("i3", "control-1", "")));
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(add("i4", "control-4", "")));
        assertCode(Wire::CELL_RESULT_INVALID, cell.apply(add("i5", "control-6", "control-6")));
        CPPUNIT_ASSERT(restored(cell).instances() == cell.instances());
        CPPUNIT_ASSERT(cell.instances().at(InstanceId("control-1")).retired);
    }

    // Guards against an instance that starts from half a snapshot.
    void damagedSnapshotChangesNothing()
    {
        CellState cell = configured();
        cell.apply(sheet("r1", "anna", 0, {booking("a")}));
        const std::string good = cell.snapshot();
        CPPUNIT_ASSERT(cell.restore("").has_error());
        CPPUNIT_ASSERT(cell.restore(good.substr(0, good.size() / 2)).has_error());
        Wire::CellSnapshot wrong;
        CPPUNIT_ASSERT(wrong.ParseFromString(good));
        wrong.mutable_bookings(0)->mutable_booking()->set_tasks(0);
        CPPUNIT_ASSERT(cell.restore(wrong.SerializeAsString()).error().code == ErrorCode::Corrupt);
        CPPUNIT_ASSERT(good == cell.snapshot());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellStateTest);
