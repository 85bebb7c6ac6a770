#include "cellstate/sheethistory.h"

#include <utility>

namespace Pistachio::Cellstate::Internal
{

namespace
{

std::size_t undoRowsOf(const SheetEntry &entry)
{
    return entry.previous.size() + entry.addedIds.size();
}

} // namespace

SheetHistory::SheetHistory(std::deque<SheetEntry> entries, Rows rows, std::uint64_t version)
    : entries_(std::move(entries))
    , rows_(std::move(rows))
    , version_(version)
{
    for (const SheetEntry &entry : entries_)
        undoRows_ += undoRowsOf(entry);
}

std::string SheetHistory::author() const
{
    return entries_.empty() ? std::string() : entries_.back().summary.author;
}

Result<std::vector<Sheet::Booking>> SheetHistory::sheet(std::uint64_t version) const
{
    if (version == version_)
        return listOf(rows_);
    if (version > version_)
        return failure(ErrorCode::NotFound,
                       "sheet " + std::to_string(version) + " does not exist; the newest is "
                           + std::to_string(version_));
    // The oldest kept entry can be undone too, which gives the sheet before it.
    if (entries_.empty() || version + 1 < entries_.front().summary.version)
        return failure(ErrorCode::NotFound, "sheet " + std::to_string(version) + " is no longer kept");
    Rows rows = rows_;
    for (auto entry = entries_.rbegin(); entry != entries_.rend() && entry->summary.version > version; ++entry) {
        for (const BookingId &id : entry->addedIds)
            rows.erase(id);
        for (const Sheet::Booking &booking : entry->previous)
            rows.insert_or_assign(booking.id, booking);
    }
    return listOf(rows);
}

Sheet::SheetDifference SheetHistory::accept(Rows rows, const std::string &author, std::int64_t unixMs)
{
    Sheet::SheetDifference changes = Sheet::difference(listOf(rows_), listOf(rows));
    SheetEntry entry;
    entry.summary
        = {++version_, author, unixMs, rows.size(), changes.added.size(), changes.changed.size(), changes.ended.size()};
    for (const auto &booking : changes.added)
        entry.addedIds.push_back(booking.id);
    for (const auto &change : changes.changed)
        entry.previous.push_back(rows_.at(change.booking));
    entry.previous.insert(entry.previous.end(), changes.ended.begin(), changes.ended.end());
    undoRows_ += undoRowsOf(entry);
    entries_.push_back(std::move(entry));
    rows_ = std::move(rows);
    dropOld();
    return changes;
}

void SheetHistory::dropOld()
{
    while (entries_.size() > 1 && (entries_.size() > keptSheets || undoRows_ > keptUndoRows)) {
        undoRows_ -= undoRowsOf(entries_.front());
        entries_.pop_front();
    }
}

std::vector<Sheet::Booking> listOf(const Rows &rows)
{
    std::vector<Sheet::Booking> list;
    list.reserve(rows.size());
    for (const auto &[id, booking] : rows)
        list.push_back(booking);
    return list;
}

} // namespace Pistachio::Cellstate::Internal
