#include "core/random.h"

namespace Pistachio
{

RandomSource::RandomSource(std::uint64_t seed)
    : engine_(seed)
{
}

std::uint64_t RandomSource::below(std::uint64_t bound)
{
    // Rejection sampling: std::uniform_int_distribution may differ between standard libraries.
    const std::uint64_t limit = std::mt19937_64::max() - std::mt19937_64::max() % bound;
    std::uint64_t value = engine_();
    while (value >= limit)
        value = engine_();
    return value % bound;
}

double RandomSource::fraction()
{
    constexpr int unusedBits = 11;
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(engine_() >> unusedBits) * scale;
}

} // namespace Pistachio
