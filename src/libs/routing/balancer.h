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

/// A minion with a free slot for this entry.
struct Candidate {
    const MinionId *id = nullptr;
    std::uint32_t inFlight = 0; ///< requests that this entry has in flight there
    std::uint32_t allowance = 1; ///< slots that this entry may use at the same time
    std::uint32_t slots = 8;
    std::uint32_t slotsInUse = 0; ///< by all entries, as last announced
    Duration latency{}; ///< smoothed; zero when unknown
};

/// The chosen minion and the one it was compared with, as positions among the candidates.
struct Choice {
    std::size_t chosen = 0;
    std::size_t other = 0; ///< equal to `chosen` when there was no comparison
};

/// Chooses among minions with a free slot.
class Balancer
{
public:
    virtual ~Balancer() = default;

    /// \param candidates at least one
    /// \param random source of the random choices
    /// \return the choice, as positions in \p candidates.
    virtual Choice choose(std::span<const Candidate> candidates, RandomSource &random) = 0;

    /// \return the name used in decision records.
    [[nodiscard]] virtual std::string_view name() const = 0;
};

} // namespace Pistachio::Routing
