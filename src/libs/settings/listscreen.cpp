#include "settings/listscreen.h"

#include <cstddef>

namespace Pistachio::Settings
{

namespace
{

constexpr std::string_view blanks = " \t\r\n";
constexpr auto none = std::string_view::npos;

/// \return the position behind the opening bracket of the list, or none.
std::size_t beginOfList(std::string_view text, std::string_view key)
{
    for (std::size_t line = 0; line < text.size();) {
        const auto end = text.find('\n', line);
        if (text.substr(line).starts_with(key)) {
            const auto equals = text.find_first_not_of(" \t", line + key.size());
            const auto open = equals == none ? none : text.find_first_not_of(" \t", equals + 1);
            if (open != none && text[equals] == '=' && text[open] == '[')
                return open + 1;
        }
        line = end == none ? text.size() : end + 1;
    }
    return none;
}

/// \return the position behind the string that begins at \p begin, or none when it doesn't end in its line.
std::size_t endOfString(std::string_view text, std::size_t begin)
{
    const char quote = text[begin];
    for (auto position = begin + 1; position < text.size() && text[position] != '\n'; ++position) {
        if (text[position] == quote)
            return position + 1;
        if (text[position] == '\\' && quote == '"')
            ++position;
    }
    return none;
}

/// \return the position of the comma or bracket that ends the item at \p begin, or none.
std::size_t endOfItem(std::string_view text, std::size_t begin)
{
    std::size_t depth = 0;
    for (auto position = begin; position < text.size();) {
        const char c = text[position];
        if (c == '#')
            return none;
        if (c == '"' || c == '\'') {
            position = endOfString(text, position);
            continue;
        }
        if (depth == 0 && (c == ',' || c == ']'))
            return position;
        if (c == '[' || c == '{')
            ++depth;
        else if (depth > 0 && (c == ']' || c == '}'))
            --depth;
        ++position;
    }
    return none;
}

bool isString(std::string_view item)
{
    const auto begin = item.find_first_not_of(blanks);
    if (begin == none)
        return false;
    const bool isQuoted = item[begin] == '"' || item[begin] == '\'';
    return isQuoted && item.find_first_not_of(blanks, endOfString(item, begin)) == none;
}

} // namespace

std::string screenStringList(std::string_view text, std::string_view key)
{
    auto position = beginOfList(text, key);
    if (position == none)
        return std::string(text);
    std::string result(text.substr(0, position));
    while (true) {
        const auto end = endOfItem(text, position);
        if (end == none)
            return std::string(text);
        const auto item = text.substr(position, end - position);
        const bool isKept = isString(item) || item.find_first_not_of(blanks) == none;
        result += isKept ? item : "0";
        if (text[end] == ']')
            return result.append(text.substr(end));
        result += ',';
        position = end + 1;
    }
}

} // namespace Pistachio::Settings
