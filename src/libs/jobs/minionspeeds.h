#pragma once

#include "core/time.h"
#include "jobs/orders.h"
#include "jobs/speedestimate.h"
#include "jobs/taskname.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Pistachio::Wire
{
class JobMinionSpeed;
}

namespace Pistachio::Jobs
{

/// Learns the speed of each minion incarnation from run times relative to the expected ones.
///
/// For fleets whose minions differ in speed although they report the same kind, beside 3% of tasks that take seven
/// times as long and run times that deviate by a third. Estimates are kept as logarithms of the slowness. A minion
/// starts at the median of its kind; its own run times replace that within some ten runs, and older runs lose weight,
/// so that a change of speed shows within as many.
///
/// Tasks of one step have the same work, so a run time is compared with those of the step's earlier tasks on other
/// minions, and with the expected one only if all tasks of the step ran on one minion. What one minion gains the others
/// lose, as the tasks that end first would else make their minions look fast, and the last ones theirs slow.
///
/// Expected run times are learned from run times divided by these estimates. A common factor could therefore move from
/// one to the other without a trace, so the estimates of each service are kept at a mean logarithm of 0.
class MinionSpeeds
{
public:
    /// Adds a minion. What was learned of another incarnation under its id is discarded.
    /// \param kind what the minion's machine reports of itself; minions of one kind usually have one speed
    void add(const MinionIncarnation &minion, const std::string &service, const std::string &kind);
    void remove(const std::string &id) { minions_.erase(id); }
    void clear();

    /// Adds the run time of a task that completed in one run, in a step with tasks on other minions. Ignored for an
    /// unknown incarnation, as below.
    void learn(const MinionIncarnation &minion, const StepName &step, Duration took);
    /// Adds the run time of a task that completed in one run, in a step without tasks on other minions.
    /// \param usual the expected run time on a minion of speed 1, as known without the step's run times
    /// \param weight in runs
    void learnAlone(const MinionIncarnation &minion, Duration took, Duration usual, double weight);
    /// Removes the run times of an ended job's steps.
    void removeJob(const std::string &job);

    /// Takes over a stored estimate. Ignored for an unknown incarnation, or one of which as much is known.
    void restore(const Wire::JobMinionSpeed &stored);

    /// Updates the medians of the kinds and keeps the mean of each service; to be called every second or so.
    void normalize();

    /// \return the estimate, or that of speed 1 for an unknown minion.
    [[nodiscard]] SpeedEstimate estimate(const std::string &id) const;

    /// \return the estimates that differ by over 5% from the stored ones, those that differ most first.
    /// \param stored by minion id
    /// \param limit maximum number of estimates
    [[nodiscard]] std::vector<Wire::JobMinionSpeed>
    changesSince(const std::map<std::string, Wire::JobMinionSpeed> &stored, std::size_t limit) const;

private:
    struct Minion {
        std::int64_t bornUnixMs = 0;
        std::string service;
        std::string kind;
        double log = 0; ///< mean of the logarithms of its own run times relative to the expected ones
        double samples = 0;
    };
    struct Kind {
        double log = 0; ///< median over its minions, weighted by their samples, and shrunk to 0 while there are few
    };

    struct Sample {
        MinionIncarnation minion;
        double log = 0; ///< of the run time
    };

    Minion *find(const MinionIncarnation &minion);
    /// \return the logarithm of what a run time is compared with: the mean of the minion's runs, or that of its kind.
    [[nodiscard]] double center(const Minion &minion) const;
    void compareWithSiblings(Minion &minion, const std::vector<Sample> &siblings, double log);
    static void addSample(Minion &minion, double center, double deviation, double weight = 1);
    [[nodiscard]] double kindLog(const Minion &minion) const;
    /// \return the mean of the minion's own run times, shrunk to its kind's while there are few.
    [[nodiscard]] double shrunkLog(const Minion &minion) const;

    std::map<std::string, Minion> minions_; ///< by id
    std::map<StepName, std::vector<Sample>> steps_;
    std::map<std::string, Kind> kinds_;
};

} // namespace Pistachio::Jobs
