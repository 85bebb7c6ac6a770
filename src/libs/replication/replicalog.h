#pragma once

#include "replication/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace Pistachio::Replication
{

/// The log in memory: the newest snapshot, the entries after it and some before it, and the members they define.
class ReplicaLog
{
public:
    /// \param initialMembers the members before any entry
    /// \param snapshot the newest snapshot, or null
    /// \param entries contiguous entries, which reach at least up to the snapshot unless they are empty
    ReplicaLog(Membership initialMembers, SnapshotPointer snapshot, std::vector<Entry> entries);

    [[nodiscard]] LogIndex firstIndex() const { return baseIndex_ + 1; }
    [[nodiscard]] LogIndex lastIndex() const { return baseIndex_ + entries_.size(); }
    [[nodiscard]] Term lastTerm() const;
    [[nodiscard]] const SnapshotPointer &snapshot() const { return snapshot_; }

    /// \return the term of the entry at \p index, or nothing when it is compacted or not there yet.
    [[nodiscard]] std::optional<Term> termAt(LogIndex index) const;

    /// \return the entries from \p from to \p to, both included, which must be held.
    [[nodiscard]] std::vector<Entry> entries(LogIndex from, LogIndex to) const;

    /// \return the entries from \p from on that fit into \p maxBytes, at least one if there is one.
    [[nodiscard]] std::vector<Entry> entriesUpTo(LogIndex from, std::uint64_t maxBytes) const;

    /// \return the size of the entries from \p from to \p to, both included, which must be held.
    [[nodiscard]] std::uint64_t bytes(LogIndex from, LogIndex to) const;

    /// \param entry the entry after the last one
    void append(Entry entry);

    /// Drops the entries from \p index on and the members that they defined.
    void truncateFrom(LogIndex index);

    /// Takes a snapshot of an applied index in place of the entries before it, but for the last \p keptEntries.
    void compact(SnapshotPointer snapshot, std::uint64_t keptEntries);

    /// Replaces everything by a snapshot.
    void reset(SnapshotPointer snapshot);

    /// \param index where a leader's log and this one are to be compared
    /// \param term the term that an entry to be found may have at most
    /// \return the last entry up to \p index whose term is not above \p term.
    [[nodiscard]] LogIndex lastIndexWithTermUpTo(LogIndex index, Term term) const;

    /// \return the newest members, committed or not.
    [[nodiscard]] const Membership &membership() const { return memberships_.back().second; }

    /// \return the entry that defined membership(), 0 for the initial members.
    [[nodiscard]] LogIndex membershipIndex() const { return memberships_.back().first; }

    /// \return the members after the entry at \p index.
    [[nodiscard]] const Membership &membershipAt(LogIndex index) const;

private:
    struct StoredEntry {
        Entry entry;
        std::uint64_t cumulativeBytes; ///< total size up to and with this entry, since the start of the process
    };

    void recordMembership(const Entry &entry);

    SnapshotPointer snapshot_;
    std::deque<StoredEntry> entries_;
    LogIndex baseIndex_ = 0; ///< the index before the first entry held
    Term baseTerm_ = 0;
    std::uint64_t baseBytes_ = 0;
    std::vector<std::pair<LogIndex, Membership>> memberships_; ///< never empty, ascending
};

} // namespace Pistachio::Replication
