#include "entrynode/finishqueue.h"

#include "entrynode/zoneclient.h"
#include "transport/eventloop.h"

#include <zone.pb.h>

#include <algorithm>

namespace Pistachio::Entrynode
{

namespace
{
constexpr std::size_t mostWaiting = 4096;
constexpr Duration callTimeout = 3s;
constexpr Duration firstPause = 100ms;
constexpr Duration longestPause = 2s;
/// Longer than an election of a zone leader, with a margin for a short partition.
constexpr Duration giveUpAfter = 60s;
} // namespace

struct FinishQueue::Finish {
    ZoneId zone;
    Wire::ZoneCommand command;
    TimePoint added;
    Duration pause = firstPause;
    Transport::Timer timer;
};

FinishQueue::FinishQueue(Transport::EventLoop &loop, ZoneClient &zones, std::function<void(const std::string &)> gaveUp)
    : loop_(loop)
    , zones_(zones)
    , gaveUp_(std::move(gaveUp))
{
}

FinishQueue::~FinishQueue() = default;

void FinishQueue::add(const ZoneId &zone, const Wire::FinishRequest &finish)
{
    if (waiting_.size() >= mostWaiting) {
        gaveUp_(finish.key());
        return;
    }
    const std::uint64_t id = ++count_;
    auto entry = std::make_unique<Finish>();
    entry->zone = zone;
    entry->added = Transport::EventLoop::now();
    *entry->command.mutable_finish_request() = finish;
    waiting_.emplace(id, std::move(entry));
    send(id);
}

void FinishQueue::send(std::uint64_t id)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end())
        return;
    zones_.propose(found->second->zone, found->second->command, callTimeout,
                   [this, id](const Result<Wire::ZoneResult> &result) {
                       // A refusal is final too: the record has another outcome or another holder.
                       const bool final = result
                           && (result.value().code() == Wire::ZONE_RESULT_ACCEPTED
                               || result.value().code() == Wire::ZONE_RESULT_REFUSED);
                       if (final)
                           waiting_.erase(id);
                       else
                           repeatLater(id);
                   });
}

void FinishQueue::repeatLater(std::uint64_t id)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end())
        return;
    Finish &finish = *found->second;
    if (Transport::EventLoop::now() - finish.added > giveUpAfter) {
        gaveUp_(finish.command.finish_request().key());
        waiting_.erase(found);
        return;
    }
    finish.timer = loop_.callAfter(finish.pause, [this, id] { send(id); });
    finish.pause = std::min<Duration>(finish.pause * 2, longestPause);
}

} // namespace Pistachio::Entrynode
