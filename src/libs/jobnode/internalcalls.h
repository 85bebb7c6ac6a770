#pragma once

#include "core/identifier.h"
#include "core/time.h"
#include "transport/message.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Pistachio::Jobs
{
class JobStore;
struct MinionReport;
} // namespace Pistachio::Jobs

namespace Pistachio::Wire
{
class JobCall;
class JobReply;
} // namespace Pistachio::Wire

namespace Pistachio::Jobnode
{

class AdviceClient;
class AdviserPool;
class GroupMembership;
class JobCalls;
class JobGroup;
class NodeRuntime;
class OrderCarrier;
class OrderRelay;

/// Answers what the other instances ask of a control instance: replication, callers' requests, announcements, forwarded
/// requests, orders for minions and advice.
class InternalCalls
{
public:
    /// The control instance; all parts outlive the calls.
    struct Instance {
        NodeRuntime &runtime;
        AdviceClient &advice;
        const Jobs::JobStore &store;
        JobGroup &group;
        JobCalls &calls;
        GroupMembership &membership;
        AdviserPool &advisers;
        OrderRelay &orders;
        OrderCarrier &carrier;
        const TimePoint &ledSince; ///< when the instance became the leader
        const Transport::RequestHandler &forwarded; ///< handles what another instance forwards; may be empty
        /// Handles a report that another instance has taken; refuses it unless this one leads.
        std::function<void(const Jobs::MinionReport &, std::function<void(bool stored)>)> minionReported;
        std::function<void()> changed; ///< called after what may have changed the state of the group
    };

    explicit InternalCalls(Instance instance);

    /// \param responder called exactly once, possibly before this function returns; 404 for an unknown target
    void handle(const Transport::Request &request, const Transport::Responder &responder);

private:
    void handleCall(const Transport::Request &request, const Transport::Responder &responder);
    void handleJoin(const Transport::Request &request, const Transport::Responder &responder);
    void refuseAnnouncement(std::string_view instance, const Transport::Responder &responder);
    void handleLeave(const InstanceId &instance, const Transport::Responder &responder);
    void handleForwarded(const Transport::Request &request, const Transport::Responder &responder);
    void logCall(const Wire::JobCall &call, const Wire::JobReply &reply, Duration took);

    Instance instance_;
    std::map<std::string, TimePoint> entries_; ///< by address, with their last announcement
};

} // namespace Pistachio::Jobnode
