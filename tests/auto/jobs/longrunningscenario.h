#pragma once

#include "simulatedcell.h"

#include <array>
#include <string>

/// How a run of a long-running task ends, or what keeps the next one from starting.
enum class RunEnding : std::uint8_t {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
    Reborn,
    Destroyed,
    Left,
    AddressTaken,
    Cut,
    Forgotten,
    FailsRepeatedly,
    RefusedFence,
    RefusedOld,
    RefusedLate,
    RefusedRoom,
    RefusedTicket,
    RefusedInvalid,
    Refused,
    RefusedIncarnation,
    StartsLost,
    StartsLate,
    NoAdvice,
};
inline constexpr auto runEndings
    = std::to_array({"done",           "failed",        "stopped",       "lapsed",
                     "broken",         "alone",         "minion reborn", "minion gone",
                     "minion left",    "address taken", "minion cut",    "minion forgets the run",
                     "fails often",    "fence",         "old",           "late",
                     "room",           "ticket",        "invalid",       "unhealthy",
                     "other instance", "starts lost",   "starts late",   "no advice"});

/// What else happens near the end of the run.
enum class NearbyEvent : std::uint8_t {
    Nothing,
    LeaderChange,
    LeaderLoss,
    LeaderLossAfterCommit,
    RestartFromLog,
    RestartFromSnapshot,
    LongVacancy,
    ProposalsFail,
    AnswersLost,
    OrdersLate,
    SecondMinionReborn,
    OtherJobCancelled,
};
inline constexpr auto nearbyEvents
    = std::to_array({"nothing", "leader change", "leader loss", "leader loss after commit", "restart from log",
                     "restart from snapshot", "20 s without a leader", "proposals fail", "answers lost", "orders late",
                     "second minion reborn", "other jobs cancelled"});

/// A cell in which a run of a long-running task ends while something else happens. Checks that its tasks run again.
class LongRunningScenario
{
public:
    LongRunningScenario(RunEnding end, NearbyEvent event, std::uint64_t seed);

    /// \return a description of the failure, or nothing.
    std::string run();

private:
    void advance(Pistachio::Duration span);
    void addFillers();
    void endRun();
    void takeAddress(SimulatedMinion &minion);
    /// Starts of the task are not carried out for a while; its minion is well afterwards.
    void disturbStarts();
    void beginEvent();
    void finishEvent();
    void checkTasks();
    std::string checkEndState();
    void cancelFillers(std::size_t count);
    /// Runs that ended must not use capacity: without the fillers, all capacity but the service's is free.
    std::string checkCapacity();

    RunEnding end_;
    NearbyEvent event_;
    Pistachio::RandomSource random_;
    SimulatedCell cell_;
    bool isCrowded_; ///< more work waits than fits
    bool isGang_;
    Pistachio::Jobs::TaskName task_;
    std::array<Pistachio::TimePoint, 2> lastRun_{};
    Pistachio::TimePoint endAt_{};
    Pistachio::TimePoint eventAt_{};
    Pistachio::TimePoint eventEnd_{};
    Pistachio::TimePoint calmSince_{};
    Pistachio::TimePoint failUntil_{};
    Pistachio::TimePoint disturbedUntil_{};
    bool hasEnded_ = false;
    bool hasHappened_ = false;
    bool hasRestarted_ = false;
    bool hasFillers_ = true;
    std::size_t lastFiller_ = 0;
    std::string failure_;
};
