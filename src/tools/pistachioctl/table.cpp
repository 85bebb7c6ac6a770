#include "pistachioctl/table.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Pistachio::Pistachioctl
{

namespace
{

// Counts characters, not bytes; names of people are often not ASCII.
std::size_t width(const std::string &text)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(text, [](char c) { return (static_cast<unsigned char>(c) & 0xC0U) != 0x80; }));
}

// Text from the cell must not move the cursor or colour the operator's terminal.
std::string printable(std::string text)
{
    std::ranges::replace_if(
        text, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }, ' ');
    return text;
}

void appendRow(std::string &text, const std::vector<std::string> &row, const std::vector<std::size_t> &widths)
{
    constexpr std::size_t gap = 2;
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
        line += row[i];
        if (i + 1 < row.size())
            line.append(widths[i] - width(row[i]) + gap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
}

} // namespace

std::string tableText(const std::vector<std::string> &title, const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::vector<std::string>> lines{title};
    lines.insert(lines.end(), rows.begin(), rows.end());
    std::vector<std::size_t> widths(title.size(), 0);
    for (auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            line[i] = printable(std::move(line[i]));
            widths[i] = std::max(widths[i], width(line[i]));
        }
    }
    std::string text;
    for (const auto &line : lines)
        appendRow(text, line, widths);
    return text;
}

std::string tableText(const nlohmann::json &list, std::initializer_list<std::string_view> keys)
{
    const std::vector<std::string> title(keys.begin(), keys.end());
    std::vector<std::vector<std::string>> rows;
    for (const auto &object : list) {
        std::vector<std::string> row;
        row.reserve(title.size());
        for (const std::string &key : title)
            row.push_back(cellText(member(object, key)));
        rows.push_back(std::move(row));
    }
    return tableText(title, rows);
}

nlohmann::json member(const nlohmann::json &object, const std::string &key)
{
    return object.is_object() ? object.value(key, nlohmann::json()) : nlohmann::json();
}

std::string cellText(const nlohmann::json &value)
{
    if (value.is_null())
        return {};
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace Pistachio::Pistachioctl
