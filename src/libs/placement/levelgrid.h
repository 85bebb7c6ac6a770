#pragma once

#include "core/resources.h"

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Pistachio::Placement
{

/// Numbered entries with an amount of resources each, held in buckets by accelerators and by logarithmic levels of
/// cores and memory, four levels to a power of two. A search looks at bit masks of non-empty buckets, so its cost
/// depends on the entries it visits and not on how many there are.
class LevelGrid
{
public:
    using Entry = std::uint32_t;

    enum class SearchOrder : std::uint8_t {
        BestFit, ///< least resources first
        WorstFit, ///< most cores and memory first, fewest accelerators first
    };

    LevelGrid();

    /// Adds an entry or changes its amount. Negative amounts count as absent.
    void set(Entry entry, const Resources &amount);
    void remove(Entry entry);

    /// Visits the entries that have at least \p need, bucket by bucket.
    /// \param visit called with each entry; returns true to stop
    template<class Visit> void visit(const Resources &need, SearchOrder order, Visit visit) const
    {
        const int neededCores = level(need.milliCores, coreUnit);
        const int neededMemory = level(need.memoryBytes, memoryUnit);
        for (int accelerators = acceleratorLevel(need.accelerators); accelerators < acceleratorLevels; ++accelerators) {
            std::uint64_t coreMask = rows_[row(accelerators)] & (~0ULL << neededCores);
            while (coreMask != 0) {
                const int cores = take(coreMask, order);
                std::uint64_t memoryMask = cells_[cell(accelerators, cores)] & (~0ULL << neededMemory);
                while (memoryMask != 0) {
                    const int memory = take(memoryMask, order);
                    if (visitBucket(bucket(accelerators, cores, memory), need, visit))
                        return;
                }
            }
        }
    }

private:
    static constexpr int levels = 64;
    static constexpr int acceleratorLevels = 16;
    static constexpr std::int64_t coreUnit = 125; // an eighth of a core
    static constexpr std::int64_t memoryUnit = 128LL << 20;
    static constexpr std::uint32_t none = ~0U;

    struct Node {
        Resources amount;
        std::uint32_t bucket = none;
        Entry next = none;
        Entry previous = none;
    };

    static int level(std::int64_t amount, std::int64_t unit);
    static int acceleratorLevel(std::int64_t count);
    static std::size_t row(int accelerators) { return static_cast<std::size_t>(accelerators); }
    static std::size_t cell(int accelerators, int cores)
    {
        return static_cast<std::size_t>(accelerators) * levels + static_cast<std::size_t>(cores);
    }
    static std::uint32_t bucket(int accelerators, int cores, int memory)
    {
        return static_cast<std::uint32_t>((accelerators * levels + cores) * levels + memory);
    }
    static int take(std::uint64_t &mask, SearchOrder order)
    {
        const int bit = order == SearchOrder::BestFit ? std::countr_zero(mask) : levels - 1 - std::countl_zero(mask);
        mask &= ~(1ULL << bit);
        return bit;
    }
    template<class Visit> bool visitBucket(std::uint32_t bucket, const Resources &need, Visit &visit) const
    {
        for (Entry entry = heads_[bucket]; entry != none; entry = nodes_[entry].next) {
            const Resources &amount = nodes_[entry].amount;
            // Entries at the lowest levels of the search may lack a part of a level.
            const bool fits = need.milliCores <= amount.milliCores && need.memoryBytes <= amount.memoryBytes
                && need.accelerators <= amount.accelerators;
            if (fits && visit(entry))
                return true;
        }
        return false;
    }
    void link(Entry entry, std::uint32_t bucket);
    void unlink(Entry entry);

    std::vector<Node> nodes_;
    std::vector<Entry> heads_;
    std::array<std::uint64_t, static_cast<std::size_t>(acceleratorLevels) * levels>
        cells_{}; // a bit for each memory level
    std::array<std::uint64_t, acceleratorLevels> rows_{}; // a bit for each core level
};

} // namespace Pistachio::Placement
