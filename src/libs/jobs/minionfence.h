#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace Pistachio::Jobs
{

/// The place of an order among all orders to one minion id, of all leaders and for all incarnations. A minion remembers
/// the highest that it has seen and does nothing for a lower one. So an incarnation that has seen an order of its own
/// refuses those for earlier incarnations, however late they arrive.
struct MinionFence {
    std::uint64_t term = 0; ///< the leader's; also its fencing token
    std::uint64_t incarnation = 0; ///< rises with each incarnation that the leader of the term learns of

    auto operator<=>(const MinionFence &) const = default;

    /// \return the number that minions compare; below 2^53 for terms below 2^29, as JSON numbers have to be.
    [[nodiscard]] constexpr std::uint64_t number() const
    {
        return (term << incarnationBits) | std::min(incarnation, highestIncarnation);
    }

    [[nodiscard]] static constexpr MinionFence fromNumber(std::uint64_t number)
    {
        return {number >> incarnationBits, number & highestIncarnation};
    }

private:
    static constexpr unsigned incarnationBits = 24;
    static constexpr std::uint64_t highestIncarnation = (std::uint64_t{1} << incarnationBits) - 1;
};

} // namespace Pistachio::Jobs
