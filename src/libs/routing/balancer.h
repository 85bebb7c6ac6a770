#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace Pistachio
{
class RandomSource;
}

namespace Pistachio::Routing
{

/// A minion that may take one more request of this entry.
struct Candidate {
    const MinionId *id = nullptr;
    std::uint32_t inFlight = 0; ///< requests of this entry
    std::uint32_t allowance = 1; ///< slots this entry may use
    std::uint32_t slots = 8;
    std::uint32_t slotsInUse = 0; ///< as last announced, by all entries
    Duration latency{}; ///< smoothed; zero when unknown
};

/// The two minions compared and the one taken.
struct Choice {
    std::size_t chosen = 0;
    std::size_t other = 0; ///< equal to `chosen` when nothing was compared
};

/// Chooses among minions with a free slot.
class Balancer
{
public:
    virtual ~Balancer() = default;

    /// \param candidates at least one
    /// \param random the source of all randomness
    /// \return positions in \p candidates.
    virtual Choice choose(std::span<const Candidate> candidates, RandomSource &random) = 0;

    /// \return the name used in decision records.
    [[nodiscard]] virtual std::string_view name() const = 0;
};

} // namespace Pistachio::Routing
