#include "sheet/sheetwriter.h"

#include "sheet/columns.h"

#include <csv.h>

namespace Pistachio::Sheet
{

namespace
{

void appendCell(std::string &text, const std::string &cell)
{
    const bool hasOuterSpace = !cell.empty() && (cell.front() == ' ' || cell.back() == ' ');
    if (!hasOuterSpace && cell.find_first_of(",;\"\r\n\t") == std::string::npos) {
        text += cell;
        return;
    }
    const std::size_t size = csv_write(nullptr, 0, cell.data(), cell.size());
    const std::size_t offset = text.size();
    text.resize(offset + size);
    csv_write(text.data() + offset, size, cell.data(), cell.size());
}

} // namespace

std::string writeSheet(std::span<const Booking> bookings)
{
    std::string text;
    for (const auto &column : Internal::columns())
        text.append(text.empty() ? "" : ",").append(column.name);
    text += '\n';
    for (const Booking &booking : bookings) {
        bool isFirst = true;
        for (const auto &column : Internal::columns()) {
            if (!isFirst)
                text += ',';
            isFirst = false;
            appendCell(text, column.write(booking));
        }
        text += '\n';
    }
    return text;
}

} // namespace Pistachio::Sheet
