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

bool Progress::canSendEntries() const
{
    return state_ == State::Replicate && inFlight_.size() < maxInFlightMessages && inFlightBytes_ < maxInFlightBytes;
}

bool Progress::isStalled(TimePoint now) const
{
    const bool isWaiting = state_ == State::Snapshot || !inFlight_.empty();
    return isWaiting && now - lastProgress_ >= retransmitTimeout;
}

void Progress::recordSentEntries(TimePoint now, LogIndex last, std::uint64_t bytes)
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

bool Progress::recordAckedStamp(TimePoint stamp)
{
    if (lastAckedStamp_ && *lastAckedStamp_ >= stamp)
        return false;
    lastAckedStamp_ = stamp;
    isStopped_ = false;
    return true;
}

void Progress::recordMatch(TimePoint now, LogIndex index)
{
    if (index >= match_)
        hasLostData_ = false; // a delayed refusal had set it
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
    restartChunksAt(now, 0);
}

void Progress::recordSentChunk(TimePoint now, std::uint64_t end)
{
    lastSent_ = now;
    snapshotSent_ = std::max(snapshotSent_, end);
}

void Progress::recordAckedChunks(TimePoint now, std::uint64_t received)
{
    if (received <= snapshotAcked_)
        return;
    snapshotAcked_ = received;
    snapshotSent_ = std::max(snapshotSent_, received);
    lastProgress_ = now;
}

void Progress::restartChunksAt(TimePoint now, std::uint64_t offset)
{
    snapshotAcked_ = offset;
    snapshotSent_ = offset;
    lastProgress_ = now;
}

} // namespace Pistachio::Replication
