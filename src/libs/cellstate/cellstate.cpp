#include "cellstate/cellstate.h"

#include "cellstate/data.h"
#include "cellstate/demand.h"
#include "sheet/wirebooking.h"

#include <algorithm>
#include <utility>

namespace Pistachio::Cellstate
{

using namespace Internal;

namespace
{

// Results are kept for repeats, so their size is bounded.
constexpr std::size_t listedLines = 20;
constexpr std::size_t listedValueBytes = 60;
constexpr std::int64_t msPerSecond = 1000;

template<class Lines> void addLines(const std::vector<std::string> &lines, Lines &target)
{
    const std::size_t listed = lines.size() > listedLines ? listedLines - 1 : lines.size();
    for (std::size_t i = 0; i < listed; ++i)
        *target.Add() = lines[i];
    if (listed < lines.size())
        *target.Add() = "and " + std::to_string(lines.size() - listed) + " more";
}

Wire::CellResult result(Wire::CellResultCode code, std::string message)
{
    Wire::CellResult result;
    result.set_code(code);
    result.set_message(std::move(message));
    return result;
}

Wire::CellResult refusal(Wire::CellResultCode code, std::string message, const std::vector<std::string> &faults)
{
    Wire::CellResult refused = result(code, std::move(message));
    addLines(faults, *refused.mutable_notes());
    return refused;
}

ZoneCapacities capacitiesOf(const Wire::ApplySheet &sheet)
{
    ZoneCapacities capacities;
    for (const auto &zone : sheet.capacities()) {
        for (const auto &worker : zone.workers())
            capacities[ZoneId(zone.zone())].push_back(Sheet::fromWire(worker));
    }
    return capacities;
}

Rows rowsOf(const Wire::ApplySheet &sheet, std::vector<std::string> &faults)
{
    Rows rows;
    for (const auto &message : sheet.bookings()) {
        auto booking = Sheet::fromWire(message);
        if (booking.has_error())
            faults.push_back(booking.error().message);
        else if (!rows.emplace(booking.value().id, booking.value()).second)
            faults.push_back("booking '" + message.id() + "' is listed twice");
    }
    return rows;
}

Wire::CellResultCode codeOf(ErrorCode code)
{
    return code == ErrorCode::NotFound ? Wire::CELL_RESULT_NOT_FOUND : Wire::CELL_RESULT_INVALID;
}

} // namespace

Wire::CellResult CellState::Data::apply(const Wire::CellCommand &command)
{
    latestUnixMs = std::max(latestUnixMs, command.proposed_unix_ms());
    requests.expire(latestUnixMs);
    // Releases repeat harmlessly, and there may be thousands a day: they must not push out the requests of operators.
    if (command.request_id().empty() || command.has_release_bookings())
        return change(command);
    const std::uint64_t fingerprint = fingerprintOf(command);
    if (const Wire::StoredRequest *stored = requests.find(command.request_id())) {
        if (stored->fingerprint() != fingerprint)
            return result(Wire::CELL_RESULT_REQUEST_ID_REUSED,
                          "request id '" + command.request_id() + "' belongs to a different change");
        Wire::CellResult repeated = stored->result();
        repeated.set_repeated_request(true);
        return repeated;
    }
    Wire::StoredRequest request;
    request.set_request_id(command.request_id());
    request.set_fingerprint(fingerprint);
    request.set_proposed_unix_ms(latestUnixMs);
    *request.mutable_result() = change(command);
    Wire::CellResult first = request.result();
    requests.add(std::move(request));
    return first;
}

Wire::CellResult CellState::Data::change(const Wire::CellCommand &command)
{
    switch (command.change_case()) {
    case Wire::CellCommand::kApplySheet:
        return applySheet(command);
    case Wire::CellCommand::kSetConfiguration:
        return setConfiguration(command);
    case Wire::CellCommand::kCancelBookings:
        return cancelBookings(command);
    case Wire::CellCommand::kReleaseBookings:
        return releaseBookings(command.release_bookings());
    case Wire::CellCommand::kAddInstance:
        return addInstance(command.add_instance().instance());
    case Wire::CellCommand::CHANGE_NOT_SET:
        break;
    }
    return result(Wire::CELL_RESULT_INVALID, "the command holds no change that this version knows");
}

Wire::CellResult CellState::Data::applySheet(const Wire::CellCommand &command)
{
    const Wire::ApplySheet &sheet = command.apply_sheet();
    if (sheet.expected_version() != sheets.version())
        return sheetConflict(sheet.expected_version());
    const std::vector<ZoneId> zones = zonesOf(configurations.current());
    if (zones.empty())
        return result(Wire::CELL_RESULT_INVALID, "no zone is configured; apply a configuration first");
    std::vector<std::string> faults;
    Rows rows = rowsOf(sheet, faults);
    std::set<BookingId> reinstate;
    for (const std::string &id : sheet.reinstate()) {
        reinstate.emplace(id);
        if (!rows.contains(BookingId(id)))
            faults.push_back("booking '" + id + "' is to be reinstated but is not in the sheet");
    }
    if (faults.empty())
        faults = bookings.assignZones(rows, zones, capacitiesOf(sheet), reinstate);
    if (!faults.empty())
        return refusal(Wire::CELL_RESULT_INVALID, "the sheet is refused as a whole: " + faults.front(), faults);

    const auto active = bookings.activeRows(rows, reinstate);
    if (faults = quotaFaults(quotasOf(configurations.current()), active, command.proposed_unix_ms() / msPerSecond);
        !faults.empty())
        return refusal(Wire::CELL_RESULT_QUOTA_EXCEEDED, "the sheet is refused as a whole: " + faults.front(), faults);
    if (faults = capacityFaults(active, zones, sheet); !faults.empty())
        return refusal(Wire::CELL_RESULT_CAPACITY, "the sheet is refused as a whole: " + faults.front(), faults);

    const ChangeOrigin origin{command.author(), command.proposed_unix_ms(), sheets.version() + 1};
    std::vector<std::string> notes;
    for (const BookingId &id : bookings.follow(rows, reinstate, origin))
        notes.push_back("booking '" + id.value() + "' stays cancelled; reinstate it explicitly to run it again");
    const auto changes = sheets.accept(std::move(rows), origin.author, origin.unixMs);
    Wire::CellResult accepted = result(Wire::CELL_RESULT_ACCEPTED, "the sheet is accepted");
    accepted.set_version(sheets.version());
    accepted.set_author(origin.author);
    addLines(changes.toLines(listedLines, listedValueBytes), *accepted.mutable_differences());
    addLines(notes, *accepted.mutable_notes());
    return accepted;
}

std::vector<std::string> CellState::Data::capacityFaults(std::span<const Sheet::Booking *const> rows,
                                                         std::span<const ZoneId> zones,
                                                         const Wire::ApplySheet &sheet) const
{
    std::vector<std::string> faults;
    std::set<std::string_view> named;
    for (const auto &message : sheet.bookings()) {
        if (!message.zone().empty())
            named.insert(message.id());
    }
    const ZoneCapacities capacities = capacitiesOf(sheet);
    for (const Sheet::Booking *row : rows) {
        // A booking that was accepted before must not block a sheet because its large workers are away today.
        const auto accepted = sheets.rows().find(row->id);
        if (accepted != sheets.rows().end() && row->resources.fitsIn(accepted->second.resources))
            continue;
        const bool hasOneZone = named.contains(row->id.value()) || bookings.boundZone(row->id) != nullptr;
        if (auto fault = capacityFault(*row, hasOneZone ? std::span(&row->zone, 1) : zones, capacities))
            faults.push_back(std::move(*fault));
    }
    return faults;
}

Wire::CellResult CellState::Data::sheetConflict(std::uint64_t expected) const
{
    Wire::CellResult conflict
        = result(Wire::CELL_RESULT_VERSION_CONFLICT,
                 "the sheet was made for version " + std::to_string(expected) + ", but version "
                     + std::to_string(sheets.version()) + " by " + sheets.author() + " is in force");
    conflict.set_version(sheets.version());
    conflict.set_author(sheets.author());
    const auto seen = sheets.sheet(expected);
    if (seen.has_value())
        addLines(Sheet::difference(seen.value(), listOf(sheets.rows())).toLines(listedLines, listedValueBytes),
                 *conflict.mutable_differences());
    else
        conflict.add_notes(seen.error().message);
    return conflict;
}

Wire::CellResult CellState::Data::setConfiguration(const Wire::CellCommand &command)
{
    const Wire::SetConfiguration &proposal = command.set_configuration();
    if (proposal.expected_version() != configurations.current().version())
        return configurationConflict(proposal.expected_version());
    std::vector<std::string> faults = configurationFaults(proposal.configuration());
    const std::vector<ZoneId> zones = zonesOf(proposal.configuration());
    for (const auto &[id, record] : bookings.records()) {
        if (!record.isReleased && std::ranges::find(zones, record.booking.zone) == zones.end())
            faults.push_back("zone '" + record.booking.zone.value() + "' still has booking '" + id.value() + "'");
    }
    if (!faults.empty())
        return refusal(Wire::CELL_RESULT_INVALID, "the configuration is refused: " + faults.front(), faults);

    const auto differences = differenceLines(configurations.current(), proposal.configuration());
    configurations.accept(proposal.configuration(), command.author(), command.proposed_unix_ms());
    Wire::CellResult accepted = result(Wire::CELL_RESULT_ACCEPTED, "the configuration is accepted");
    accepted.set_version(configurations.current().version());
    accepted.set_author(command.author());
    addLines(differences, *accepted.mutable_differences());
    // Lower quotas stop nothing that runs; they bind the next sheet.
    addLines(
        quotaFaults(quotasOf(configurations.current()), bookings.active(), command.proposed_unix_ms() / msPerSecond),
        *accepted.mutable_notes());
    return accepted;
}

Wire::CellResult CellState::Data::configurationConflict(std::uint64_t expected) const
{
    const Wire::Configuration &current = configurations.current();
    Wire::CellResult conflict
        = result(Wire::CELL_RESULT_VERSION_CONFLICT,
                 "the configuration was made for version " + std::to_string(expected) + ", but version "
                     + std::to_string(current.version()) + " by " + current.author() + " is in force");
    conflict.set_version(current.version());
    conflict.set_author(current.author());
    if (const Wire::Configuration *seen = configurations.find(expected))
        addLines(differenceLines(*seen, current), *conflict.mutable_differences());
    else
        conflict.add_notes("configuration " + std::to_string(expected) + " is not kept");
    return conflict;
}

Wire::CellResult CellState::Data::cancelBookings(const Wire::CellCommand &command)
{
    std::vector<std::string> unknown;
    std::vector<std::string> notes;
    for (const std::string &id : command.cancel_bookings().bookings()) {
        const auto found = bookings.records().find(BookingId(id));
        if (found == bookings.records().end())
            unknown.push_back("booking '" + id + "' does not exist");
        else if (found->second.state != BookingState::Active)
            notes.push_back("booking '" + id + "' is already " + std::string(toString(found->second.state)));
    }
    if (!unknown.empty())
        return refusal(Wire::CELL_RESULT_NOT_FOUND, "nothing is cancelled: " + unknown.front(), unknown);
    const ChangeOrigin origin{command.author(), command.proposed_unix_ms(), sheets.version()};
    for (const std::string &id : command.cancel_bookings().bookings())
        bookings.cancel(BookingId(id), origin);
    Wire::CellResult accepted = result(Wire::CELL_RESULT_ACCEPTED, "the bookings are cancelled");
    accepted.set_version(sheets.version());
    accepted.set_author(command.author());
    addLines(notes, *accepted.mutable_notes());
    return accepted;
}

Wire::CellResult CellState::Data::releaseBookings(const Wire::ReleaseBookings &release)
{
    for (const std::string &id : release.bookings())
        bookings.release(BookingId(id), ZoneId(release.zone()), release.bookings_revision());
    Wire::CellResult accepted = result(Wire::CELL_RESULT_ACCEPTED, "the bookings are released");
    accepted.set_version(sheets.version());
    return accepted;
}

Wire::CellResult CellState::Data::addInstance(const Wire::Instance &message)
{
    InstanceRecord instance = fromWire(message);
    instance.retired = false;
    const std::vector<ZoneId> zones = zonesOf(configurations.current());
    if (auto added = instances.add(instance, zones); added.has_error())
        return result(codeOf(added.error().code), added.error().message);
    return result(Wire::CELL_RESULT_ACCEPTED, "the instance is added");
}

CellState::CellState()
    : data_(std::make_unique<Data>())
{
}

CellState::~CellState() = default;
CellState::CellState(CellState &&) noexcept = default;
CellState &CellState::operator=(CellState &&) noexcept = default;

Wire::CellResult CellState::apply(const Wire::CellCommand &command)
{
    return data_->apply(command);
}

Wire::CellResult CellState::preview(const Wire::CellCommand &command) const
{
    return Data(*data_).apply(command);
}

std::uint64_t CellState::sheetVersion() const
{
    return data_->sheets.version();
}

std::uint64_t CellState::bookingsRevision() const
{
    return data_->bookings.revision();
}

const std::map<BookingId, BookingRecord> &CellState::bookings() const
{
    return data_->bookings.records();
}

const BookingRecord *CellState::booking(const BookingId &id) const
{
    const auto found = bookings().find(id);
    return found == bookings().end() ? nullptr : &found->second;
}

std::vector<SheetSummary> CellState::sheetHistory() const
{
    std::vector<SheetSummary> history;
    for (const SheetEntry &entry : data_->sheets.entries())
        history.push_back(entry.summary);
    return history;
}

Result<std::vector<Sheet::Booking>> CellState::sheet(std::uint64_t version) const
{
    return data_->sheets.sheet(version);
}

const Wire::Configuration &CellState::configuration() const
{
    return data_->configurations.current();
}

const std::map<InstanceId, InstanceRecord> &CellState::instances() const
{
    return data_->instances.records();
}

Resources CellState::peakDemand(const TeamId &team) const
{
    auto bookings = data_->bookings.active();
    std::erase_if(bookings, [&](const Sheet::Booking *booking) { return booking->team != team; });
    return Internal::peakDemand(bookings, data_->latestUnixMs / msPerSecond);
}

} // namespace Pistachio::Cellstate
