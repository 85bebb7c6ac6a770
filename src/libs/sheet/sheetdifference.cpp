#include "sheet/sheetdifference.h"

#include "sheet/columns.h"
#include "sheet/utf8.h"

#include <map>

namespace Pistachio::Sheet
{

namespace
{

std::map<BookingId, const Booking *> byId(std::span<const Booking> bookings)
{
    std::map<BookingId, const Booking *> result;
    for (const Booking &booking : bookings)
        result.emplace(booking.id, &booking);
    return result;
}

std::vector<FieldChange> fieldChanges(const Booking &before, const Booking &after)
{
    std::vector<FieldChange> changes;
    for (const auto &column : Internal::columns()) {
        if (column.name == "zone" && after.zone.isEmpty())
            continue;
        std::string old = column.write(before);
        std::string current = column.write(after);
        if (old != current)
            changes.push_back({std::string(column.name), std::move(old), std::move(current)});
    }
    return changes;
}

std::string quoted(const std::string &value, std::size_t bytes)
{
    return value.empty() ? "nothing" : "'" + shortened(value, bytes) + "'";
}

std::string changeLine(const BookingChange &change, std::size_t valueBytes)
{
    std::string line = "changed " + change.booking.value() + ':';
    const char *separator = " ";
    for (const FieldChange &field : change.fields) {
        line.append(separator).append(field.column).append(" from ").append(quoted(field.before, valueBytes));
        line.append(" to ").append(quoted(field.after, valueBytes));
        separator = ", ";
    }
    return line;
}

} // namespace

SheetDifference difference(std::span<const Booking> before, std::span<const Booking> after)
{
    SheetDifference result;
    const auto old = byId(before);
    const auto current = byId(after);
    for (const auto &[id, booking] : current) {
        const auto found = old.find(id);
        if (found == old.end()) {
            result.added.push_back(*booking);
            continue;
        }
        // Most rows of a sheet stay as they are; comparing them as text would take most of the time of accepting one.
        if (*found->second == *booking)
            continue;
        if (auto fields = fieldChanges(*found->second, *booking); !fields.empty())
            result.changed.push_back({id, std::move(fields)});
    }
    for (const auto &[id, booking] : old) {
        if (!current.contains(id))
            result.ended.push_back(*booking);
    }
    return result;
}

std::vector<std::string> SheetDifference::toLines(std::size_t limit, std::size_t valueBytes) const
{
    std::vector<std::string> lines;
    const std::size_t total = added.size() + changed.size() + ended.size();
    const std::size_t listed = total > limit ? limit - 1 : total;
    for (std::size_t i = 0; i < listed; ++i) {
        if (i < added.size())
            lines.push_back("added " + added[i].id.value());
        else if (i < added.size() + changed.size())
            lines.push_back(changeLine(changed[i - added.size()], valueBytes));
        else
            lines.push_back("ended " + ended[i - added.size() - changed.size()].id.value());
    }
    if (listed < total)
        lines.push_back("and " + std::to_string(total - listed) + " more");
    return lines;
}

} // namespace Pistachio::Sheet
