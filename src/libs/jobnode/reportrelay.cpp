#include "jobnode/reportrelay.h"

#include "jobnode/peers.h"
#include "jobs/jobstore.h"
#include "jobs/minionrecord.h"

#include <jobs.pb.h>

#include <memory>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{

constexpr Duration batchInterval = 100ms;
constexpr Duration batchLimit = 700ms; ///< minions turn to another instance after a second
constexpr std::size_t largestBatch = 256;

} // namespace

ReportRelay::ReportRelay(Transport::EventLoop &loop, Peers &peers, const Jobs::JobStore &store)
    : loop_(loop)
    , peers_(peers)
    , store_(store)
{
}

void ReportRelay::add(const std::string &leader, const Jobs::MinionReport &report, Stored stored)
{
    if (leader.empty()) {
        stored(false);
        return;
    }
    if (leader != leader_)
        send();
    leader_ = leader;
    waiting_.push_back({report, std::move(stored)});
    if (waiting_.size() >= largestBatch || isNews(report))
        send();
    else if (waiting_.size() == 1)
        timer_ = loop_.callAfter(batchInterval, [this] { send(); });
}

void ReportRelay::clear()
{
    timer_.cancel();
    for (const auto &item : std::exchange(waiting_, {}))
        item.stored(false);
}

bool ReportRelay::isNews(const Jobs::MinionReport &report) const
{
    const auto known = store_.minions().find(report.incarnation.id);
    return known == store_.minions().end() || known->second.born_unix_ms() != report.incarnation.bornUnixMs
        || known->second.address() != report.address || known->second.draining() != report.draining;
}

void ReportRelay::send()
{
    timer_.cancel();
    if (waiting_.empty())
        return;
    Wire::JobMinionReports message;
    auto callbacks = std::make_shared<std::vector<Stored>>();
    for (auto &item : std::exchange(waiting_, {})) {
        auto &report = *message.add_reports();
        *report.mutable_minion() = Jobs::toWire(item.report);
        report.set_sequence(item.report.sequence);
        callbacks->push_back(std::move(item.stored));
    }
    peers_.call(leader_, "/jobs/reports", message.SerializeAsString(), batchLimit,
                [callbacks](const Transport::CallResult &result) {
                    Wire::JobMinionReportsReply reply;
                    const bool isAnswered = result && result.value().status == 200
                        && reply.ParseFromString(result.value().body)
                        && reply.stored_size() == static_cast<int>(callbacks->size());
                    for (std::size_t i = 0; i < callbacks->size(); ++i)
                        (*callbacks)[i](isAnswered && reply.stored(static_cast<int>(i)));
                });
}

} // namespace Pistachio::Jobnode
