#pragma once

#include "jobnode/adviceclient.h"
#include "jobnode/adviserpool.h"
#include "jobnode/carryingports.h"
#include "jobnode/copymetrics.h"
#include "jobnode/descriptorbudget.h"
#include "jobnode/groupmembership.h"
#include "jobnode/groupreport.h"
#include "jobnode/internalcalls.h"
#include "jobnode/jobcalls.h"
#include "jobnode/jobcontrol.h"
#include "jobnode/jobgroup.h"
#include "jobnode/looplateness.h"
#include "jobnode/minionclient.h"
#include "jobnode/noderuntime.h"
#include "jobnode/ordercarrier.h"
#include "jobnode/orderrelay.h"
#include "jobnode/peers.h"
#include "jobnode/reportrelay.h"
#include "jobnode/schedulersettings.h"
#include "jobnode/teamreport.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "settings/jobsettings.h"
#include "storage/posixfilesystem.h"
#include "storage/replicatedgroup.h"
#include "transport/http2server.h"

#include <jobs.pb.h>

#include <memory>
#include <string>
#include <utility>

namespace Pistachio::Jobnode
{

namespace Internal
{

/// \return the time of an event that happens now.
inline Jobs::EventTime momentNow()
{
    return {Transport::EventLoop::now(), NodeRuntime::unixMs()};
}

} // namespace Internal

struct JobControl::Private {
    Private(const Settings::JobSettings &jobSettings, NodeRuntime &nodeRuntime, MinionClient &minionClient,
            AdviceClient &adviceClient, JobControl &owner)
        : settings(jobSettings)
        , runtime(nodeRuntime)
        , advice(adviceClient)
        , carryingPorts(nodeRuntime, peers, store)
        , minions(carryingPorts, minionClient, jobSettings.ip, jobSettings.zone)
        , carrier(carryingPorts, minionClient, jobSettings.zone)
        , scheduler(store, owner, schedulerSettings(jobSettings))
        , advisers(adviceClient, peers)
        , groupReport(nodeRuntime.logger(), nodeRuntime.metrics())
        , copyMetrics(nodeRuntime.metrics())
        , loopLateness(nodeRuntime.logger(), nodeRuntime.metrics())
        , teamReport(nodeRuntime.logger(), nodeRuntime.metrics())
        , server(nodeRuntime.loop(), serverLimits(jobSettings, nodeRuntime),
                 [this](const Transport::Request &request, const Transport::Responder &responder) {
                     internalCalls->handle(request, responder);
                 })
        , peers(nodeRuntime.loop(), jobSettings.internalPort, jobSettings.bindIp, &owner, nodeRuntime.memory())
        , reportRelay(nodeRuntime.loop(), peers, store)
    {
    }

    static Transport::Http2ServerLimits serverLimits(const Settings::JobSettings &jobSettings,
                                                     const NodeRuntime &nodeRuntime)
    {
        Transport::Http2ServerLimits limits;
        limits.connections = DescriptorBudget::forControl(jobSettings.maxDescriptors).internal;
        limits.bodyBytes = 64U << 20;
        limits.memory = nodeRuntime.memory();
        return limits;
    }

    const Settings::JobSettings &settings;
    NodeRuntime &runtime;
    AdviceClient &advice;
    Storage::PosixFileSystem files;
    Jobs::JobStore store;
    CarryingPorts carryingPorts;
    OrderRelay minions;
    OrderCarrier carrier;
    Jobs::JobScheduler scheduler;
    AdviserPool advisers;
    GroupReport groupReport;
    CopyMetrics copyMetrics;
    LoopLateness loopLateness;
    TeamReport teamReport;
    std::unique_ptr<InternalCalls> internalCalls; ///< outlives the group, whose proposals end in it
    std::unique_ptr<JobGroup> group;
    std::unique_ptr<GroupMembership> membership;
    std::unique_ptr<JobCalls> calls;
    Transport::Http2Server server;
    Transport::Timer tickTimer;
    Transport::Timer leaveTimer;
    TimePoint leaveUntil{};
    std::function<void()> stopped; ///< set once this instance is told to stop
    bool flushPosted = false;
    TimePoint lastFlush{};
    Transport::Timer flushTimer;
    std::uint64_t ledTerm = 0;
    TimePoint ledSince{};
    std::string lastLeader;
    Transport::RequestHandler forwarded;
    Peers peers; ///< after the others, since its calls end in them
    ReportRelay reportRelay;
};

} // namespace Pistachio::Jobnode
