#pragma once

#include "core/resources.h"
#include "scheduler/workeragent.h"
#include "taskrunner.h"
#include "transport/eventloop.h"
#include "transport/http2client.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Pistachio::StandinWorker
{

struct SessionOptions {
    WorkerId worker;
    std::string zone;
    std::string rack;
    Resources capacity;
    std::vector<Transport::Endpoint> control;
    TaskRunner::Options tasks;
};

/// One worker: keeps a sync outstanding at the leader of its zone and carries out the orders.
class WorkerSession
{
public:
    WorkerSession(Transport::EventLoop &loop, SessionOptions options, const Journal &journal);
    ~WorkerSession();
    WorkerSession(const WorkerSession &) = delete;
    WorkerSession &operator=(const WorkerSession &) = delete;

    /// To be called every few milliseconds.
    void tick();

    /// Announces that the worker leaves.
    void leave();

    /// \return whether the worker has announced its leaving and every task is gone.
    [[nodiscard]] bool hasLeft() const;

private:
    void sync(TimePoint now);
    void answered(std::uint64_t sequence, const Transport::CallResult &result);
    void changeLeader(std::string_view named);
    void carryOut(TimePoint now, const std::vector<Scheduler::WorkerAction> &actions);
    Transport::Http2Client &client(const Transport::Endpoint &endpoint);

    Transport::EventLoop &loop_;
    SessionOptions options_;
    Scheduler::WorkerAgent agent_;
    TaskRunner runner_;
    std::map<Transport::Endpoint, std::unique_ptr<Transport::Http2Client>> clients_;
    Transport::Endpoint leader_;
    std::size_t nextControl_ = 0;
    std::uint64_t sequence_ = 0; ///< of the sync whose answer is awaited
    bool outstanding_ = false;
    bool leaving_ = false;
    bool leavingAnswered_ = false;
    bool leavingSent_ = false;
    TimePoint lastSync_;
    TimePoint notBefore_;
};

} // namespace Pistachio::StandinWorker
