#pragma once

#include "core/identifier.h"
#include "core/result.h"
#include "core/time.h"
#include "transport/message.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Pistachio::Settings
{
struct EntrySettings;
}

namespace Pistachio::Transport
{
class EventLoop;
class Http2Client;
} // namespace Pistachio::Transport

namespace Pistachio::Wire
{
class ConfigurationPoll;
class ConfigurationPush;
class ZoneCommand;
class ZoneResult;
} // namespace Pistachio::Wire

namespace Pistachio::Entrynode
{

/// Asks the control instances of a zone, which hand requests to the zone's leader.
class ZoneClient
{
public:
    /// A failure with code Unknown leaves open whether the command takes effect; any other means that it does not.
    using ProposeDone = std::function<void(Result<Wire::ZoneResult>)>;
    using PollDone = std::function<void(Result<Wire::ConfigurationPush>)>;

    /// \param loop on whose thread all of this runs
    /// \param settings name the control instances
    ZoneClient(Transport::EventLoop &loop, const Settings::EntrySettings &settings);
    ~ZoneClient();

    void propose(const ZoneId &zone, const Wire::ZoneCommand &command, Duration timeout, const ProposeDone &done);
    void askOutcome(const ZoneId &zone, const std::string &key, const ProposeDone &done);
    /// Asks a zone for its view and the configuration; answered within 3 s when there is no change.
    void poll(const ZoneId &zone, const Wire::ConfigurationPoll &poll, const PollDone &done);

private:
    struct Instance;
    struct Zone {
        std::vector<std::unique_ptr<Instance>> instances;
        std::size_t current = 0;
    };

    void call(const ZoneId &zone, std::string path, std::string body, Duration timeout,
              std::function<void(Transport::CallResult)> done);
    void post(const ZoneId &zone, Transport::Request request, TimePoint deadline, std::size_t tries,
              std::function<void(Transport::CallResult)> done);

    ZoneId ownZone_;
    bool closing_ = false;
    std::map<ZoneId, Zone> zones_;
};

} // namespace Pistachio::Entrynode
