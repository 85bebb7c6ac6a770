#pragma once

#include <cstddef>
#include <string>
#include <vector>

/// \return \p levels arrays within each other.
inline std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/// \return values that another writer may leave where text, an amount or a row belongs.
inline std::vector<std::string> oddValues()
{
    return {nested(100), nested(200'000), "1e999", "-1e999", std::string(400, '9'), "18446744073709551615", "-1",
            "{}",        "null"};
}
