#pragma once

#include "core/time.h"
#include "jobs/orders.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

class RunObserver;

/// A minion that follows the published rules: fences, leases on its own clock, numbered ends, refused old runs.
class SimulatedMinion
{
public:
    using Duration = Pistachio::Duration;
    using TimePoint = Pistachio::TimePoint;

    struct Work {
        std::uint64_t run = 0;
        TimePoint endsAt{};
        Pistachio::Jobs::RunEnd how = Pistachio::Jobs::RunEnd::Done;
        std::string checkpoint;
        bool isLongRunning = false; ///< works until it is stopped
        Duration length{}; ///< from its start to its end
    };
    /// How a run of a long-running task ends by itself.
    struct LongRunningRun {
        Duration length{};
        Pistachio::Jobs::RunEnd how = Pistachio::Jobs::RunEnd::Failed;
    };
    struct WaitingRenewal {
        TimePoint until{};
        std::function<void(const Pistachio::Jobs::LeaseAnswer &)> answer;
    };

    SimulatedMinion(Pistachio::Jobs::MinionReport minionReport, Duration runTime, double clockRate);

    Pistachio::Jobs::OrderAnswer start(TimePoint now, const Pistachio::Jobs::StartOrder &order);
    Pistachio::Jobs::OrderAnswer stop(TimePoint now, const Pistachio::Jobs::StopOrder &order);
    void renewLease(TimePoint now, const Pistachio::Jobs::LeaseOrder &order,
                    std::function<void(const Pistachio::Jobs::LeaseAnswer &)> answer);
    void tick(TimePoint now);

    /// Starts anew under the same id, with everything forgotten.
    void restart(TimePoint now);

    [[nodiscard]] std::int64_t clock(TimePoint now) const;

    Pistachio::Jobs::MinionReport report;
    std::map<Pistachio::Jobs::TaskName, Work> runs;
    bool isCut = false; ///< nothing reaches it and nothing leaves it
    bool failsEverything = false;
    bool hidesRuns = false; ///< its active runs are listed in rows that can't be read
    bool hasOddRow = false; ///< its list of active runs has one row more, which can't be read
    std::vector<Pistachio::Jobs::EndedRun> strayEnds; ///< listed beside its own
    bool hidesProgress = false; ///< the progress in its rows can't be read
    Duration stopTime{}; ///< how long a run works on after it is told to stop
    bool standsStill = false; ///< what starts there makes no progress
    std::map<Pistachio::Jobs::TaskName, int> finished; ///< times that a task ended done here
    RunObserver *observer = nullptr; ///< null: nobody
    /// \return how long a run works; null: all as long as the minion was made for.
    std::function<Duration(const Pistachio::Jobs::TaskName &task, std::uint64_t run)> runLength;
    /// \return nothing for a task that doesn't last; null: none lasts.
    std::function<std::optional<LongRunningRun>(const Pistachio::Jobs::TaskName &task, std::uint64_t run)>
        longRunningRun;

private:
    void end(const Pistachio::Jobs::TaskName &task, Pistachio::Jobs::RunEnd how);
    [[nodiscard]] Pistachio::Jobs::LeaseAnswer lists(TimePoint now) const;
    [[nodiscard]] std::uint32_t percent(TimePoint now, const Work &work) const;
    void extendLease(TimePoint now, std::int64_t expiresAtMs);
    [[nodiscard]] bool accepts(const Pistachio::Jobs::MinionFence &fence);

    Duration runTime_;
    double clockRate_;
    TimePoint born_{};
    std::uint64_t highestFence_ = 0; ///< of all orders so far
    std::int64_t leaseUntil_ = 0;
    std::uint64_t lastEnd_ = 0;
    std::map<Pistachio::Jobs::TaskName, std::uint64_t> highestEnded_;
    std::vector<Pistachio::Jobs::EndedRun> ended_;
    std::vector<WaitingRenewal> waiting_;
};
