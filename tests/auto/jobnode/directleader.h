#pragma once

#include "jobnode/jobcalls.h"
#include "jobnode/jobgroup.h"
#include "jobnode/peers.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"
#include "storage/memoryfilesystem.h"
#include "transport/eventloop.h"

#include <jobs.pb.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace Pistachio::Jobnode
{

/// A leader without a network that leads alone, in virtual time. Proposals are applied by apply(), so that a test
/// decides what is proposed in between.
class DirectLeader : private Jobs::SchedulerPorts
{
public:
    /// The queues that configuration() knows: one at "/q/", one at "/open/" that is anonymous.
    enum class Queues { Both, OpenOnly, QIsAnonymous, None };

    DirectLeader()
        : scheduler_(store, *this, settings_)
        , peers_(loop_, 1, {})
    {
        const InstanceIdentity identity{InstanceId("10.0.0.1"), {{InstanceId("10.0.0.1")}, {}}};
        group_ = JobGroup::open(files_, "data", identity, store, peers_, {}).value();
        calls_ = std::make_unique<JobCalls>(store, scheduler_, *group_, [] { return 1'700'000'000'000; });
        while (!group_->canAnswer(now_))
            apply();
    }

    /// \param keys a key for each team, by the name of the team
    static Wire::JobConfiguration configuration(std::uint64_t version,
                                                std::initializer_list<std::pair<std::string, std::string>> keys,
                                                Queues queues = Queues::Both)
    {
        Wire::JobConfiguration result;
        result.set_version(version);
        result.add_services()->set_name("s");
        const auto addQueue = [&result](const std::string &prefix, bool anonymous) {
            auto &queue = *result.add_queues();
            queue.set_host("h");
            queue.set_path_prefix(prefix);
            queue.set_service("s");
            queue.set_timeout_ms(3000);
            queue.set_anonymous(anonymous);
        };
        if (queues == Queues::Both || queues == Queues::QIsAnonymous)
            addQueue("/q/", queues == Queues::QIsAnonymous);
        if (queues != Queues::None)
            addQueue("/open/", true);
        for (const auto &[team, key] : keys) {
            auto &added = *result.add_teams();
            added.set_name(team);
            if (!key.empty())
                added.add_keys(key);
        }
        return result;
    }

    void propose(const Wire::JobConfiguration &configuration)
    {
        Wire::JobCommand command;
        *command.mutable_configuration() = configuration;
        calls_->propose(now_, command, [](const Wire::JobReply &) {});
    }

    void configure(const Wire::JobConfiguration &configuration)
    {
        propose(configuration);
        apply();
    }

    static Wire::JobCall submission(const std::string &path, const std::string &key)
    {
        auto call = read(path, key);
        call.mutable_submission()->add_steps()->set_tasks(1);
        return call;
    }

    static Wire::JobCall read(const std::string &path, const std::string &key)
    {
        Wire::JobCall call;
        call.set_host("h");
        call.set_path(path);
        call.set_key(key);
        return call;
    }

    static Wire::JobCall cancellation(const std::string &path, const std::string &key)
    {
        auto call = read(path, key);
        call.set_cancel(true);
        return call;
    }

    /// Begins a call.
    /// \return the reply, whose verdict is UNSPECIFIED until there is one.
    std::shared_ptr<Wire::JobReply> begin(const Wire::JobCall &call)
    {
        auto reply = std::make_shared<Wire::JobReply>();
        calls_->handle(now_, call, [reply](Wire::JobReply answer) { *reply = std::move(answer); });
        return reply;
    }

    /// \return the reply to the call, with all that was proposed applied.
    Wire::JobReply call(const Wire::JobCall &call)
    {
        const auto reply = begin(call);
        apply();
        return *reply;
    }

    /// Applies what has been proposed, and lets time pass.
    void apply()
    {
        group_->flush(now_);
        now_ += 20ms;
        group_->tick(now_);
        group_->flush(now_);
    }

    /// \param action what happens between a configuration and what is applied next
    void onConfiguration(std::function<void()> action) { scheduler_.action = std::move(action); }

    Jobs::JobStore store;

private:
    class NotifyingScheduler : public Jobs::JobScheduler
    {
    public:
        using JobScheduler::JobScheduler;
        void configurationChanged() override
        {
            JobScheduler::configurationChanged();
            if (const auto due = std::exchange(action, {}))
                due();
        }
        std::function<void()> action;
    };

    void propose(Wire::JobCommand /*command*/, std::function<void(bool applied)> /*ended*/) override { }
    void start(const Jobs::StartOrder & /*order*/) override { }
    void stop(const Jobs::StopOrder & /*order*/) override { }
    void renewLease(const Jobs::LeaseOrder & /*order*/) override { }
    void throttle(const Jobs::ThrottleOrder & /*order*/) override { }
    [[nodiscard]] std::size_t idleAdviceClients() const override { return 0; }
    void askAdvice(const Jobs::AdviceRequest & /*request*/) override { }
    void logDecision(Logging::LogLevel /*level*/, std::string_view /*event*/,
                     std::initializer_list<Logging::LogField> /*fields*/) override
    {
    }

    TimePoint now_{1s};
    Jobs::SchedulerSettings settings_;
    NotifyingScheduler scheduler_;
    Transport::EventLoop loop_;
    Peers peers_;
    Storage::MemoryFileSystem files_;
    std::unique_ptr<JobGroup> group_;
    std::unique_ptr<JobCalls> calls_;
};

} // namespace Pistachio::Jobnode
