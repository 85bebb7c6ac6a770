#pragma once

#include "core/identifier.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace Pistachio::Wire
{
class Booking;
class Configuration;
} // namespace Pistachio::Wire

namespace Pistachio::Cellstate
{
class CellState;
}

namespace Pistachio::Controlnode
{

/// The oldest cell state that a zone may act on, as committed in the zone's log.
struct CellFloor {
    std::uint64_t configuration = 0;
    std::uint64_t bookings = 0;

    bool operator==(const CellFloor &) const = default;

    /// \return whether neither part is newer than \p other.
    [[nodiscard]] bool isCoveredBy(const CellFloor &other) const;
};

/// The cell state that one zone acts on. A newer one comes into force only once the zone's log holds it as the floor,
/// so that no later leader or restarted entry of the zone goes back behind it.
class CellInForce
{
public:
    explicit CellInForce(ZoneId zone);
    ~CellInForce();
    CellInForce(const CellInForce &) = delete;
    CellInForce &operator=(const CellInForce &) = delete;

    /// \param cell what this instance has of the cell state
    /// \param floor what the zone's log holds
    /// \return whether another state came into force.
    bool update(const Cellstate::CellState &cell, const CellFloor &floor);

    /// \return the floor that the zone leader has to commit, or nothing.
    [[nodiscard]] std::optional<CellFloor> wanted() const;

    /// \param floor what the zone's log holds
    /// \return whether the state in force is not behind it; otherwise this instance must not lead the zone.
    [[nodiscard]] bool isCurrent(const CellFloor &floor) const;

    /// \return whether nothing newer than the state in force is in \p cell.
    [[nodiscard]] bool isLatest(const Cellstate::CellState &cell) const;

    [[nodiscard]] const Wire::Configuration &configuration() const;
    [[nodiscard]] std::span<const Wire::Booking> bookings() const;

private:
    struct Content;

    bool enforcePending(const CellFloor &floor);
    std::unique_ptr<Content> capture(const Cellstate::CellState &cell) const;

    ZoneId zone_;
    std::unique_ptr<Content> inForce_;
    std::unique_ptr<Content> pending_; ///< not yet covered by the floor
};

} // namespace Pistachio::Controlnode
