#include "storage/logwriter.h"

#include "storage/logstore.h"

#include <utility>

namespace Pistachio::Storage
{

namespace
{

Result<void> append(LogStore &store, const Replication::Ready &ready)
{
    if (ready.snapshot) {
        BOOST_OUTCOME_TRYV(store.installSnapshot(*ready.snapshot, *ready.hardState));
    }
    if (ready.hardState || !ready.entries.empty()) {
        BOOST_OUTCOME_TRYV(store.append(ready.hardState, ready.entries));
    }
    return success();
}

} // namespace

LogWriter::LogWriter(LogStore &store, std::function<void()> finished)
    : store_(store)
    , finished_(std::move(finished))
    , batches_(1)
    , thread_([this] { run(); })
{
}

LogWriter::~LogWriter()
{
    batches_.close();
    thread_.join();
}

void LogWriter::submit(LogWrites writes)
{
    busy_ = true;
    batches_.tryPush(std::move(writes));
}

std::optional<WriteOutcome> LogWriter::takeOutcome()
{
    const std::lock_guard lock(mutex_);
    auto outcome = std::exchange(outcome_, std::nullopt);
    if (outcome)
        busy_ = false;
    return outcome;
}

void LogWriter::run()
{
    while (const auto batch = batches_.pop()) {
        auto outcome = write(store_, *batch);
        {
            const std::lock_guard lock(mutex_);
            outcome_ = std::move(outcome);
        }
        finished_();
    }
}

WriteOutcome LogWriter::write(LogStore &store, std::span<const std::shared_ptr<const LogWrite>> writes)
{
    WriteOutcome outcome;
    bool mustSync = false;
    std::size_t appended = 0;
    for (const auto &item : writes) {
        if (item->ready) {
            outcome.result = append(store, *item->ready);
            mustSync = mustSync || item->ready->mustSync;
        } else {
            // The log stays as it is without the snapshot; the next one tries again.
            if (const auto compacted = store.compact(*item->compacted, item->firstKept); !compacted)
                outcome.postponedSnapshot = compacted.error();
        }
        if (!outcome.result)
            break;
        ++appended;
    }
    if (mustSync) {
        if (auto synced = store.sync(); !synced) {
            outcome.result = synced.error();
            return outcome;
        }
    }
    outcome.written = appended;
    return outcome;
}

} // namespace Pistachio::Storage
