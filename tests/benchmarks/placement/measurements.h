#pragma once

#include "workload.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace Pistachio::Replay
{

/// Collects and prints the results of one replay of a workload.
class Measurements
{
public:
    explicit Measurements(const Workload &workload);

    /// Records how long a task waited from when it was able to run until it started.
    void recordWait(const Job &job, Duration wait);
    /// Records a change of allocation or demand.
    /// \param at time of the change
    /// \param allocated resources of all assigned tasks from then on
    /// \param demand resources of all tasks that have arrived and not ended
    void recordAllocation(Duration at, const Resources &allocated, const Resources &demand);
    void finish(Duration at);

    /// \param percent for example 99.9
    [[nodiscard]] Duration percentile(const std::string &group, double percent) const;
    /// Records how long a task that still waits at the end has waited.
    void recordWaitAtEnd(const Job &job, Duration wait);
    /// \return the longest wait of the group, including tasks that still wait at the end.
    [[nodiscard]] Duration longestWait(const std::string &group) const;
    /// \return the accelerators in use as a share of the volume bound, the lesser of the cell's capacity and the
    /// demand.
    [[nodiscard]] double acceleratorShareOfBound() const
    {
        return acceleratorBoundSeconds_ > 0 ? resourceSeconds_[2] / acceleratorBoundSeconds_ : 1;
    }
    void print(const std::string &title) const;

    std::uint64_t displacements = 0;
    std::uint64_t decisions = 0;
    std::uint64_t tasksWaiting = 0; ///< tasks that still waited at the end
    std::uint64_t gangsWaiting = 0; ///< gang jobs that still waited at the end
    std::uint64_t quarantines = 0;

    static std::string groupOf(const Job &job);

private:
    [[nodiscard]] double share(double resourceSeconds, std::int64_t capacity) const;

    const Workload &workload_;
    Resources capacity_;
    std::map<std::string, std::vector<Duration>> waits_;
    std::map<std::string, Duration> longestWaitAtEnd_;
    std::array<double, 3> resourceSeconds_{};
    double acceleratorBoundSeconds_ = 0;
    Resources allocated_;
    Resources demand_;
    Duration recordedUntil_{};
    Duration measuredTime_{};
};

} // namespace Pistachio::Replay
