#include "controlnode/peercalls.h"

#include "controlnode/network.h"

#include <utility>
#include <vector>

namespace Pistachio::Controlnode
{

namespace
{
constexpr Duration sendLimit = 2s; ///< replication repeats what is lost much sooner
constexpr Duration deadlineMargin = 200ms; ///< the network thread usually reports the timeout itself
} // namespace

PeerCalls::PeerCalls(Network &network)
    : network_(network)
{
}

void PeerCalls::call(TimePoint now, const Transport::Endpoint &peer, Transport::Request request, Duration limit,
                     Transport::CallCompletion completion)
{
    const auto id = nextId_++;
    if (!network_.call({id, peer, std::move(request), limit})) {
        completion(Transport::CallError{failure(ErrorCode::Unavailable, "too many calls to other instances"), false});
        return;
    }
    pending_[id] = {now + limit + deadlineMargin, std::move(completion)};
}

void PeerCalls::send(const Transport::Endpoint &peer, Transport::Request request)
{
    network_.call({0, peer, std::move(request), sendLimit});
}

void PeerCalls::answered(PeerAnswer answer)
{
    const auto found = pending_.find(answer.call);
    if (found == pending_.end())
        return;
    const auto completion = std::move(found->second.completion);
    pending_.erase(found);
    completion(std::move(answer.result));
}

void PeerCalls::tick(TimePoint now)
{
    std::vector<Transport::CallCompletion> late;
    for (auto entry = pending_.begin(); entry != pending_.end();) {
        if (entry->second.deadline > now) {
            ++entry;
            continue;
        }
        late.push_back(std::move(entry->second.completion));
        entry = pending_.erase(entry);
    }
    for (const auto &completion : late)
        completion(Transport::CallError{failure(ErrorCode::Timeout, "no answer from the other instance"), true});
}

} // namespace Pistachio::Controlnode
