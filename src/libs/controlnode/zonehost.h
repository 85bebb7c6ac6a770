#pragma once

#include "controlnode/bookingrelease.h"
#include "controlnode/cellinforce.h"
#include "controlnode/configurationfeed.h"
#include "controlnode/statemachines.h"
#include "core/identifier.h"
#include "core/time.h"
#include "storage/grouphost.h"
#include "transport/message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Pistachio::Wire
{
class ZoneReport;
}

namespace Pistachio::Scheduler
{
class ZoneScheduler;
struct Commands;
struct DecisionRecord;
struct EventContext;
} // namespace Pistachio::Scheduler

namespace Pistachio::Controlnode
{

/// One availability zone on this instance: its group, its scheduler, and, while this instance leads the zone, its
/// workers and entries.
class ZoneHost
{
public:
    using LogDecision = std::function<void(const ZoneId &, const Scheduler::DecisionRecord &)>;
    using ZoneDone = std::function<void(const Wire::ZoneResult &)>;

    /// \param zone the zone
    /// \param seed of the scheduler's choices
    /// \param logDecision called for each decision
    ZoneHost(ZoneId zone, std::uint64_t seed, LogDecision logDecision);
    ~ZoneHost();
    ZoneHost(const ZoneHost &) = delete;
    ZoneHost &operator=(const ZoneHost &) = delete;

    /// Opens the group; called once, before anything else.
    Result<void> open(Storage::GroupOptions options, Storage::FileSystem &fileSystem, std::uint64_t seed);

    [[nodiscard]] const ZoneId &zone() const { return zone_; }
    [[nodiscard]] Storage::GroupHost &host() { return *host_; }
    [[nodiscard]] const Storage::GroupHost &host() const { return *host_; }
    [[nodiscard]] const ZoneState::ZoneState &state() const { return machine_.state(); }

    void workerSync(TimePoint now, const std::string &body, const Transport::Responder &responder);
    void configurationPoll(TimePoint now, const std::string &body, const Transport::Responder &responder);

    /// Proposes a command of an entry or an operator.
    /// \param done gets the result, or one of the codes that stand for "not proposed" and "in doubt"
    void propose(TimePoint now, Wire::ZoneCommand command, ZoneDone done);

    /// Follows the leadership, lets time pass and carries out what the scheduler wants.
    /// \param cell the state to hand to entries
    void tick(TimePoint now, const Cellstate::CellState &cell);

    /// \return the ended and cancelled bookings that have no task left; none while another instance may lead.
    std::vector<BookingId> releasable(TimePoint now, const Cellstate::CellState &cell);

    /// Carries out the scheduler's commands of the last events.
    void carryOut(TimePoint now);

    /// Answers all long polls, since the process stops.
    void drain();

    /// \param report gets what this leader knows
    void report(TimePoint now, const Cellstate::CellState &cell, Wire::ZoneReport &report) const;

private:
    struct WaitingSync {
        Transport::Responder responder;
        std::string bootId;
        std::uint64_t sequence = 0;
    };

    [[nodiscard]] Scheduler::EventContext moment(TimePoint now) const;
    void followLeadership(TimePoint now);
    void releaseWaiting();
    void answerWorkers(Scheduler::Commands &commands);
    void proposeOwn(TimePoint now, Wire::ZoneCommand command);
    [[nodiscard]] CellFloor floor() const;
    void followCell(TimePoint now, const Cellstate::CellState &cell);
    void keepFloor(TimePoint now);
    void reportSilentEntries(TimePoint now);

    const ZoneId zone_;
    LogDecision logDecision_;
    CellInForce cell_;
    ZoneMachine machine_;
    std::unique_ptr<Scheduler::ZoneScheduler> scheduler_;
    std::unique_ptr<Storage::GroupHost> host_;
    ConfigurationFeed feed_;
    BookingRelease release_;
    std::map<std::string, WaitingSync> waiting_;
    std::optional<std::uint64_t> ledTerm_;
    TimePoint ledSince_;
    bool isFloorProposed_ = false;
    bool draining_ = false;
};

} // namespace Pistachio::Controlnode
