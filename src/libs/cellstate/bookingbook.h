#pragma once

#include "cellstate/admission.h"
#include "cellstate/bookingrecord.h"
#include "cellstate/sheethistory.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Pistachio::Cellstate::Internal
{

/// How long an ended booking whose home zone has not released it keeps its id bound to that zone. Zones lose contact
/// for an hour now and then; this is 72 times as long and bounds the memory if a zone never returns.
constexpr std::int64_t keptEndedMs = 72LL * 3'600'000;

/// Who changes bookings, and when.
struct ChangeOrigin {
    std::string author;
    std::int64_t unixMs = 0;
    std::uint64_t sheetVersion = 0; ///< after the change
};

/// The bookings and their states. A booking keeps its home zone until that zone has released it, so that two zones
/// never run the same task.
class BookingBook
{
public:
    /// Gives each row its home zone and names the rows that can't be.
    /// \param rows the rows of a new sheet; receive their home zones
    /// \param zones the configured zones, not empty
    /// \param capacities the known workers
    /// \param reinstate the cancelled bookings that the sheet brings back
    /// \return one line for each row that names an unknown zone or moves a booking.
    std::vector<std::string> assignZones(Rows &rows, std::span<const ZoneId> zones, const ZoneCapacities &capacities,
                                         const std::set<BookingId> &reinstate) const;

    /// \param id a booking
    /// \return its home zone while that binds it, or nullptr.
    [[nodiscard]] const ZoneId *boundZone(const BookingId &id) const;

    /// \param rows the rows of a new sheet
    /// \param reinstate the cancelled bookings that the sheet brings back
    /// \return those rows that the sheet makes or keeps active.
    [[nodiscard]] std::vector<const Sheet::Booking *> activeRows(const Rows &rows,
                                                                 const std::set<BookingId> &reinstate) const;

    /// Brings the bookings in line with an accepted sheet.
    /// \param rows the rows with their home zones
    /// \param reinstate the cancelled bookings that the sheet brings back
    /// \param origin who made the sheet
    /// \return the listed bookings that stay cancelled.
    std::vector<BookingId> follow(const Rows &rows, const std::set<BookingId> &reinstate, const ChangeOrigin &origin);

    /// \param id an active booking
    /// \param origin who cancels it
    void cancel(const BookingId &id, const ChangeOrigin &origin);

    /// \param id a booking; ignored unless it is ended or cancelled, of \p zone and unchanged since \p revision
    /// \param zone the zone that releases it
    /// \param revision the revision that the zone saw
    void release(const BookingId &id, const ZoneId &zone, std::uint64_t revision);

    /// \return the bookings whose state is Active.
    [[nodiscard]] std::vector<const Sheet::Booking *> active() const;

    [[nodiscard]] const std::map<BookingId, BookingRecord> &records() const { return records_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    void restore(std::map<BookingId, BookingRecord> records, std::uint64_t revision);

private:
    [[nodiscard]] bool staysCancelled(const BookingId &id, const std::set<BookingId> &reinstate) const;
    void follow(const Sheet::Booking &row, bool isReinstated, const ChangeOrigin &origin);
    void touch(BookingRecord &record, BookingState state, const ChangeOrigin &origin);
    void dropOldEnded(std::int64_t nowUnixMs);

    std::map<BookingId, BookingRecord> records_;
    std::uint64_t revision_ = 0;
};

} // namespace Pistachio::Cellstate::Internal
