#pragma once

#include "core/identifier.h"
#include "core/result.h"
#include "jobnode/controlservice.h"
#include "jobnode/peerobserver.h"
#include "jobs/schedulerports.h"
#include "settings/jobsettings.h"
#include "transport/message.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Pistachio::Jobnode
{

class AdviceClient;
class MinionClient;
class NodeRuntime;

/// A control instance of the job cell: a replica of the job group, and the scheduler while it leads.
class JobControl : public ControlService, private Jobs::SchedulerPorts, private PeerObserver
{
public:
    /// \param settings checked settings
    /// \param runtime the loop that everything runs on; outlives this
    /// \param minions carries orders; outlives this
    /// \param advice asks which minions may run a step; outlives this
    JobControl(const Settings::JobSettings &settings, NodeRuntime &runtime, MinionClient &minions,
               AdviceClient &advice);
    ~JobControl() override;

    /// Reads the data folder and listens on the internal port.
    Result<void> open();

    /// \param seeds the addresses of some control instances, in place of those of the settings
    void setSeeds(std::vector<std::string> seeds);

    /// \return whether this instance leads or has heard of a leader.
    [[nodiscard]] bool hasLeader() const;

    /// \return the number of connections that other instances have opened.
    [[nodiscard]] std::size_t internalConnections() const;

    /// Gives the vote of this instance to a learner if there is one, stops taking work and calls \p finished when
    /// nothing is in flight.
    void stop(std::function<void()> finished);

    // ControlService
    [[nodiscard]] bool canAnswer() const override;
    void forward(const Transport::Request &request, std::function<void(Transport::Response)> answered) override;
    void onForwarded(Transport::RequestHandler handler) override;
    void minionReported(const Jobs::MinionReport &report, std::function<void(bool stored)> stored) override;
    [[nodiscard]] std::string reportIp(const std::string &minion) const override;
    void minionLeft(const Jobs::MinionIncarnation &incarnation, std::function<void(bool confirmed)> confirmed) override;
    void configure(const Wire::JobConfiguration &configuration,
                   std::function<void(const Wire::JobReply &)> answered) override;
    void readConfiguration(std::function<void(std::optional<std::string> document)> answered) override;

private:
    // SchedulerPorts
    void propose(Wire::JobCommand command, std::function<void(bool applied)> ended) override;
    void start(const Jobs::StartOrder &order) override;
    void stop(const Jobs::StopOrder &order) override;
    void renewLease(const Jobs::LeaseOrder &order) override;
    void throttle(const Jobs::ThrottleOrder &order) override;
    [[nodiscard]] std::size_t idleAdviceClients() const override;
    void askAdvice(const Jobs::AdviceRequest &request) override;
    void logDecision(Logging::LogLevel level, std::string_view event,
                     std::initializer_list<Logging::LogField> fields) override;

    // PeerObserver
    void connectionLost(const std::string &ip) override;
    void connectionRefused(const std::string &ip) override;

    [[nodiscard]] std::string leaderIp() const;
    void takeRelayedReport(const Jobs::MinionReport &report, const std::function<void(bool stored)> &stored);
    void scheduleTick();
    void tick();
    void changed();
    void finishRound();
    void flush();
    void followLeadership();
    /// Hands orders to the instances that carry them, unless there may be a later leader.
    void handOverOrders();
    /// \return the addresses of those that may carry orders for this instance.
    [[nodiscard]] std::vector<std::string> carriers() const;
    void changeMembers();
    void announce();
    void announceTo(const std::string &ip);
    void leaveGroup();
    void leaveLater();
    void askToLeave(const std::string &leader);
    void finishStop();

    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace Pistachio::Jobnode
