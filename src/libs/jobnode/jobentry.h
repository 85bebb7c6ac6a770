#pragma once

#include "core/result.h"
#include "core/time.h"
#include "settings/jobsettings.h"
#include "transport/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Wire
{
class JobCall;
class JobReply;
} // namespace Pistachio::Wire

namespace Pistachio::Jobnode
{

class AdviceClient;
class NodeRuntime;

/// An entry of the job cell: takes callers' requests to the leader and asks for advice on its behalf.
class JobEntry
{
public:
    /// \param runtime the loop that everything runs on; outlives this
    /// \param advice asks which minions may run a step; outlives this
    JobEntry(const Settings::JobSettings &settings, NodeRuntime &runtime, AdviceClient &advice);
    ~JobEntry();

    /// Listens on the internal port and looks for the leader.
    Result<void> open();

    /// \param seeds the addresses of control instances, in place of those of the settings
    void setSeeds(std::vector<std::string> seeds);

    /// \return whether callers' requests are likely to be served.
    [[nodiscard]] bool isReady() const;

    /// \return the number of connections that other instances have opened.
    [[nodiscard]] std::size_t internalConnections() const;

    /// \param deadline how long the caller waits
    /// \param answered called exactly once, later
    void call(const Wire::JobCall &call, Duration deadline, std::function<void(const Wire::JobReply &)> answered);

    /// Reports unready; requests still go through.
    void drain();
    [[nodiscard]] bool isDraining() const;
    [[nodiscard]] std::size_t inFlight() const;
    void stop(std::function<void()> finished);

private:
    void handleInternal(const Transport::Request &request, const Transport::Responder &responder);
    void relay(const Transport::Request &request, const Transport::Responder &responder);
    void announce();
    void takeAddresses(std::string_view leader, const Wire::JobReply &reply);
    void setReady(bool ready, std::string_view reason);

    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace Pistachio::Jobnode
