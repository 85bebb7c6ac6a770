#pragma once

#include "cellstate/sheetrecord.h"
#include "core/result.h"
#include "sheet/booking.h"
#include "sheet/sheetdifference.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Pistachio::Cellstate::Internal
{

constexpr std::size_t keptSheets = 64;

/// Bounds the memory of the history when every sheet changes most of its rows.
constexpr std::size_t keptUndoRows = 50'000;

using Rows = std::map<BookingId, Sheet::Booking>;

/// An accepted sheet and what restores the one before it.
struct SheetEntry {
    SheetSummary summary;
    std::vector<Sheet::Booking> previous; ///< the rows that it changed or ended, as they were
    std::vector<BookingId> addedIds;
};

/// The rows of the sheet in force, and earlier sheets as differences from it.
class SheetHistory
{
public:
    SheetHistory() = default;

    /// \param entries the kept sheets, oldest first
    /// \param rows the rows of the newest one
    /// \param version the number of the newest one
    SheetHistory(std::deque<SheetEntry> entries, Rows rows, std::uint64_t version);

    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] const Rows &rows() const { return rows_; }
    [[nodiscard]] const std::deque<SheetEntry> &entries() const { return entries_; }

    /// \return who made the sheet in force; empty before the first.
    [[nodiscard]] std::string author() const;

    /// \param version a version
    /// \return its rows, or NotFound.
    [[nodiscard]] Result<std::vector<Sheet::Booking>> sheet(std::uint64_t version) const;

    /// Makes \p rows the sheet in force under the next version.
    /// \param rows the new rows, each with its home zone
    /// \param author who made the sheet
    /// \param unixMs when it was proposed
    /// \return what it changes.
    Sheet::SheetDifference accept(Rows rows, const std::string &author, std::int64_t unixMs);

private:
    void dropOld();

    std::deque<SheetEntry> entries_;
    Rows rows_;
    std::uint64_t version_ = 0;
    std::size_t undoRows_ = 0;
};

/// \param rows rows by id
/// \return the rows in the order of ids.
std::vector<Sheet::Booking> listOf(const Rows &rows);

} // namespace Pistachio::Cellstate::Internal
