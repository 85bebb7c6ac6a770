#pragma once

#include "replication/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace Pistachio::Replication
{

/// The log in memory: the newest snapshot, the entries after it, some entries before it, and the memberships that these
/// define.
class ReplicaLog
{
public:
    /// \param initialMembers the members before the first Membership entry, unless the snapshot has others
    /// \param snapshot the newest snapshot, or null
    /// \param entries contiguous entries, which reach at least up to the snapshot unless they are empty
    ReplicaLog(Membership initialMembers, SnapshotPointer snapshot, std::vector<Entry> entries);

    [[nodiscard]] LogIndex firstIndex() const { return baseIndex_ + 1; }
    [[nodiscard]] LogIndex lastIndex() const { return baseIndex_ + entries_.size(); }
    [[nodiscard]] Term lastTerm() const;
    [[nodiscard]] const SnapshotPointer &snapshot() const { return snapshot_; }

    /// \return the term of the entry at \p index, or nothing when it is compacted or beyond the end.
    [[nodiscard]] std::optional<Term> termAt(LogIndex index) const;

    /// \return the entries from \p from to \p to, both included, which must be held.
    [[nodiscard]] std::vector<Entry> entries(LogIndex from, LogIndex to) const;

    /// \return the entries from \p from on that fit into \p maxBytes, at least one if there is one.
    [[nodiscard]] std::vector<Entry> entriesUpTo(LogIndex from, std::uint64_t maxBytes) const;

    /// \return the size of the entries from \p from to \p to, both included, which must be held.
    [[nodiscard]] std::uint64_t bytes(LogIndex from, LogIndex to) const;

    /// \param entry the entry after the last one
    void append(Entry entry);

    /// Removes the entries from \p index on and the memberships that they defined.
    void truncateFrom(LogIndex index);

    /// Replaces the entries up to the snapshot by it, except for at most \p keptEntries of them.
    void compact(SnapshotPointer snapshot, std::uint64_t keptEntries);

    /// Replaces the whole log by a snapshot.
    void reset(SnapshotPointer snapshot);

    /// Finds where this log and another one may match, to skip terms that the other one can't hold.
    /// \param index the last index to consider
    /// \param term the highest term to consider
    /// \return the last index up to \p index whose entry has at most \p term.
    [[nodiscard]] LogIndex lastIndexWithTermUpTo(LogIndex index, Term term) const;

    /// \return the newest membership, committed or not.
    [[nodiscard]] const Membership &membership() const { return memberships_.back().second; }

    /// \return the index of the entry that defined membership(), 0 for the initial members.
    [[nodiscard]] LogIndex membershipIndex() const { return memberships_.back().first; }

    /// \return the members after the entry at \p index.
    [[nodiscard]] const Membership &membershipAt(LogIndex index) const;

private:
    struct StoredEntry {
        Entry entry;
        std::uint64_t cumulativeBytes; ///< size up to and including this entry, since the start of the process
    };

    void recordMembership(const Entry &entry);

    SnapshotPointer snapshot_;
    std::deque<StoredEntry> entries_;
    LogIndex baseIndex_ = 0; ///< the index before the first of `entries_`
    Term baseTerm_ = 0;
    std::uint64_t baseBytes_ = 0;
    std::vector<std::pair<LogIndex, Membership>> memberships_; ///< never empty, ascending
};

} // namespace Pistachio::Replication
