#include "routing/slotpolicies.h"

#include "routing/minion.h"

#include <algorithm>

namespace Pistachio::Routing
{

namespace
{

// FNV-1a. Every entry must compute the same value, which std::hash does not guarantee.
std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 1099511628211ULL;
    }
    return hash;
}

std::uint32_t share(std::uint32_t total, std::uint64_t hash, EntryRank rank)
{
    const std::uint64_t remainder = total % rank.count;
    const bool getsExtra = (rank.position + hash) % rank.count < remainder;
    return static_cast<std::uint32_t>(total / rank.count) + (getsExtra ? 1 : 0);
}

} // namespace

std::uint32_t FixedShares::allowance(const MinionAnnouncement &minion, EntryRank rank, std::uint32_t) const
{
    // The sum of hash and position must not overflow, or two entries could get the same part of the remainder.
    const std::uint64_t hash = stableHash(minion.id.value()) % rank.count;
    return std::min(share(minion.slots, hash, rank), share(minion.connections, hash, rank));
}

std::uint32_t MinionCredits::allowance(const MinionAnnouncement &minion, EntryRank rank,
                                       std::uint32_t inFlightWhenAnnounced) const
{
    return minion.credits > 0 ? minion.credits : FixedShares().allowance(minion, rank, inFlightWhenAnnounced);
}

std::uint32_t LoadReports::allowance(const MinionAnnouncement &minion, EntryRank,
                                     std::uint32_t inFlightWhenAnnounced) const
{
    const std::uint32_t others = minion.slotsInUse - std::min(minion.slotsInUse, inFlightWhenAnnounced);
    return minion.slots - std::min(minion.slots, others);
}

std::uint32_t ConnectionShares::allowance(const MinionAnnouncement &minion, EntryRank rank, std::uint32_t) const
{
    return share(minion.connections, stableHash(minion.id.value()) % rank.count, rank);
}

} // namespace Pistachio::Routing
