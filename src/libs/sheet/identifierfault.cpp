#include "sheet/identifierfault.h"

#include "sheet/bookinglimits.h"

#include <algorithm>

namespace Pistachio::Sheet
{

namespace
{

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isLetter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

} // namespace

std::string identifierFault(std::string_view text)
{
    const auto isAllowed = [](char c) { return isLetter(c) || isDigit(c) || c == '-' || c == '_' || c == '.'; };
    if (text.empty())
        return "must not be empty";
    if (text.size() > maximumIdentifierBytes)
        return "must have at most " + std::to_string(maximumIdentifierBytes) + " characters";
    if (!std::ranges::all_of(text, isAllowed) || !(isLetter(text.front()) || isDigit(text.front())))
        return "must start with a letter or digit and have only letters a to z, digits, '-', '_' and '.'";
    return {};
}

} // namespace Pistachio::Sheet
