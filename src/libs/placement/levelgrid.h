#pragma once

#include "core/resources.h"

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Pistachio::Placement
{

/// Index of numbered entries by their amount of resources. Entries are kept in buckets by number of accelerators and by
/// logarithmic levels of cores and memory, four levels per power of two. A search uses bit masks of the non-empty
/// buckets, so its cost depends on the entries it visits and not on how many there are.
class LevelGrid
{
public:
    using Entry = std::uint32_t;

    enum class SearchOrder : std::uint8_t {
        BestFit, ///< least resources first
        WorstFit, ///< most cores and memory first, fewest accelerators first
    };

    LevelGrid();

    /// Adds an entry or changes its amount. An entry with a negative amount is removed.
    void set(Entry entry, const Resources &amount);
    void remove(Entry entry);

    /// Visits the entries that have at least \p need, bucket by bucket.
    /// \param visit called with each entry; returns true to stop
    template<class Visit> void visit(const Resources &need, SearchOrder order, Visit visit) const
    {
        const int neededCores = level(need.milliCores, coreUnitMilliCores);
        const int neededMemory = level(need.memoryBytes, memoryUnitBytes);
        for (int accelerators = acceleratorLevel(need.accelerators); accelerators < acceleratorLevelCount;
             ++accelerators) {
            std::uint64_t coreMask = coreMasks_[coreMaskIndex(accelerators)] & (~0ULL << neededCores);
            while (coreMask != 0) {
                const int cores = takeLevel(coreMask, order);
                std::uint64_t memoryMask = memoryMasks_[memoryMaskIndex(accelerators, cores)] & (~0ULL << neededMemory);
                while (memoryMask != 0) {
                    const int memory = takeLevel(memoryMask, order);
                    if (visitBucket(bucketIndex(accelerators, cores, memory), need, visit))
                        return;
                }
            }
        }
    }

private:
    static constexpr int levelCount = 64;
    static constexpr int acceleratorLevelCount = 16;
    static constexpr std::int64_t coreUnitMilliCores = 125;
    static constexpr std::int64_t memoryUnitBytes = 128LL << 20;
    static constexpr std::uint32_t none = ~0U;

    struct Node {
        Resources amount;
        std::uint32_t bucket = none;
        Entry next = none;
        Entry previous = none;
    };

    static int level(std::int64_t amount, std::int64_t unit);
    static int acceleratorLevel(std::int64_t count);
    static std::size_t coreMaskIndex(int accelerators) { return static_cast<std::size_t>(accelerators); }
    static std::size_t memoryMaskIndex(int accelerators, int cores)
    {
        return static_cast<std::size_t>(accelerators) * levelCount + static_cast<std::size_t>(cores);
    }
    static std::uint32_t bucketIndex(int accelerators, int cores, int memory)
    {
        return static_cast<std::uint32_t>((accelerators * levelCount + cores) * levelCount + memory);
    }
    static int takeLevel(std::uint64_t &mask, SearchOrder order)
    {
        const int bit
            = order == SearchOrder::BestFit ? std::countr_zero(mask) : levelCount - 1 - std::countl_zero(mask);
        mask &= ~(1ULL << bit);
        return bit;
    }
    template<class Visit> bool visitBucket(std::uint32_t bucket, const Resources &need, Visit &visit) const
    {
        for (Entry entry = heads_[bucket]; entry != none; entry = nodes_[entry].next) {
            const Resources &amount = nodes_[entry].amount;
            // Levels are rounded down, so entries on the lowest levels of the search may have less than needed.
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
    std::array<std::uint64_t, static_cast<std::size_t>(acceleratorLevelCount) * levelCount>
        memoryMasks_{}; // non-empty memory levels, by accelerators and core level
    std::array<std::uint64_t, acceleratorLevelCount> coreMasks_{}; // non-empty core levels, by accelerators
};

} // namespace Pistachio::Placement
