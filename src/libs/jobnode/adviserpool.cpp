#include "jobnode/adviserpool.h"

#include "jobnode/adviceclient.h"
#include "jobnode/peers.h"
#include "transport/eventloop.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{
constexpr std::size_t callsEach = 2; ///< the second waits at the service, so that no time passes between them
constexpr Duration seenLimit = 2500ms;
constexpr Duration relayMargin = 500ms; ///< on the way to the instance that asks, and back
constexpr Duration pauseAfterFailure = 1s;
} // namespace

AdviserPool::AdviserPool(AdviceClient &own, Peers &peers)
    : own_(own)
    , peers_(peers)
{
    advisers_[std::string()].lastSeen = TimePoint::max();
}

void AdviserPool::peerSeen(TimePoint now, const std::string &ip)
{
    advisers_[ip].lastSeen = now;
}

bool AdviserPool::isIdle(const Adviser &adviser, TimePoint now)
{
    const bool isThere = adviser.lastSeen == TimePoint::max() || now < adviser.lastSeen + seenLimit;
    return isThere && now >= adviser.notBefore && adviser.outstanding < callsEach;
}

std::size_t AdviserPool::idle(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(advisers_.begin(), advisers_.end(),
                                                  [now](const auto &entry) { return isIdle(entry.second, now); }));
}

void AdviserPool::ask(TimePoint now, const Jobs::AdviceRequest &request, Answered answered)
{
    auto best = advisers_.end();
    for (auto entry = advisers_.begin(); entry != advisers_.end(); ++entry) {
        if (!isIdle(entry->second, now))
            continue;
        if (best == advisers_.end()
            || std::pair(entry->second.outstanding, entry->second.asked)
                < std::pair(best->second.outstanding, best->second.asked))
            best = entry;
    }
    if (best == advisers_.end()) {
        answered(false, {});
        return;
    }
    const auto ip = best->first;
    ++best->second.outstanding;
    ++best->second.asked;
    auto finished
        = [this, ip, answered = std::move(answered)](bool isAnswer, std::vector<Jobs::ApprovedMinion> approved) {
              auto &adviser = advisers_[ip];
              --adviser.outstanding;
              if (!isAnswer)
                  adviser.notBefore = Transport::EventLoop::now() + pauseAfterFailure;
              answered(isAnswer, std::move(approved));
          };
    if (ip.empty()) {
        own_.ask(request, std::move(finished));
        return;
    }
    Wire::JobAdviceCall call;
    call.set_job(request.step.job);
    call.set_occurrence(request.step.occurrence);
    call.set_step(request.step.step);
    for (const auto &minion : request.minions)
        call.add_minions(minion);
    call.set_limit_ms(request.limit / 1ms);
    peers_.call(ip, "/jobs/advice", call.SerializeAsString(), request.limit + relayMargin,
                [finished = std::move(finished)](const Transport::CallResult &result) {
                    Wire::JobAdviceReply reply;
                    if (!result || !reply.ParseFromString(result.value().body) || !reply.answered()) {
                        finished(false, {});
                        return;
                    }
                    std::vector<Jobs::ApprovedMinion> approved;
                    for (const auto &row : reply.approved())
                        approved.push_back({row.minion(), row.ticket()});
                    finished(true, std::move(approved));
                });
}

} // namespace Pistachio::Jobnode
