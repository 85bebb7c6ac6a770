#pragma once

#include "core/time.h"
#include "jobs/orders.h"
#include "transport/eventloop.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Pistachio::Jobs
{
class JobStore;
}

namespace Pistachio::Jobnode
{

class Peers;

/// Takes minions' reports at an instance that does not lead, and carries them to the leader in batches, so that the
/// leader of a large fleet doesn't serve a connection for each minion.
class ReportRelay
{
public:
    using Stored = std::function<void(bool stored)>;

    /// \param peers carries the batches; outlives the relay
    /// \param store what the group knows of minions; outlives the relay
    ReportRelay(Transport::EventLoop &loop, Peers &peers, const Jobs::JobStore &store);

    /// \param leader the address of the leader, or empty
    /// \param report goes with the next batch; at once if it says something new
    /// \param stored gets whether the leader has stored what it says
    void add(const std::string &leader, const Jobs::MinionReport &report, Stored stored);

    /// Reports that wait for a batch are refused.
    void clear();

private:
    struct Waiting {
        Jobs::MinionReport report;
        Stored stored;
    };

    [[nodiscard]] bool isNews(const Jobs::MinionReport &report) const;
    void send();

    Transport::EventLoop &loop_;
    Peers &peers_;
    const Jobs::JobStore &store_;
    std::string leader_; ///< of the reports that wait
    std::vector<Waiting> waiting_;
    Transport::Timer timer_;
};

} // namespace Pistachio::Jobnode
