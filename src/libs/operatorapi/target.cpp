#include "operatorapi/target.h"

#include "sheet/utf8.h"

#include <charconv>

namespace Pistachio::Operatorapi::Internal
{

namespace
{

std::optional<std::string> decoded(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i];
            continue;
        }
        unsigned byte = 0;
        const char *digits = text.data() + i + 1;
        if (i + 2 >= text.size() || std::from_chars(digits, digits + 2, byte, hexadecimal).ptr != digits + 2)
            return std::nullopt;
        result += static_cast<char>(byte);
        i += 2;
    }
    if (Sheet::firstInvalidUtf8(result))
        return std::nullopt;
    return result;
}

template<class Take> bool split(std::string_view text, char separator, Take take)
{
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        if (!take(text.substr(0, end)))
            return false;
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return true;
}

} // namespace

std::optional<Target> Target::parse(std::string_view text)
{
    Target target;
    const std::size_t mark = text.find('?');
    const bool hasPath = split(text.substr(0, mark), '/', [&](std::string_view segment) {
        auto part = decoded(segment);
        if (part && !part->empty())
            target.path.push_back(std::move(*part));
        return part.has_value();
    });
    const std::string_view query = mark == std::string_view::npos ? std::string_view() : text.substr(mark + 1);
    const bool hasQuery = split(query, '&', [&](std::string_view parameter) {
        const std::size_t sign = parameter.find('=');
        auto name = decoded(parameter.substr(0, sign));
        auto value = decoded(sign == std::string_view::npos ? std::string_view() : parameter.substr(sign + 1));
        if (!name || !value)
            return false;
        target.query.emplace_back(std::move(*name), std::move(*value));
        return true;
    });
    if (!hasPath || !hasQuery)
        return std::nullopt;
    return target;
}

std::string Target::value(std::string_view name) const
{
    const auto all = values(name);
    return all.empty() ? std::string() : all.front();
}

std::vector<std::string> Target::values(std::string_view name) const
{
    std::vector<std::string> result;
    for (const auto &[key, value] : query) {
        if (key == name)
            result.push_back(value);
    }
    return result;
}

} // namespace Pistachio::Operatorapi::Internal
