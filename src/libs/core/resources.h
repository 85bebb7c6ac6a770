#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Pistachio
{

/// An amount of each kind of resource a worker has or a task declares.
struct Resources {
    std::int64_t milliCores = 0;
    std::int64_t memoryBytes = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;
    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    friend Resources operator+(Resources left, const Resources &right) { return left += right; }
    friend Resources operator-(Resources left, const Resources &right) { return left -= right; }

    /// \param count the factor
    /// \return this amount \p count times.
    [[nodiscard]] Resources times(std::int64_t count) const;

    /// \param available the amount on offer
    /// \return whether no kind of resource exceeds \p available.
    [[nodiscard]] bool fitsIn(const Resources &available) const;

    /// \return whether some kind is below zero.
    [[nodiscard]] bool isNegative() const;

    /// \param available the amount on offer
    /// \return the name of the first kind that exceeds \p available, or an empty view.
    [[nodiscard]] std::string_view missingFrom(const Resources &available) const;

    /// \return text such as "2500m cores, 4096 MiB, 1 accelerators".
    [[nodiscard]] std::string toString() const;
};

} // namespace Pistachio
