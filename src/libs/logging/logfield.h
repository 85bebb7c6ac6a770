#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Pistachio::Logging
{

/// One named value of a log line.
struct LogField {
    using Value = std::variant<std::string, std::int64_t, double, bool>;

    std::string name;
    Value value;

    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(std::string(text))
    {
    }
    LogField(std::string_view fieldName, const std::string &text)
        : LogField(fieldName, std::string_view(text))
    {
    }
    LogField(std::string_view fieldName, const char *text)
        : LogField(fieldName, std::string_view(text))
    {
    }
    LogField(std::string_view fieldName, bool flag)
        : name(fieldName)
        , value(flag)
    {
    }
    LogField(std::string_view fieldName, double number)
        : name(fieldName)
        , value(number)
    {
    }
    template<std::integral Integer>
    requires(!std::same_as<Integer, bool>) LogField(std::string_view fieldName, Integer number)
        : name(fieldName)
        , value(static_cast<std::int64_t>(number))
    {
    }
};

} // namespace Pistachio::Logging
