#pragma once

#include "core/identifier.h"
#include "core/time.h"
#include "transport/message.h"

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
}

namespace Pistachio::Wire
{
class EntryAnnounce;
class EntryInstance;
class ForwardedRequest;
} // namespace Pistachio::Wire

namespace Pistachio::Entrynode
{

/// Connections to the other entries: those of the settings and those of the zone leader's view.
class PeerLinks
{
public:
    using ForwardDone = std::function<void(Transport::CallResult)>;

    PeerLinks(Transport::EventLoop &loop, const Settings::EntrySettings &settings);
    ~PeerLinks();

    /// Adds the listed entries and forgets those that were not listed for long.
    /// \param entries the live entries of the own zone
    void viewChanged(TimePoint now, const std::vector<Wire::EntryInstance> &entries);
    /// Tells the peers what this entry can take over; those of other zones less often.
    void announce(TimePoint now, const Wire::EntryAnnounce &announce);
    /// Tells all peers at once.
    void announceToAll(const Wire::EntryAnnounce &announce);
    void forward(const InstanceId &peer, const Wire::ForwardedRequest &request, Duration timeout, ForwardDone done);

    /// \return the minions' addresses of the other entries of the zone.
    [[nodiscard]] std::vector<std::string> minionAddresses() const;

private:
    struct Peer;

    void add(const InstanceId &id, const ZoneId &zone, const std::string &internal, const std::string &minions);
    void send(Peer &peer, const Wire::EntryAnnounce &announce);

    Transport::EventLoop &loop_;
    InstanceId self_;
    ZoneId zone_;
    std::map<InstanceId, std::unique_ptr<Peer>> peers_;
    TimePoint announcedToOtherZones_;
    bool closing_ = false;
};

} // namespace Pistachio::Entrynode
