#pragma once

#include <cstdint>
#include <random>

namespace Pistachio
{

/// The source of all randomness of the decision libraries. A fixed seed gives the same decisions again.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed);

    /// \param bound the number of values, above zero
    /// \return a uniform value from 0 to \p bound - 1, the same on every platform.
    std::uint64_t below(std::uint64_t bound);

    /// \return a uniform value from 0 up to, but without, 1.
    double fraction();

private:
    std::mt19937_64 engine_;
};

} // namespace Pistachio
