#include "cellcommands.h"
#include "cellstate/cellstate.h"
#include "propertycheck.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>

using namespace Pistachio;
using namespace Pistachio::Cellstate;
using namespace CellCommands;

namespace
{

const Resources quota{12'000, 100 * gibibyte, 0};

// Why the step from one state to the next breaks a rule of the cell; empty when it doesn't.
std::string violation(const CellState &before, const CellState &after)
{
    if (after.sheetVersion() < before.sheetVersion() || after.sheetVersion() > before.sheetVersion() + 1)
        return "the sheet version went back or skipped a number";
    if (after.configuration().version() < before.configuration().version())
        return "the configuration version went back";
    for (const auto &[id, record] : before.bookings()) {
        const BookingRecord *now = after.booking(id);
        const bool isFree = record.isReleased || now == nullptr || now->booking.zone == record.booking.zone;
        if (!isFree)
            return "a booking moved before its home zone released it";
        if (now == nullptr && record.state == BookingState::Active)
            return "an active booking disappeared";
    }
    std::size_t active = 0;
    const auto sheet = after.sheet(after.sheetVersion());
    for (const auto &row : sheet.value()) {
        const BookingRecord *record = after.booking(row.id);
        if (record == nullptr || record->state == BookingState::Ended)
            return "a row of the sheet in force has no booking";
        active += record->state == BookingState::Active ? 1 : 0;
    }
    for (const auto &[id, record] : after.bookings())
        active -= record.state == BookingState::Active ? 1 : 0;
    if (active != 0)
        return "a booking is active without a row in the sheet in force";
    if (!after.peakDemand(TeamId("print")).fitsIn(quota))
        return "a team exceeds its quota";
    return {};
}

std::vector<Sheet::Booking> arbitraryRows()
{
    std::vector<Sheet::Booking> rows;
    for (const char *id : {"a", "b", "c", "d", "e"}) {
        if (*rc::gen::inRange(0, 3) > 0)
            rows.push_back(
                booking(id, *rc::gen::inRange(1, 6), *rc::gen::element<std::string>("", "", "north", "south")));
    }
    return rows;
}

Wire::CellCommand arbitraryCommand(const CellState &cell, const std::string &requestId)
{
    const std::string id = *rc::gen::element<std::string>("a", "b", "c", "d", "e");
    const std::uint64_t behind = *rc::gen::element<std::uint64_t>(0, 0, 0, 1);
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return cancel(requestId, {id});
    case 1:
        return release(*rc::gen::element<std::string>("north", "south"), {id},
                       cell.bookingsRevision() - std::min(behind, cell.bookingsRevision()));
    case 2:
        return configuration(requestId, cell.configuration().version() - behind, {"north", "south"},
                             {{"print", quota}});
    case 3: {
        auto back = sheet(requestId, "anna", cell.sheetVersion(), {booking(id)});
        back.mutable_apply_sheet()->add_reinstate(id);
        return back;
    }
    default:
        return sheet(requestId, "bo", cell.sheetVersion() - std::min(behind, cell.sheetVersion()), arbitraryRows());
    }
}

} // namespace

class CellStatePropertiesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CellStatePropertiesTest);
    CPPUNIT_TEST(replicasAgreeAcrossSnapshots);
    CPPUNIT_TEST(checkFindsEachViolation);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against replicas that diverge when one of them starts from a snapshot in the middle or gets a repeat, and
    // against a history that does not give back the sheets that were accepted.
    void replicasAgreeAcrossSnapshots()
    {
        int accepted = 0;
        checkProperty(
            [&] {
                CellState one;
                CellState other;
                std::map<std::uint64_t, std::vector<Sheet::Booking>> sheets{{0, {}}};
                std::vector<Wire::CellCommand> log{configuration("c", 0, {"north", "south"}, {{"print", quota}})};
                one.apply(log.front());
                other.apply(log.front());
                const int steps = *rc::gen::inRange(1, 30);
                for (int step = 0; step < steps; ++step) {
                    const bool isRepeat = *rc::gen::inRange(0, 8) == 0;
                    const auto command = isRepeat ? log[*rc::gen::inRange<std::size_t>(0, log.size())]
                                                  : arbitraryCommand(one, "r" + std::to_string(step));
                    log.push_back(command);
                    CellState before;
                    RC_ASSERT(before.restore(one.snapshot()).has_value());
                    const auto preview = one.preview(command);
                    const auto result = one.apply(command);
                    RC_ASSERT(result.SerializeAsString() == preview.SerializeAsString());
                    RC_ASSERT(result.SerializeAsString() == other.apply(command).SerializeAsString());
                    RC_ASSERT(violation(before, one) == std::string());
                    accepted += result.code() == Wire::CELL_RESULT_ACCEPTED && command.has_apply_sheet() ? 1 : 0;
                    sheets.emplace(one.sheetVersion(), one.sheet(one.sheetVersion()).value());
                    if (*rc::gen::inRange(0, 4) == 0) {
                        CellState fresh;
                        RC_ASSERT(fresh.restore(other.snapshot()).has_value());
                        other = std::move(fresh);
                    }
                    RC_ASSERT(one.snapshot() == other.snapshot());
                }
                for (const auto &[version, rows] : sheets)
                    RC_ASSERT(other.sheet(version).value() == rows);
            },
            300);
        CPPUNIT_ASSERT(accepted > 300);
    }

    // Proves that the check above can fail: each state is damaged in one way and must be reported.
    void checkFindsEachViolation()
    {
        CellState good;
        good.apply(configuration("c", 0, {"north", "south"}, {{"print", quota}}));
        good.apply(sheet("r", "anna", 0, {booking("a", 1, "north"), booking("b", 1, "south")}));
        CPPUNIT_ASSERT_EQUAL(std::string(), violation(good, good));
        const std::vector<std::pair<std::string, std::function<void(Wire::CellSnapshot &)>>> damages{
            {"the sheet version went back", [](auto &s) { s.set_sheet_version(0); }},
            {"the configuration version went back", [](auto &s) { s.clear_configurations(); }},
            {"a booking moved", [](auto &s) { s.mutable_bookings(0)->mutable_booking()->set_zone("south"); }},
            {"an active booking disappeared", [](auto &s) { s.mutable_bookings()->DeleteSubrange(0, 1); }},
            {"a row of the sheet", [](auto &s) { s.mutable_bookings(0)->set_state(1); }},
            {"a booking is active without", [](auto &s) { s.mutable_sheet()->DeleteSubrange(0, 1); }},
            {"a team exceeds", [](auto &s) { s.mutable_bookings(0)->mutable_booking()->set_tasks(13); }},
        };
        for (const auto &[expected, damage] : damages) {
            Wire::CellSnapshot snapshot;
            CPPUNIT_ASSERT(snapshot.ParseFromString(good.snapshot()));
            damage(snapshot);
            CellState broken;
            CPPUNIT_ASSERT(broken.restore(snapshot.SerializeAsString()).has_value());
            const std::string found = violation(good, broken);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(found, expected, found.substr(0, expected.size()));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellStatePropertiesTest);
