#include "operatorapi/handlers.h"

#include "cell.pb.h"
#include "cellstate/cellstate.h"
#include "operatorapi/answers.h"
#include "operatorapi/clusterview.h"
#include "operatorapi/requestfields.h"
#include "sheet/utctext.h"

#include <nlohmann/json.hpp>

namespace Pistachio::Operatorapi::Internal
{

namespace
{

using nlohmann::json;

constexpr std::int64_t msPerSecond = 1000;
constexpr std::int64_t bytesPerMebibyte = std::int64_t{1} << 20;
constexpr std::size_t maximumCancelled = 10'000;

// The keys of a booking are the columns of the sheet.
json bookingJson(const Cellstate::BookingRecord &record)
{
    const Sheet::Booking &booking = record.booking;
    return {{"booking", booking.id.value()},
            {"team", booking.team.value()},
            {"kind", Sheet::toString(booking.kind)},
            {"tasks", booking.tasks},
            {"cores", static_cast<double>(booking.resources.milliCores) / 1000},
            {"memory_mb", booking.resources.memoryBytes / bytesPerMebibyte},
            {"accelerators", booking.resources.accelerators},
            {"start", Sheet::utcText(booking.startUnixS)},
            {"end", Sheet::utcText(booking.endUnixS)},
            {"standing", Sheet::toString(booking.standing)},
            {"zone", booking.zone.value()},
            {"run_seconds", booking.runSeconds},
            {"checkpoint", booking.checkpoint},
            {"command", booking.command},
            {"grace_seconds", booking.graceSeconds},
            {"state", Cellstate::toString(record.state)},
            {"sheet_version", record.sheetVersion},
            {"changed_at", Sheet::utcText(record.changedUnixMs / msPerSecond)},
            {"changed_by", record.changedBy}};
}

Answer unknownBooking(const std::string &booking)
{
    return failureAnswer(404, "not-found", "booking '" + booking + "' does not exist",
                         "GET /v1/bookings lists the bookings; one that has ended is listed until its zone has stopped "
                         "it.");
}

json taskJson(const TaskView &task)
{
    return {{"task", task.task.index},
            {"state", task.state},
            {"worker", task.worker.value()},
            {"incarnation", task.incarnation},
            {"reason", task.reason}};
}

} // namespace

Handling listBookings(const Context &context)
{
    const std::string state = context.target.value("state");
    if (!state.empty() && state != "active" && state != "ended" && state != "cancelled")
        return invalidRequest("state must be active, ended or cancelled");
    json bookings = json::array();
    for (const auto &[id, record] : context.state.bookings()) {
        if (state.empty() || state == Cellstate::toString(record.state))
            bookings.push_back(bookingJson(record));
    }
    return jsonAnswer(200, {{"sheet_version", context.state.sheetVersion()}, {"bookings", std::move(bookings)}});
}

Handling showBooking(const Context &context, const std::string &booking)
{
    const BookingId id(booking);
    const Cellstate::BookingRecord *record = context.state.booking(id);
    if (record == nullptr)
        return unknownBooking(booking);
    json body = bookingJson(*record);
    json tasks = json::array();
    for (const TaskView &task : context.view.tasks(id))
        tasks.push_back(taskJson(task));
    body["task_list"] = std::move(tasks);
    return jsonAnswer(200, body);
}

Handling explainBooking(const Context &context, const std::string &booking)
{
    const BookingId id(booking);
    const Cellstate::BookingRecord *record = context.state.booking(id);
    if (record == nullptr)
        return unknownBooking(booking);
    Explanation explanation = context.view.explain(id);
    if (record->state != Cellstate::BookingState::Active) {
        const std::string change
            = record->state == Cellstate::BookingState::Cancelled ? "cancelled by " : "omitted from the sheet by ";
        explanation.reasons.insert(explanation.reasons.begin(),
                                   change + record->changedBy + " at "
                                       + Sheet::utcText(record->changedUnixMs / msPerSecond));
    }
    return jsonAnswer(200,
                      {{"booking", booking},
                       {"state", Cellstate::toString(record->state)},
                       {"zone", record->booking.zone.value()},
                       {"summary", explanation.summary},
                       {"reasons", explanation.reasons},
                       {"stale", explanation.isStale}});
}

Handling cancelBookings(const Context &context)
{
    const auto headers = changeHeaders(context);
    if (const auto *refusal = std::get_if<Answer>(&headers))
        return *refusal;
    const auto body = jsonBody(context, {"bookings"});
    if (const auto *refusal = std::get_if<Answer>(&body))
        return *refusal;
    const json bookings = std::get<json>(body).value("bookings", json());
    if (!bookings.is_array() || bookings.empty() || bookings.size() > maximumCancelled)
        return invalidRequest("bookings must be a list of 1 to " + std::to_string(maximumCancelled) + " bookings");
    Wire::CellCommand command;
    for (const json &booking : bookings) {
        if (!booking.is_string())
            return invalidRequest("bookings must hold strings");
        command.mutable_cancel_bookings()->add_bookings(booking.get<std::string>());
    }
    return proposal(context, std::get<ChangeHeaders>(headers), std::move(command), Subject::Sheet);
}

} // namespace Pistachio::Operatorapi::Internal
