#pragma once

#include "core/boundedring.h"
#include "core/result.h"
#include "replication/replica.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <thread>
#include <vector>

namespace Pistachio::Storage
{

class LogStore;

/// One piece of work for a log store: what a replica must persist, or a snapshot of its own.
struct LogWrite {
    std::unique_ptr<Replication::Ready> ready;
    Replication::SnapshotPointer compacted; ///< with \p ready null: replaces the log before firstKept
    Replication::LogIndex firstKept = 0;
};

using LogWrites = std::vector<std::shared_ptr<const LogWrite>>;

/// How far a batch of writes got.
struct WriteOutcome {
    std::size_t written = 0; ///< durable, from the first one on
    Result<void> result = success(); ///< why the next one is not
    std::optional<Error> postponedSnapshot; ///< why a snapshot of the replica's own is not durable; the log goes on
};

/// Carries out the writes of one log store on a thread of its own, so that a slow disk does not hold up decisions.
class LogWriter
{
public:
    /// \param store used by the writer's thread alone from now on
    /// \param finished called on the writer's thread after each batch
    LogWriter(LogStore &store, std::function<void()> finished);
    /// Waits for the batch that is under way.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// \return whether a batch is under way or its outcome has not been taken.
    [[nodiscard]] bool isBusy() const { return busy_; }

    /// \param writes the next batch; only while not busy
    void submit(LogWrites writes);

    /// \return the outcome of the last batch, once.
    std::optional<WriteOutcome> takeOutcome();

    /// Carries out writes in order, with one sync for all.
    static WriteOutcome write(LogStore &store, std::span<const std::shared_ptr<const LogWrite>> writes);

private:
    void run();

    LogStore &store_;
    std::function<void()> finished_;
    BoundedRing<LogWrites> batches_;
    std::mutex mutex_;
    std::optional<WriteOutcome> outcome_; ///< guarded by mutex_
    bool busy_ = false; ///< of the owner's thread
    std::thread thread_;
};

} // namespace Pistachio::Storage
