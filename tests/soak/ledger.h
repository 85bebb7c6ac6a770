#pragma once

#include "core/time.h"
#include "longrunningwatch.h"
#include "platform/runobserver.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Pistachio::Soak
{

/// Holds what callers were told and what the minions did, and reports each contradiction.
class Ledger : public RunObserver
{
public:
    using Report = std::function<void(const std::string &violation)>;

    struct Step {
        std::uint32_t tasks = 0;
        std::int64_t milliCores = 0;
        bool waitsForFirst = false; ///< for all tasks of step 0
        bool isGang = false; ///< the end of one task stands for all
        bool isLongRunning = false; ///< long-running: until the job is cancelled
    };
    struct Job {
        std::string payload;
        std::vector<Step> steps;
        bool isAccepted = false;
        bool isRefused = false; ///< for good
        bool isCancelling = false; ///< the caller has asked for it
        bool isCancelled = false; ///< confirmed
        std::string finalState; ///< the first that a caller was told; empty: none yet

        [[nodiscard]] bool isCompleted() const { return finalState == "completed"; }
        [[nodiscard]] bool isLongRunning() const { return !steps.empty() && steps.front().isLongRunning; }

        std::set<Jobs::TaskName> done; ///< ended done on a minion at least once
        std::set<Jobs::TaskName> noted; ///< whose end has been acknowledged
    };

    explicit Ledger(Report report);

    /// \param milliCores of the minion
    void addMinion(const std::string &minion, std::int64_t milliCores);
    /// The minion has said that it leaves, which holds until it starts anew.
    void minionDrains(const std::string &minion);

    void sent(const std::string &id, Job job);
    void accepted(const std::string &id);
    /// Every attempt was refused and the caller gives up.
    void refused(const std::string &id);
    void cancelling(const std::string &id);
    void cancelled(const std::string &id);
    /// A caller was told the state of an accepted job. Reads that are under way together may be answered in any order,
    /// so only one that was sent after the answer to another must not show an earlier state.
    /// \param state empty: there is no such job
    /// \param isLater the job's finalState was known when the read was sent
    void stateSeen(const std::string &id, std::string_view state, bool isLater);
    /// \return how many reads showed a job at work after a final state was told, having been sent before.
    [[nodiscard]] std::size_t overtakenReads() const { return overtakenReads_; }

    void configurationAcknowledged(std::uint64_t version);
    /// \param acknowledged the highest version acknowledged when the read began
    void configurationRead(std::uint64_t version, std::uint64_t acknowledged);
    [[nodiscard]] std::uint64_t newestAcknowledged() const { return acknowledgedVersion_; }

    /// \return the tasks of long-running jobs that are accepted and that nobody has asked to cancel.
    [[nodiscard]] std::vector<LongRunningTask> longRunningTasks() const;
    /// \return the accepted long-running jobs whose cancelling is not confirmed.
    [[nodiscard]] std::vector<std::string> longRunningJobs() const;
    /// \return whether a task of a cancelled long-running job still runs.
    [[nodiscard]] bool isLongRunningAfterCancel() const;

    /// \return accepted jobs that are neither completed nor cancelled, without long-running ones.
    [[nodiscard]] std::vector<std::string> unfinished() const;
    /// Reports what still runs though all jobs are over.
    void checkNothingRuns();

    [[nodiscard]] const std::map<std::string, Job> &jobs() const { return jobs_; }
    [[nodiscard]] std::size_t starts() const { return starts_; }

    void runBegan(const std::string &minion, const Jobs::StartOrder &order) override;
    void runEnded(const std::string &minion, const Jobs::EndedRun &end) override;
    void endsAcknowledged(const std::string &minion, std::uint64_t number) override;
    void minionCrashed(const std::string &minion) override;

private:
    struct Minion {
        std::int64_t milliCores = 0;
        std::int64_t used = 0;
        bool isDraining = false;
        std::map<std::uint64_t, Jobs::TaskName> doneEnds; ///< not acknowledged yet
    };

    [[nodiscard]] static bool isDone(const Job &job, const Jobs::TaskName &task, const std::set<Jobs::TaskName> &ends);
    void checkAllDone(const std::string &id, const Job &job) const;
    void checkStart(const Job &job, const Jobs::StartOrder &order);
    void release(const Jobs::TaskName &task);
    [[nodiscard]] std::int64_t milliCoresOf(const Jobs::TaskName &task) const;
    [[nodiscard]] bool fitsTwice(std::int64_t milliCores) const;

    const Report report_;
    std::map<std::string, Job> jobs_;
    std::map<std::string, Minion> minions_;
    std::map<Jobs::TaskName, std::string> running_; ///< the minion
    std::map<Jobs::TaskName, std::uint64_t> lastRun_;
    std::uint64_t acknowledgedVersion_ = 0;
    std::size_t starts_ = 0;
    std::size_t overtakenReads_ = 0;
};

} // namespace Pistachio::Soak
