#include "replication/progress.h"

#include <algorithm>
#include <utility>

namespace Pistachio::Replication
{

Progress::Progress(TimePoint now, LogIndex next)
    : next_(next)
    , lastSent_(now)
    , lastProgress_(now)
{
}

bool Progress::hasRoom() const
{
    return state_ == State::Replicate && inFlight_.size() < maxInFlightMessages && inFlightBytes_ < maxInFlightBytes;
}

bool Progress::isStalled(TimePoint now) const
{
    const bool waits = state_ == State::Snapshot || !inFlight_.empty();
    return waits && now - lastProgress_ >= retransmitAfter;
}

void Progress::sentEntries(TimePoint now, LogIndex last, std::uint64_t bytes)
{
    lastSent_ = now;
    if (bytes == 0)
        return;
    if (inFlight_.empty())
        lastProgress_ = now;
    next_ = last + 1;
    inFlight_.push_back({last, bytes});
    inFlightBytes_ += bytes;
}

bool Progress::acknowledgedStamp(TimePoint stamp)
{
    if (ackedStamp_ && *ackedStamp_ >= stamp)
        return false;
    ackedStamp_ = stamp;
    isStopped_ = false;
    return true;
}

void Progress::acknowledged(TimePoint now, LogIndex index)
{
    if (index >= match_)
        hasLostFiles_ = false; // the refusal was an old one that came late
    if (index <= match_)
        return;
    match_ = index;
    next_ = std::max(next_, match_ + 1);
    lastProgress_ = now;
    while (!inFlight_.empty() && inFlight_.front().last <= match_) {
        inFlightBytes_ -= inFlight_.front().bytes;
        inFlight_.pop_front();
    }
}

void Progress::probeFrom(LogIndex next)
{
    state_ = State::Probe;
    next_ = std::max(next, match_ + 1);
    inFlight_.clear();
    inFlightBytes_ = 0;
    snapshot_.reset();
}

void Progress::startReplicating(TimePoint now)
{
    probeFrom(next_);
    state_ = State::Replicate;
    lastProgress_ = now;
}

void Progress::startSnapshot(TimePoint now, SnapshotPointer snapshot)
{
    probeFrom(next_);
    state_ = State::Snapshot;
    snapshot_ = std::move(snapshot);
    restartChunks(now, 0);
}

void Progress::sentChunk(TimePoint now, std::uint64_t end)
{
    lastSent_ = now;
    snapshotSent_ = std::max(snapshotSent_, end);
}

void Progress::acknowledgedChunks(TimePoint now, std::uint64_t received)
{
    if (received <= snapshotAcked_)
        return;
    snapshotAcked_ = received;
    snapshotSent_ = std::max(snapshotSent_, received);
    lastProgress_ = now;
}

void Progress::restartChunks(TimePoint now, std::uint64_t offset)
{
    snapshotAcked_ = offset;
    snapshotSent_ = offset;
    lastProgress_ = now;
}

} // namespace Pistachio::Replication
