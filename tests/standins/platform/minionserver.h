#pragma once

#include "platform/simulatedminion.h"
#include "transport/eventloop.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace Pistachio::Standin
{

/// A simulated minion that speaks the platform's protocol over HTTP and reports itself.
class MinionServer
{
public:
    /// \return whether a run of \p step may begin on \p minion with \p ticket.
    using TicketCheck
        = std::function<bool(const Jobs::StepName &step, const std::string &minion, const std::string &ticket)>;

    /// \return the control instances that a minion knows, at least one.
    using Controls = std::function<std::vector<Transport::Endpoint>()>;

    /// \param loop outlives the server
    /// \param report its address is where the server listens
    /// \param runTime of each task
    /// \param controls where it reports itself, one after the other
    /// \param check of each start
    MinionServer(Transport::EventLoop &loop, Jobs::MinionReport report, Duration runTime, Controls controls,
                 TicketCheck check);

    /// Begins to listen and to report.
    Result<void> open();

    /// Ends at once: connections break, runs and knowledge are gone. What has arrived while silent is kept for
    /// restart().
    void crash();

    /// Begins a new life under the same id after crash(). Some time later it carries out, unanswered, what was kept.
    Result<void> restart();

    /// While silent nothing leaves it; what arrives is carried out, unanswered, once it is not silent any more.
    void setSilent(bool isSilent);

    void setDraining(bool isDraining);

    [[nodiscard]] SimulatedMinion &minion() { return minion_; }

private:
    void handle(const Transport::Request &request, const Transport::Responder &responder);
    void carryOut(const Transport::Request &request, const Transport::Responder &responder);
    void hold(const Transport::Request &request, const Transport::Responder &responder);
    void tick();
    void sendReport();
    void carryOutDelayed();

    Transport::EventLoop &loop_;
    SimulatedMinion minion_;
    const Controls controls_;
    const TicketCheck check_;
    Transport::HttpClient client_;
    std::unique_ptr<Transport::HttpServer> server_;
    std::size_t control_ = 0; ///< the next report goes there
    bool isRunning_ = false;
    bool isSilent_ = false;
    std::deque<std::pair<Transport::Request, Transport::Responder>> delayed_;
    TimePoint nextReport_{};
    Transport::Timer ticker_;
    Transport::Timer lateOrders_;
};

} // namespace Pistachio::Standin
