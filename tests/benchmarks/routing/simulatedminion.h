#pragma once

#include "core/time.h"
#include "routing/events.h"
#include "routing/minion.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace Pistachio::Benchmark
{

enum class Fault : std::uint8_t {
    None,
    Slow, ///< ten times slower
    Failing, ///< answers 500 at once
    Silent, ///< announces itself and never answers
};

/// An attempt at a minion.
struct Work {
    Routing::AttemptId attempt;
    std::size_t entry = 0;
    Duration serviceTime{};
};

/// A minion in virtual time: runs up to 8 requests, and either refuses more or lets them wait.
class SimulatedMinion
{
public:
    SimulatedMinion(Routing::MinionAnnouncement announcement, std::size_t zone, Fault fault, bool queuesExcess)
        : announcement_(std::move(announcement))
        , zone_(zone)
        , fault_(fault)
        , queuesExcess_(queuesExcess)
    {
    }

    /// \return the work that starts now, or nothing when it was refused or waits.
    std::optional<Work> receive(const Work &work, bool &refused);
    /// \return the waiting work that starts in the place of the one that ended.
    std::optional<Work> finish();
    /// Counts an attempt from sending until its entry knows its end.
    void attemptOpened(std::size_t entry);
    void attemptClosed(std::size_t entry);
    /// \return the announcement for one entry, with credits by the entries' use since the last round.
    Routing::MinionAnnouncement announce(std::size_t entry, std::size_t entriesInZone) const;
    void endCreditRound();

    [[nodiscard]] std::size_t zone() const { return zone_; }
    [[nodiscard]] Fault fault() const { return fault_; }
    [[nodiscard]] std::uint64_t timesAboveSlots() const { return timesAboveSlots_; }
    [[nodiscard]] Duration durationOf(const Work &work) const;

private:
    Routing::MinionAnnouncement announcement_;
    std::size_t zone_;
    Fault fault_;
    bool queuesExcess_;
    std::uint32_t running_ = 0;
    std::uint32_t open_ = 0;
    std::deque<Work> waiting_;
    std::uint64_t timesAboveSlots_ = 0;
    std::map<std::size_t, std::uint32_t> openByEntry_;
    std::map<std::size_t, std::uint32_t> peakByEntry_;
};

} // namespace Pistachio::Benchmark
