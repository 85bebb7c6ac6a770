#include "placement/levelgrid.h"

#include <algorithm>

namespace Pistachio::Placement
{

LevelGrid::LevelGrid()
    : heads_(static_cast<std::size_t>(acceleratorLevelCount) * levelCount * levelCount, none)
{
}

int LevelGrid::level(std::int64_t amount, std::int64_t unit)
{
    const auto units = static_cast<std::uint64_t>(std::max<std::int64_t>(amount, 0) / unit);
    constexpr int exactLevels = 4;
    if (units < exactLevels)
        return static_cast<int>(units);
    const int exponent = static_cast<int>(std::bit_width(units)) - 1; // at least 2
    const int quarter = static_cast<int>((units >> (exponent - 2)) & 3);
    return std::min((exponent - 1) * 4 + quarter, levelCount - 1);
}

int LevelGrid::acceleratorLevel(std::int64_t count)
{
    return static_cast<int>(std::clamp<std::int64_t>(count, 0, acceleratorLevelCount - 1));
}

void LevelGrid::set(Entry entry, const Resources &amount)
{
    if (entry >= nodes_.size())
        nodes_.resize(entry + 1);
    if (amount.isNegative()) {
        remove(entry);
        return;
    }
    nodes_[entry].amount = amount;
    const std::uint32_t newBucket
        = bucketIndex(acceleratorLevel(amount.accelerators), level(amount.milliCores, coreUnitMilliCores),
                      level(amount.memoryBytes, memoryUnitBytes));
    if (nodes_[entry].bucket == newBucket)
        return;
    unlink(entry);
    link(entry, newBucket);
}

void LevelGrid::remove(Entry entry)
{
    if (entry < nodes_.size())
        unlink(entry);
}

void LevelGrid::link(Entry entry, std::uint32_t bucket)
{
    Node &node = nodes_[entry];
    node.bucket = bucket;
    node.previous = none;
    node.next = heads_[bucket];
    if (node.next != none)
        nodes_[node.next].previous = entry;
    heads_[bucket] = entry;
    const std::uint32_t maskIndex = bucket / levelCount;
    memoryMasks_[maskIndex] |= 1ULL << (bucket % levelCount);
    coreMasks_[maskIndex / levelCount] |= 1ULL << (maskIndex % levelCount);
}

void LevelGrid::unlink(Entry entry)
{
    Node &node = nodes_[entry];
    if (node.bucket == none)
        return;
    if (node.next != none)
        nodes_[node.next].previous = node.previous;
    if (node.previous != none)
        nodes_[node.previous].next = node.next;
    else
        heads_[node.bucket] = node.next;
    if (heads_[node.bucket] == none) {
        const std::uint32_t maskIndex = node.bucket / levelCount;
        memoryMasks_[maskIndex] &= ~(1ULL << (node.bucket % levelCount));
        if (memoryMasks_[maskIndex] == 0)
            coreMasks_[maskIndex / levelCount] &= ~(1ULL << (maskIndex % levelCount));
    }
    node.bucket = none;
}

} // namespace Pistachio::Placement
