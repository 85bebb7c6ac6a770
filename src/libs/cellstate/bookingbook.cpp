#include "cellstate/bookingbook.h"

#include <algorithm>
#include <utility>

namespace Pistachio::Cellstate
{

std::string_view toString(BookingState state)
{
    switch (state) {
    case BookingState::Active:
        return "active";
    case BookingState::Ended:
        return "ended";
    case BookingState::Cancelled:
        return "cancelled";
    }
    return "invalid";
}

namespace Internal
{

std::vector<std::string> BookingBook::assignZones(Rows &rows, std::span<const ZoneId> zones,
                                                  const ZoneCapacities &capacities,
                                                  const std::set<BookingId> &reinstate) const
{
    std::vector<std::string> faults;
    HomeZones homes(zones, capacities);
    std::vector<Sheet::Booking *> homeless;
    for (auto &[id, row] : rows) {
        const ZoneId *bound = boundZone(id);
        if (row.zone.isEmpty() && bound != nullptr)
            row.zone = *bound;
        if (row.zone.isEmpty())
            homeless.push_back(&row);
        else if (std::ranges::find(zones, row.zone) == zones.end())
            faults.push_back("booking '" + id.value() + "': zone '" + row.zone.value() + "' is not configured");
        else if (bound != nullptr && row.zone != *bound)
            faults.push_back("booking '" + id.value() + "': zone can't change from '" + bound->value() + "' to '"
                             + row.zone.value() + "' before its home zone has released it; use a new booking");
        else if (!staysCancelled(id, reinstate))
            homes.count(row);
    }
    if (faults.empty()) {
        for (Sheet::Booking *row : homeless)
            row->zone = homes.choose(*row);
    }
    return faults;
}

const ZoneId *BookingBook::boundZone(const BookingId &id) const
{
    const auto found = records_.find(id);
    return found == records_.end() || found->second.isReleased ? nullptr : &found->second.booking.zone;
}

bool BookingBook::staysCancelled(const BookingId &id, const std::set<BookingId> &reinstate) const
{
    const auto found = records_.find(id);
    return found != records_.end() && found->second.state == BookingState::Cancelled && !reinstate.contains(id);
}

std::vector<const Sheet::Booking *> BookingBook::activeRows(const Rows &rows,
                                                            const std::set<BookingId> &reinstate) const
{
    std::vector<const Sheet::Booking *> active;
    for (const auto &[id, row] : rows) {
        if (!staysCancelled(id, reinstate))
            active.push_back(&row);
    }
    return active;
}

std::vector<BookingId> BookingBook::follow(const Rows &rows, const std::set<BookingId> &reinstate,
                                           const ChangeOrigin &origin)
{
    ++revision_;
    std::vector<BookingId> stayCancelled;
    for (const auto &[id, row] : rows) {
        follow(row, reinstate.contains(id), origin);
        if (records_.at(id).state == BookingState::Cancelled)
            stayCancelled.push_back(id);
    }
    for (auto record = records_.begin(); record != records_.end();) {
        if (rows.contains(record->first) || record->second.state == BookingState::Ended) {
            ++record;
        } else if (record->second.isReleased) {
            record = records_.erase(record);
        } else {
            touch(record->second, BookingState::Ended, origin);
            ++record;
        }
    }
    dropOldEnded(origin.unixMs);
    return stayCancelled;
}

void BookingBook::follow(const Sheet::Booking &row, bool isReinstated, const ChangeOrigin &origin)
{
    const auto [found, isNew] = records_.try_emplace(row.id);
    BookingRecord &record = found->second;
    if (!isNew && record.state == BookingState::Cancelled && !isReinstated)
        return;
    if (!isNew && record.state == BookingState::Active && record.booking == row)
        return;
    record.booking = row;
    touch(record, BookingState::Active, origin);
}

void BookingBook::cancel(const BookingId &id, const ChangeOrigin &origin)
{
    const auto found = records_.find(id);
    if (found == records_.end() || found->second.state != BookingState::Active)
        return;
    ++revision_;
    touch(found->second, BookingState::Cancelled, origin);
}

void BookingBook::release(const BookingId &id, const ZoneId &zone, std::uint64_t revision)
{
    const auto found = records_.find(id);
    if (found == records_.end() || found->second.booking.zone != zone || found->second.revision > revision)
        return;
    if (found->second.state == BookingState::Ended) {
        ++revision_;
        records_.erase(found);
    } else if (found->second.state == BookingState::Cancelled) {
        ++revision_;
        found->second.isReleased = true;
    }
}

std::vector<const Sheet::Booking *> BookingBook::active() const
{
    std::vector<const Sheet::Booking *> active;
    for (const auto &[id, record] : records_) {
        if (record.state == BookingState::Active)
            active.push_back(&record.booking);
    }
    return active;
}

void BookingBook::restore(std::map<BookingId, BookingRecord> records, std::uint64_t revision)
{
    records_ = std::move(records);
    revision_ = revision;
}

void BookingBook::touch(BookingRecord &record, BookingState state, const ChangeOrigin &origin)
{
    record.state = state;
    record.sheetVersion = origin.sheetVersion;
    record.revision = revision_;
    record.isReleased = false;
    record.changedUnixMs = origin.unixMs;
    record.changedBy = origin.author;
}

void BookingBook::dropOldEnded(std::int64_t nowUnixMs)
{
    std::erase_if(records_, [nowUnixMs](const auto &entry) {
        const BookingRecord &record = entry.second;
        return record.state == BookingState::Ended && record.changedUnixMs + keptEndedMs < nowUnixMs;
    });
}

} // namespace Internal

} // namespace Pistachio::Cellstate
