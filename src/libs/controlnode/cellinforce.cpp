#include "controlnode/cellinforce.h"

#include "cellstate/bookingrecord.h"
#include "cellstate/cellstate.h"
#include "sheet/wirebooking.h"

#include <cell.pb.h>

#include <utility>

namespace Pistachio::Controlnode
{

struct CellInForce::Content {
    CellFloor floor;
    Wire::Configuration configuration;
    std::vector<Wire::Booking> bookings;
};

bool CellFloor::isCoveredBy(const CellFloor &other) const
{
    return configuration <= other.configuration && bookings <= other.bookings;
}

CellInForce::CellInForce(ZoneId zone)
    : zone_(std::move(zone))
    , inForce_(std::make_unique<Content>())
{
}

CellInForce::~CellInForce() = default;

bool CellInForce::update(const Cellstate::CellState &cell, const CellFloor &floor)
{
    bool isChanged = enforcePending(floor);
    const CellFloor known{cell.configuration().version(), cell.bookingsRevision()};
    // A newer state waits until an earlier one has its floor, so that steady changes don't delay all of them.
    if (!pending_ && floor.isCoveredBy(known) && known != inForce_->floor) {
        pending_ = capture(cell);
        isChanged = enforcePending(floor) || isChanged;
    }
    return isChanged;
}

bool CellInForce::enforcePending(const CellFloor &floor)
{
    if (!pending_ || !pending_->floor.isCoveredBy(floor))
        return false;
    inForce_ = std::move(pending_);
    return true;
}

std::optional<CellFloor> CellInForce::wanted() const
{
    return pending_ ? std::optional(pending_->floor) : std::nullopt;
}

bool CellInForce::isCurrent(const CellFloor &floor) const
{
    return floor.isCoveredBy(inForce_->floor);
}

bool CellInForce::isLatest(const Cellstate::CellState &cell) const
{
    return inForce_->floor == CellFloor{cell.configuration().version(), cell.bookingsRevision()};
}

const Wire::Configuration &CellInForce::configuration() const
{
    return inForce_->configuration;
}

std::span<const Wire::Booking> CellInForce::bookings() const
{
    return inForce_->bookings;
}

std::unique_ptr<CellInForce::Content> CellInForce::capture(const Cellstate::CellState &cell) const
{
    auto content = std::make_unique<Content>();
    content->floor = {cell.configuration().version(), cell.bookingsRevision()};
    content->configuration = cell.configuration();
    for (const auto &[id, record] : cell.bookings()) {
        if (record.state == Cellstate::BookingState::Active && record.booking.zone == zone_)
            Sheet::toWire(record.booking, content->bookings.emplace_back());
    }
    return content;
}

} // namespace Pistachio::Controlnode
