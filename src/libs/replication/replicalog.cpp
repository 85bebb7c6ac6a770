#include "replication/replicalog.h"

#include "replication/message.h"

#include <algorithm>

namespace Pistachio::Replication
{

namespace
{
/// The approximate size of an entry without its payload, in memory and on the wire.
constexpr std::uint64_t entryOverheadBytes = 16;

/// Compaction keeps entries up to this size however small the snapshot is.
constexpr std::uint64_t minKeptBytes = 64U << 10;
} // namespace

ReplicaLog::ReplicaLog(Membership initialMembers, SnapshotPointer snapshot, std::vector<Entry> entries)
    : snapshot_(std::move(snapshot))
{
    if (snapshot_) {
        memberships_.emplace_back(snapshot_->index, snapshot_->membership);
        baseIndex_ = snapshot_->index;
        baseTerm_ = snapshot_->term;
    } else {
        memberships_.emplace_back(0, std::move(initialMembers));
    }
    auto first = entries.begin();
    if (first != entries.end() && first->index <= baseIndex_) {
        // The term before the first entry is not stored, so that entry becomes the base of the log.
        baseIndex_ = first->index;
        baseTerm_ = first->term;
        ++first;
    }
    for (; first != entries.end(); ++first)
        append(std::move(*first));
}

Term ReplicaLog::lastTerm() const
{
    return entries_.empty() ? baseTerm_ : entries_.back().entry.term;
}

std::optional<Term> ReplicaLog::termAt(LogIndex index) const
{
    if (index == baseIndex_)
        return baseTerm_;
    if (index < baseIndex_ || index > lastIndex())
        return std::nullopt;
    return entries_[index - baseIndex_ - 1].entry.term;
}

std::vector<Entry> ReplicaLog::entries(LogIndex from, LogIndex to) const
{
    std::vector<Entry> result;
    if (to >= from)
        result.reserve(to - from + 1);
    for (LogIndex index = from; index <= to; ++index)
        result.push_back(entries_[index - baseIndex_ - 1].entry);
    return result;
}

std::vector<Entry> ReplicaLog::entriesUpTo(LogIndex from, std::uint64_t maxBytes) const
{
    if (from > lastIndex())
        return {};
    LogIndex to = from;
    while (to < lastIndex() && bytes(from, to + 1) <= maxBytes)
        ++to;
    return entries(from, to);
}

std::uint64_t ReplicaLog::bytes(LogIndex from, LogIndex to) const
{
    if (to < from)
        return 0;
    const std::uint64_t before = from == firstIndex() ? baseBytes_ : entries_[from - baseIndex_ - 2].cumulativeBytes;
    return entries_[to - baseIndex_ - 1].cumulativeBytes - before;
}

void ReplicaLog::append(Entry entry)
{
    recordMembership(entry);
    const std::uint64_t before = entries_.empty() ? baseBytes_ : entries_.back().cumulativeBytes;
    const std::uint64_t size = entry.payload.size() + entryOverheadBytes;
    entries_.push_back({std::move(entry), before + size});
}

void ReplicaLog::recordMembership(const Entry &entry)
{
    if (entry.kind != EntryKind::Membership || entry.index <= membershipIndex())
        return;
    // Can't fail: entries are validated when they are received or read from the store.
    if (auto membership = decodeMembership(entry.payload))
        memberships_.emplace_back(entry.index, std::move(membership).value());
}

void ReplicaLog::truncateFrom(LogIndex index)
{
    while (lastIndex() >= index && !entries_.empty())
        entries_.pop_back();
    while (memberships_.size() > 1 && membershipIndex() >= index)
        memberships_.pop_back();
}

void ReplicaLog::compact(SnapshotPointer snapshot, std::uint64_t keptEntries)
{
    snapshot_ = std::move(snapshot);
    const LogIndex base = snapshot_->index > keptEntries ? snapshot_->index - keptEntries : 0;
    // A follower that lacks more bytes of entries than the snapshot has gets the snapshot instead.
    const std::uint64_t keptBytes = std::max<std::uint64_t>(snapshot_->data.size(), minKeptBytes);
    while (baseIndex_ < snapshot_->index
           && (baseIndex_ < base || bytes(baseIndex_ + 1, snapshot_->index) > keptBytes)) {
        baseIndex_ = entries_.front().entry.index;
        baseTerm_ = entries_.front().entry.term;
        baseBytes_ = entries_.front().cumulativeBytes;
        entries_.pop_front();
    }
    while (memberships_.size() > 1 && memberships_[1].first <= snapshot_->index)
        memberships_.erase(memberships_.begin());
}

void ReplicaLog::reset(SnapshotPointer snapshot)
{
    snapshot_ = std::move(snapshot);
    entries_.clear();
    baseIndex_ = snapshot_->index;
    baseTerm_ = snapshot_->term;
    memberships_.assign(1, {snapshot_->index, snapshot_->membership});
}

LogIndex ReplicaLog::lastIndexWithTermUpTo(LogIndex index, Term term) const
{
    index = std::min(index, lastIndex());
    while (index > baseIndex_ && *termAt(index) > term)
        --index;
    return index;
}

const Membership &ReplicaLog::membershipAt(LogIndex index) const
{
    auto found = memberships_.begin();
    for (auto next = found + 1; next != memberships_.end() && next->first <= index; ++next)
        found = next;
    return found->second;
}

} // namespace Pistachio::Replication
