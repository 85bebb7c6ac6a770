#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Pistachio::Operatorapi::Internal
{

/// The decoded target of a request.
struct Target {
    std::vector<std::string> path; ///< the segments
    std::vector<std::pair<std::string, std::string>> query;

    /// \param text the target as received
    /// \return the parts, or nothing when the encoding is broken or not UTF-8.
    static std::optional<Target> parse(std::string_view text);

    /// \return the first value of the parameter \p name, or an empty string.
    [[nodiscard]] std::string value(std::string_view name) const;

    /// \return all values of the parameter \p name.
    [[nodiscard]] std::vector<std::string> values(std::string_view name) const;
};

} // namespace Pistachio::Operatorapi::Internal
