#include "common.pb.h"
#include "propertycheck.h"
#include "sheet/sheetdifference.h"
#include "sheet/sheetreader.h"
#include "sheet/sheetwriter.h"
#include "sheet/utf8.h"
#include "sheet/wirebooking.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <functional>

using namespace Pistachio;
using namespace Pistachio::Sheet;

namespace
{

const std::string header
    = "booking,team,kind,tasks,cores,memory_mb,accelerators,start,end,standing,zone,run_seconds,checkpoint,command\n";

rc::Gen<std::string> identifiers()
{
    return rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcXYZ019"))));
}

rc::Gen<std::string> commands()
{
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
                            "a", " ", "\t", ",", ";", "\"", "\n", "\r\n", "=", "å", "€", "\"\"")),
                        [](const std::vector<std::string> &parts) {
                            std::string text = "run";
                            for (const auto &part : parts)
                                text += part;
                            return text;
                        });
}

Booking arbitraryBooking(std::size_t index)
{
    Booking booking;
    booking.id = BookingId(*identifiers() + '-' + std::to_string(index));
    booking.team = TeamId(*identifiers());
    booking.kind = *rc::gen::element(WorkKind::Service, WorkKind::Batch, WorkKind::Together);
    booking.tasks = *rc::gen::inRange(1U, 10'001U);
    booking.resources.milliCores = *rc::gen::inRange<std::int64_t>(1, 100'000);
    booking.resources.memoryBytes = *rc::gen::inRange<std::int64_t>(1, 1 << 20) << 20;
    booking.resources.accelerators = *rc::gen::inRange<std::int64_t>(0, 9);
    booking.startUnixS = *rc::gen::element<std::int64_t>(0, *rc::gen::inRange<std::int64_t>(946684800, 4102444800));
    booking.endUnixS = *rc::gen::element<std::int64_t>(0, 4102444801);
    booking.standing = *rc::gen::element(Standing::Urgent, Standing::Promised, Standing::Normal, Standing::Spare);
    booking.zone = ZoneId(*rc::gen::element<std::string>("", "svealand"));
    booking.runSeconds = *rc::gen::inRange<std::int64_t>(0, 100'000);
    booking.checkpoint = *rc::gen::arbitrary<bool>();
    booking.graceSeconds = *rc::gen::inRange<std::int64_t>(0, 3'601);
    booking.command = *commands();
    return booking;
}

std::vector<Booking> arbitrarySheet()
{
    std::vector<Booking> bookings;
    const auto size = *rc::gen::inRange<std::size_t>(0, 6);
    for (std::size_t i = 0; i < size; ++i)
        bookings.push_back(arbitraryBooking(i));
    return bookings;
}

bool hasError(const SheetReading &reading, std::uint32_t row, const std::string &column, const std::string &value)
{
    return std::ranges::any_of(reading.errors, [&](const CellError &error) {
        return error.row == row && error.column == column && error.value == value && !error.reason.empty();
    });
}

} // namespace

class SheetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SheetTest);
    CPPUNIT_TEST(writeThenReadGivesTheSameBookings);
    CPPUNIT_TEST(mutatedCellIsABookingOrNamesItsPlace);
    CPPUNIT_TEST(spreadsheetExportIsRead);
    CPPUNIT_TEST(allErrorsAreListedAtOnce);
    CPPUNIT_TEST(unreadableFilesAreRefused);
    CPPUNIT_TEST(limitsAreKept);
    CPPUNIT_TEST(differenceNamesEachChange);
    CPPUNIT_TEST(wireRefusesWhatNoSheetCanHold);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a sheet that changes when it is shown, saved and applied again, also on its way through the log.
    void writeThenReadGivesTheSameBookings()
    {
        checkProperty(
            [] {
                const std::vector<Booking> bookings = arbitrarySheet();
                const SheetReading reading = readSheet(writeSheet(bookings));
                RC_ASSERT(reading.isAccepted());
                RC_ASSERT(reading.bookings == bookings);
                RC_ASSERT(difference(bookings, reading.bookings).isEmpty());
                for (const Booking &booking : bookings) {
                    Wire::Booking message;
                    toWire(booking, message);
                    RC_ASSERT(fromWire(message).value() == booking);
                }
            },
            300);
    }

    // Guards against cells that are silently read as something else, and errors that the planner can't find.
    void mutatedCellIsABookingOrNamesItsPlace()
    {
        std::size_t refused = 0;
        std::size_t accepted = 0;
        checkProperty(
            [&] {
                const std::vector<std::string> good{"b1", "t", "batch",  "2", "1.5", "100", "1",
                                                    "",   "",  "normal", "",  "60",  "no",  "run"};
                std::vector<std::string> cells = good;
                const auto column = *rc::gen::inRange<std::size_t>(0, cells.size());
                cells[column] = *rc::gen::oneOf(
                    rc::gen::container<std::string>(
                        rc::gen::elementOf(std::string("0129.,;\"-+ eTZ:\n\r\x01\xC3\xA5"))),
                    rc::gen::element<std::string>("", "1", "99999999999999999999", "1e3", "batch", "urgent", "yes"));
                std::string text = header + "b0,t,batch,1,1,1,,,,normal,,,no,run\n";
                for (std::size_t i = 0; i < cells.size(); ++i)
                    text.append(i == 0 ? "" : ",").append(cells[i]);
                const SheetReading reading = readSheet(text + "\n");
                if (reading.isAccepted()) {
                    ++accepted;
                    RC_ASSERT(readSheet(writeSheet(reading.bookings)).bookings == reading.bookings);
                    return;
                }
                ++refused;
                RC_ASSERT(reading.bookings.empty());
                for (const CellError &error : reading.errors) {
                    // A line end in the cell moves the rest of the row to the next rows.
                    RC_ASSERT(error.row >= 3U);
                    RC_ASSERT(error.row <= 3U + static_cast<std::uint32_t>(cells[column].size()));
                    RC_ASSERT(!error.reason.empty());
                    const bool isWholeRow = error.reason.find("UTF-8") != std::string::npos;
                    RC_ASSERT(isWholeRow || !error.column.empty());
                }
            },
            1000);
        // Both branches must have been taken for the property to say anything.
        CPPUNIT_ASSERT(refused > 100);
        CPPUNIT_ASSERT(accepted > 100);
    }

    // Guards against refusing what spreadsheets of other locales write: byte order mark, semicolons, decimal commas,
    // carriage returns, blank rows at the end.
    void spreadsheetExportIsRead()
    {
        std::string text = "\xEF\xBB\xBF" + header + "prints;Print;Batch;2;2,5;2048;8;2026-12-04T22:00Z;"
            + "2026-12-05T06:00:00Z;urgent;svealand;600;YES;\"print; \"\"all\"\"\"\n;;;;;;;;;;;;;\n\n";
        std::ranges::replace(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(header.size()), ',', ';');
        for (std::size_t at = 0; (at = text.find('\n', at)) != std::string::npos; at += 2)
            text.replace(at, 1, "\r\n");
        const SheetReading reading = readSheet(text);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reading.errorCount);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reading.bookings.size());
        const Booking &booking = reading.bookings.front();
        CPPUNIT_ASSERT((Resources{2500, 2048LL << 20, 8} == booking.resources));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1796421600}, booking.startUnixS);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1796450400}, booking.endUnixS);
        CPPUNIT_ASSERT_EQUAL(std::string("print; \"all\""), booking.command);
        CPPUNIT_ASSERT(booking.checkpoint && booking.graceSeconds == defaultGraceSeconds);
    }

    // Guards against a planner who has to correct one cell a time, a sheet that is accepted in part, and rows counted
    // otherwise than in the spreadsheet, whatever ends the lines.
    void allErrorsAreListedAtOnce()
    {
        std::string text = header + "a,t,batch,1,1,1,,,,normal,,,no,run\n\n" // row 3 is blank
            + "b c,t,job,0,1,1,,2026-02-30T00:00:00Z,,normal,,,no,run\n" + "a,t,batch,1,1,1,,,,normal,,,no,run\n"
            + "d,t,batch,1,1,1,,2026-12-05T06:00:00Z,2026-12-05T06:00:00Z,normal,,,,x\n" + "e,t,batch,1,1\n";
        const SheetReading reading = readSheet(text);
        for (std::size_t at = 0; (at = text.find('\n', at)) != std::string::npos; at += 2)
            text.replace(at, 1, "\r\n");
        CPPUNIT_ASSERT(reading.errors == readSheet(text).errors);
        CPPUNIT_ASSERT(reading.bookings.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, reading.errorCount);
        CPPUNIT_ASSERT(hasError(reading, 4, "booking", "b c"));
        CPPUNIT_ASSERT(hasError(reading, 4, "kind", "job"));
        CPPUNIT_ASSERT(hasError(reading, 4, "tasks", "0"));
        CPPUNIT_ASSERT(hasError(reading, 4, "start", "2026-02-30T00:00:00Z"));
        CPPUNIT_ASSERT(hasError(reading, 5, "booking", "a"));
        CPPUNIT_ASSERT(hasError(reading, 6, "end", "2026-12-05T06:00:00Z"));
        CPPUNIT_ASSERT(hasError(reading, 7, "memory_mb", ""));
    }

    // Guards against bytes that protobuf and JSON can't carry, and against a file of another format taken for an empty
    // sheet, which would end all bookings.
    void unreadableFilesAreRefused()
    {
        CPPUNIT_ASSERT(!readSheet("").isAccepted());
        CPPUNIT_ASSERT(!readSheet("booking,team\na,b\n").isAccepted());
        CPPUNIT_ASSERT(!readSheet(header.substr(0, header.size() - 1) + ",colour\n").isAccepted());
        const std::string row = "a,t,batch,1,1,1,,,,normal,,,no,";
        CPPUNIT_ASSERT(readSheet(header + row + "\xC3\xA5\n").isAccepted());
        for (const char *bytes : {"\xE5", "\xC0\xAF", "\xED\xA0\x80", "\xF4\x90\x80\x80", "\xE2\x82"}) {
            const SheetReading reading = readSheet(header + row + bytes + "\n");
            CPPUNIT_ASSERT(!reading.isAccepted());
            CPPUNIT_ASSERT_EQUAL(2U, reading.errors.front().row);
        }
        CPPUNIT_ASSERT(!readSheet(header + row + "\"never closed\n").isAccepted());
        CPPUNIT_ASSERT(readSheet(header).isAccepted());
    }

    // Guards against a file that exhausts the memory of a control instance.
    void limitsAreKept()
    {
        std::string text = header;
        for (int i = 0; i < 4; ++i)
            text += "b" + std::to_string(i) + ",t,batch,none,1,1,,,,normal,,,no,run\n";
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, readSheet(text).errorCount);
        const SheetReading fewListed = readSheet(text, {.listedErrors = 2});
        CPPUNIT_ASSERT(fewListed.errorCount == 4 && fewListed.errors.size() == 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, readSheet(text, {.rows = 2}).errorCount);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readSheet(text, {.bytes = text.size() - 1}).errorCount);
    }

    // Guards against a conflict that hides what the other operator changed.
    void differenceNamesEachChange()
    {
        const auto before
            = readSheet(header + "a,t,batch,1,1,1,,,,normal,north,,no,run\nb,t,batch,1,1,1,,,,normal,,,no,x\n");
        const auto after = readSheet(header + "a,t,batch,3,1,1,,,,spare,,,no,run\nc,t,batch,1,1,1,,,,normal,,,no,x\n");
        const SheetDifference changes = difference(before.bookings, after.bookings);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.changed.size());
        const std::vector<FieldChange> expected{{"tasks", "1", "3"}, {"standing", "normal", "spare"}};
        CPPUNIT_ASSERT(expected == changes.changed.front().fields);
        const std::vector<std::string> lines{
            "added c", "changed a: tasks from '1' to '3', standing from 'normal' to 'spare'", "ended b"};
        CPPUNIT_ASSERT(lines == changes.toLines(3, 100));
        CPPUNIT_ASSERT_EQUAL(std::string("and 2 more"), changes.toLines(2, 100).back());
        CPPUNIT_ASSERT_EQUAL(std::string("changed a: tasks from '1' to '3', standing from 'norm...' to 'spar...'"),
                             changes.toLines(3, 4)[1]);
        CPPUNIT_ASSERT_EQUAL(std::string("a..."), shortened("a\xC3\xA5", 2)); // never half a character
    }

    // Guards against a command that bypasses the sheet's checks and overflows sums of resources.
    void wireRefusesWhatNoSheetCanHold()
    {
        Wire::Booking good;
        toWire(readSheet(header + "a,t,batch,1,1,1,,,,normal,,,no,run\n").bookings.front(), good);
        CPPUNIT_ASSERT(fromWire(good).has_value());
        const std::vector<std::function<void(Wire::Booking &)>> faults{
            [](auto &b) { b.set_id(""); },
            [](auto &b) { b.set_tasks(0); },
            [](auto &b) { b.set_tasks(4'000'000'000U); },
            [](auto &b) { b.mutable_resources()->set_milli_cores(-1); },
            [](auto &b) { b.mutable_resources()->set_memory_bytes(INT64_MAX); },
            [](auto &b) { b.clear_kind(); },
            [](auto &b) { b.clear_standing(); },
            [](auto &b) { b.clear_command(); },
        };
        for (const auto &fault : faults) {
            Wire::Booking booking = good;
            fault(booking);
            CPPUNIT_ASSERT(fromWire(booking).has_error());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SheetTest);
