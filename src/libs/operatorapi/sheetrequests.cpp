#include "operatorapi/handlers.h"

#include "cell.pb.h"
#include "cellstate/cellstate.h"
#include "operatorapi/answers.h"
#include "operatorapi/clusterview.h"
#include "operatorapi/requestfields.h"
#include "sheet/sheetreader.h"
#include "sheet/sheetwriter.h"
#include "sheet/utctext.h"
#include "sheet/wirebooking.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace Pistachio::Operatorapi::Internal
{

namespace
{

using nlohmann::json;

constexpr std::int64_t msPerSecond = 1000;

Answer invalidSheet(const Sheet::SheetReading &reading)
{
    json errors = json::array();
    for (const Sheet::CellError &error : reading.errors)
        errors.push_back(
            {{"row", error.row}, {"column", error.column}, {"value", error.value}, {"reason", error.reason}});
    return failureAnswer(422, "sheet-invalid",
                         "the sheet is refused as a whole: " + std::to_string(reading.errorCount) + " errors",
                         "Correct the cells and send the sheet with a new Request-Id; nothing was changed.",
                         {{"error_count", reading.errorCount}, {"errors", errors}});
}

void fill(Wire::ApplySheet &sheet, const Context &context, const std::vector<Sheet::Booking> &bookings)
{
    for (const Sheet::Booking &booking : bookings)
        Sheet::toWire(booking, *sheet.add_bookings());
    for (const std::string &id : context.target.values("reinstate"))
        sheet.add_reinstate(id);
    for (const ZoneCapacityView &zone : context.view.capacities()) {
        auto *capacity = sheet.add_capacities();
        capacity->set_zone(zone.zone.value());
        for (const Resources &worker : zone.workers)
            Sheet::toWire(worker, *capacity->add_workers());
    }
}

json summaryOf(const Cellstate::SheetSummary &sheet)
{
    return {{"version", sheet.version},
            {"author", sheet.author},
            {"accepted_at", Sheet::utcText(sheet.acceptedUnixMs / msPerSecond)},
            {"bookings", sheet.bookings},
            {"added", sheet.added},
            {"changed", sheet.changed},
            {"ended", sheet.ended}};
}

} // namespace

Handling applySheet(const Context &context)
{
    const auto fields = versionedChange(context);
    if (const auto *refusal = std::get_if<Answer>(&fields))
        return *refusal;
    const auto &change = std::get<VersionedChange>(fields);
    const Sheet::SheetReading reading = Sheet::readSheet(context.request.body);
    if (!reading.isAccepted())
        return invalidSheet(reading);
    Wire::CellCommand command;
    command.mutable_apply_sheet()->set_expected_version(change.expectedVersion);
    fill(*command.mutable_apply_sheet(), context, reading.bookings);
    return proposal(context, change.headers, std::move(command), Subject::Sheet);
}

Handling listSheets(const Context &context)
{
    json history = json::array();
    for (const auto &sheet : context.state.sheetHistory())
        history.push_back(summaryOf(sheet));
    json body{{"version", context.state.sheetVersion()}, {"history", std::move(history)}};
    addSpread(context.view, Subject::Sheet, context.state.sheetVersion(), body);
    return jsonAnswer(200, body);
}

Handling showSheet(const Context &context, const std::string &version)
{
    std::uint64_t number = context.state.sheetVersion();
    const auto [end, error] = std::from_chars(version.data(), version.data() + version.size(), number);
    const bool isNumber = error == std::errc() && end == version.data() + version.size();
    if (!isNumber && version != "current")
        return invalidRequest("the version must be a number or 'current'");
    const auto sheet = context.state.sheet(number);
    if (sheet.has_error())
        return failureAnswer(404, "not-found", sheet.error().message,
                             "GET /v1/sheets lists the versions that are kept.");
    return Answer{200,
                  {{"Content-Type", "text/csv; charset=utf-8"}, {"Sheet-Version", std::to_string(number)}},
                  Sheet::writeSheet(sheet.value())};
}

} // namespace Pistachio::Operatorapi::Internal
