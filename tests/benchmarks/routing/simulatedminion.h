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

/// An attempt sent to a minion.
struct Work {
    Routing::AttemptId attempt;
    std::size_t entry = 0;
    Duration serviceTime{};
};

/// A minion in virtual time. It runs as many requests as it has slots and refuses or queues more.
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

    /// \param[out] refused whether the minion refused the work
    /// \return the work when it starts now; nothing when it was refused or queued.
    std::optional<Work> receive(const Work &work, bool &refused);
    /// Ends a running request.
    /// \return the queued work that starts in its place, if any.
    std::optional<Work> finish();
    /// Counts an attempt as open from its sending until the entry knows its end.
    void attemptOpened(std::size_t entry);
    void attemptClosed(std::size_t entry);
    /// \return the announcement for an entry, with credits in proportion to the entries' use since the last round.
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
