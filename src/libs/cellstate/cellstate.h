#pragma once

#include "cellstate/bookingrecord.h"
#include "cellstate/instancerecord.h"
#include "cellstate/sheetrecord.h"
#include "core/result.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Wire
{
class CellCommand;
class CellResult;
class Configuration;
} // namespace Pistachio::Wire

/// The replicated state of the cell: sheets, bookings, quotas, configuration, instances and operators' request ids.
namespace Pistachio::Cellstate
{

/// The state machine of the cell group. The same commands in the same order give the same state and the same results on
/// every instance. Sheets and configurations are numbered separately; no number is ever used twice.
class CellState
{
public:
    CellState();
    ~CellState();
    CellState(CellState &&) noexcept;
    CellState &operator=(CellState &&) noexcept;
    CellState(const CellState &) = delete;
    CellState &operator=(const CellState &) = delete;

    /// \param command a committed entry of the cell log
    /// \return the result; for a repeated request id the result of its first command.
    Wire::CellResult apply(const Wire::CellCommand &command);

    /// Dry run of apply().
    /// \param command the command to try
    /// \return the result that apply() would give now.
    [[nodiscard]] Wire::CellResult preview(const Wire::CellCommand &command) const;

    /// \return the whole state, the same bytes on every instance with the same state.
    [[nodiscard]] std::string snapshot() const;

    /// \param bytes what snapshot() returned
    /// \return success, or Corrupt; the state is unchanged after a failure.
    Result<void> restore(std::string_view bytes);

    /// \return the number of the newest accepted sheet, 0 before the first.
    [[nodiscard]] std::uint64_t sheetVersion() const;

    /// \return a number that grows whenever a booking changes, by a sheet, a cancellation or a release.
    [[nodiscard]] std::uint64_t bookingsRevision() const;

    /// \return all bookings: active ones, and ended or cancelled ones whose home zone has not released them.
    [[nodiscard]] const std::map<BookingId, BookingRecord> &bookings() const;

    /// \param id a booking
    /// \return its record, or nullptr. Valid until the next apply() or restore().
    [[nodiscard]] const BookingRecord *booking(const BookingId &id) const;

    /// \return the kept sheets, oldest first; the last one is in force.
    [[nodiscard]] std::vector<SheetSummary> sheetHistory() const;

    /// \param version a sheet
    /// \return its bookings ordered by id with their home zones, or NotFound when the version never was or is no longer
    /// kept.
    [[nodiscard]] Result<std::vector<Sheet::Booking>> sheet(std::uint64_t version) const;

    /// \return the configuration in force; its version is 0 before the first.
    [[nodiscard]] const Wire::Configuration &configuration() const;

    /// \return the instances that operators added, by id.
    [[nodiscard]] const std::map<InstanceId, InstanceRecord> &instances() const;

    /// \param team a team
    /// \return the largest amount that the team's active bookings claim at one time.
    [[nodiscard]] Resources peakDemand(const TeamId &team) const;

private:
    struct Data;
    std::unique_ptr<Data> data_;
};

} // namespace Pistachio::Cellstate
