#include "sheet/sheetreader.h"

#include "sheet/columns.h"
#include "sheet/csvrows.h"
#include "sheet/utf8.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace Pistachio::Sheet
{

namespace
{

using Internal::Column;
using Internal::columns;

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
constexpr std::size_t listedValueBytes = 100;

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

class Reader
{
public:
    explicit Reader(const SheetLimits &limits)
        : limits_(limits)
    {
    }

    SheetReading read(std::string_view text)
    {
        if (text.size() > limits_.bytes) {
            fail(0, "", std::to_string(text.size()) + " bytes",
                 "the file is larger than " + std::to_string(limits_.bytes) + " bytes");
            return std::move(reading_);
        }
        if (text.starts_with(byteOrderMark))
            text.remove_prefix(byteOrderMark.size());
        if (const auto invalid = firstInvalidUtf8(text)) {
            const auto row = 1 + std::ranges::count(text.substr(0, *invalid), '\n');
            fail(static_cast<std::uint32_t>(row), "", "", "the row is not UTF-8; export the sheet as CSV in UTF-8");
            return std::move(reading_);
        }
        const auto fault = Internal::readRows(
            text, Internal::separatorOf(text),
            [this](std::uint32_t row, const std::vector<std::string> &cells) { return takeRow(row, cells); });
        if (fault.row != 0)
            fail(fault.row, columnName(fault.column), "", fault.reason);
        if (header_.empty() && reading_.errorCount == 0)
            fail(1, "", "", "the file has no header; its first row must name the columns");
        if (!reading_.isAccepted())
            reading_.bookings.clear();
        return std::move(reading_);
    }

private:
    bool takeRow(std::uint32_t row, const std::vector<std::string> &cells)
    {
        if (header_.empty())
            return takeHeader(row, cells);
        if (++rows_ > limits_.rows) {
            fail(row, "", "", "the sheet has more than " + std::to_string(limits_.rows) + " bookings");
            return false;
        }
        takeBooking(row, cells);
        return true;
    }

    bool takeHeader(std::uint32_t row, const std::vector<std::string> &cells)
    {
        for (const std::string &cell : cells) {
            const std::string_view name = trimmed(cell);
            const auto column = std::ranges::find(columns(), name, &Column::name);
            const bool isKnown = column != columns().end();
            if (!isKnown)
                fail(row, std::string(name), cell, "is not a column of a sheet");
            else if (std::ranges::find(header_, &*column) != header_.end())
                fail(row, std::string(name), cell, "the column is named twice");
            header_.push_back(isKnown ? &*column : nullptr);
        }
        for (const Column &column : columns()) {
            if (column.isRequired && std::ranges::find(header_, &column) == header_.end())
                fail(row, std::string(column.name), "", "the column is missing");
        }
        return reading_.isAccepted();
    }

    void takeBooking(std::uint32_t row, const std::vector<std::string> &cells)
    {
        if (cells.size() != header_.size()) {
            const std::size_t first = std::min(cells.size(), header_.size());
            fail(row, columnName(first), first < cells.size() ? cells[first] : std::string(),
                 "the row has " + std::to_string(cells.size()) + " cells and the header "
                     + std::to_string(header_.size()));
            return;
        }
        Booking booking;
        const std::size_t errorsBefore = reading_.errorCount;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            const bool isVerbatim = header_[i]->name == "command";
            const std::string_view cell = isVerbatim ? std::string_view(cells[i]) : trimmed(cells[i]);
            if (std::string reason = header_[i]->read(cell, booking); !reason.empty())
                fail(row, std::string(header_[i]->name), cells[i], std::move(reason));
        }
        if (reading_.errorCount == errorsBefore)
            checkWhole(row, booking);
        reading_.bookings.push_back(std::move(booking));
    }

    void checkWhole(std::uint32_t row, const Booking &booking)
    {
        if (const auto [column, reason] = Internal::contradiction(booking); !reason.empty()) {
            const auto found = std::ranges::find(columns(), column, &Column::name);
            fail(row, std::string(column), found->write(booking), reason);
        }
        const auto [first, isNew] = rowOf_.emplace(booking.id, row);
        if (!isNew)
            fail(row, "booking", booking.id.value(), "is also in row " + std::to_string(first->second));
    }

    [[nodiscard]] std::string columnName(std::size_t index) const
    {
        if (index < header_.size() && header_[index] != nullptr)
            return std::string(header_[index]->name);
        return "column " + std::to_string(index + 1);
    }

    void fail(std::uint32_t row, std::string column, std::string_view value, std::string reason)
    {
        ++reading_.errorCount;
        if (reading_.errors.size() < limits_.listedErrors)
            reading_.errors.push_back({row, std::move(column), shortened(value, listedValueBytes), std::move(reason)});
    }

    const SheetLimits &limits_;
    SheetReading reading_;
    std::vector<const Column *> header_;
    std::unordered_map<BookingId, std::uint32_t> rowOf_;
    std::size_t rows_ = 0;
};

} // namespace

SheetReading readSheet(std::string_view text, const SheetLimits &limits)
{
    return Reader(limits).read(text);
}

} // namespace Pistachio::Sheet
