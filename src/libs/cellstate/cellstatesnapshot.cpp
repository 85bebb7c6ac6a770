#include "cellstate/cellstate.h"
#include "cellstate/data.h"
#include "sheet/wirebooking.h"

#include <utility>

namespace Pistachio::Cellstate
{

using namespace Internal;

namespace
{

constexpr std::uint32_t snapshotFormat = 1;

void storeBooking(const BookingRecord &record, Wire::StoredBooking &message)
{
    Sheet::toWire(record.booking, *message.mutable_booking());
    message.set_state(static_cast<std::uint32_t>(record.state));
    message.set_sheet_version(record.sheetVersion);
    message.set_changed_unix_ms(record.changedUnixMs);
    message.set_changed_by(record.changedBy);
    message.set_revision(record.revision);
    message.set_released(record.isReleased);
}

void storeSheet(const SheetEntry &entry, Wire::StoredSheet &message)
{
    message.set_version(entry.summary.version);
    message.set_author(entry.summary.author);
    message.set_accepted_unix_ms(entry.summary.acceptedUnixMs);
    message.set_bookings(entry.summary.bookings);
    message.set_added(entry.summary.added);
    message.set_changed(entry.summary.changed);
    message.set_ended(entry.summary.ended);
    for (const auto &booking : entry.previous)
        Sheet::toWire(booking, *message.add_previous());
    for (const auto &id : entry.addedIds)
        message.add_added_ids(id.value());
}

Result<BookingRecord> loadBooking(const Wire::StoredBooking &message)
{
    BookingRecord record;
    BOOST_OUTCOME_TRY(record.booking, Sheet::fromWire(message.booking()));
    if (message.state() > static_cast<std::uint32_t>(BookingState::Cancelled))
        return failure(ErrorCode::Corrupt, "booking '" + message.booking().id() + "' has an unknown state");
    record.state = static_cast<BookingState>(message.state());
    record.sheetVersion = message.sheet_version();
    record.changedUnixMs = message.changed_unix_ms();
    record.changedBy = message.changed_by();
    record.revision = message.revision();
    record.isReleased = message.released();
    return record;
}

Result<SheetEntry> loadSheet(const Wire::StoredSheet &message)
{
    SheetEntry entry;
    entry.summary
        = {message.version(), message.author(), message.accepted_unix_ms(), message.bookings(), message.added(),
           message.changed(), message.ended()};
    for (const auto &stored : message.previous()) {
        BOOST_OUTCOME_TRY(auto booking, Sheet::fromWire(stored));
        entry.previous.push_back(std::move(booking));
    }
    for (const auto &id : message.added_ids())
        entry.addedIds.emplace_back(id);
    return entry;
}

Result<SheetHistory> loadSheets(const Wire::CellSnapshot &snapshot)
{
    std::deque<SheetEntry> entries;
    for (const auto &stored : snapshot.sheets()) {
        BOOST_OUTCOME_TRY(auto entry, loadSheet(stored));
        entries.push_back(std::move(entry));
    }
    Rows rows;
    for (const auto &stored : snapshot.sheet()) {
        BOOST_OUTCOME_TRY(auto booking, Sheet::fromWire(stored));
        BookingId id = booking.id;
        rows.emplace(std::move(id), std::move(booking));
    }
    return SheetHistory(std::move(entries), std::move(rows), snapshot.sheet_version());
}

Result<std::map<BookingId, BookingRecord>> loadBookings(const Wire::CellSnapshot &snapshot)
{
    std::map<BookingId, BookingRecord> records;
    for (const auto &stored : snapshot.bookings()) {
        BOOST_OUTCOME_TRY(auto record, loadBooking(stored));
        BookingId id = record.booking.id;
        records.emplace(std::move(id), std::move(record));
    }
    return records;
}

} // namespace

namespace Internal
{

void toWire(const InstanceRecord &instance, Wire::Instance &message)
{
    message.set_id(instance.id.value());
    message.set_zone(instance.zone.value());
    message.set_internal_address(instance.internalAddress);
    message.set_operator_address(instance.operatorAddress);
    message.set_worker_address(instance.workerAddress);
    message.set_replaces(instance.replaces.value());
    message.set_retired(instance.retired);
}

InstanceRecord fromWire(const Wire::Instance &message)
{
    return {InstanceId(message.id()),   ZoneId(message.zone()),   message.internal_address(),
            message.operator_address(), message.worker_address(), InstanceId(message.replaces()),
            message.retired()};
}

} // namespace Internal

std::string CellState::snapshot() const
{
    Wire::CellSnapshot snapshot;
    snapshot.set_format(snapshotFormat);
    for (const auto &[id, record] : data_->bookings.records())
        storeBooking(record, *snapshot.add_bookings());
    for (const SheetEntry &entry : data_->sheets.entries())
        storeSheet(entry, *snapshot.add_sheets());
    for (const auto &[id, row] : data_->sheets.rows())
        Sheet::toWire(row, *snapshot.add_sheet());
    snapshot.set_sheet_version(data_->sheets.version());
    snapshot.set_bookings_revision(data_->bookings.revision());
    for (const auto &configuration : data_->configurations.kept())
        *snapshot.add_configurations() = configuration;
    for (const auto &[id, instance] : data_->instances.records())
        toWire(instance, *snapshot.add_instances());
    for (const auto &request : data_->requests.requests())
        *snapshot.add_requests() = request;
    snapshot.set_latest_unix_ms(data_->latestUnixMs);
    return snapshot.SerializeAsString();
}

Result<void> CellState::restore(std::string_view bytes)
{
    Wire::CellSnapshot snapshot;
    if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return failure(ErrorCode::Corrupt, "the snapshot of the cell state can't be parsed");
    if (snapshot.format() != snapshotFormat)
        return failure(ErrorCode::Corrupt,
                       "the snapshot of the cell state has the unknown format " + std::to_string(snapshot.format()));
    auto records = loadBookings(snapshot);
    auto sheets = loadSheets(snapshot);
    if (records.has_error() || sheets.has_error())
        return failure(ErrorCode::Corrupt,
                       "the snapshot of the cell state is damaged: "
                           + (records.has_error() ? records.error() : sheets.error()).message);
    auto data = std::make_unique<Data>();
    data->bookings.restore(std::move(records.value()), snapshot.bookings_revision());
    data->sheets = std::move(sheets.value());
    data->configurations.restore({snapshot.configurations().begin(), snapshot.configurations().end()});
    std::map<InstanceId, InstanceRecord> instances;
    for (const auto &stored : snapshot.instances())
        instances.emplace(InstanceId(stored.id()), fromWire(stored));
    data->instances.restore(std::move(instances));
    for (const auto &request : snapshot.requests())
        data->requests.add(request);
    data->latestUnixMs = snapshot.latest_unix_ms();
    data_ = std::move(data);
    return success();
}

} // namespace Pistachio::Cellstate
