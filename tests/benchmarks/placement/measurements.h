#pragma once

#include "workload.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace Pistachio::Replay
{

/// What one run of a workload showed.
class Measurements
{
public:
    explicit Measurements(const Workload &workload);

    /// Takes the wait of a task from when it could run until it ran.
    void recordWait(const Job &job, Duration wait);
    /// Takes the sum of what assigned tasks hold, and of what all tasks that arrived and did not end ask for, from a
    /// time on.
    void recordAllocation(Duration at, const Resources &allocated, const Resources &demand);
    void finish(Duration at);

    /// \param percent for example 99.9
    [[nodiscard]] Duration percentile(const std::string &group, double percent) const;
    /// Takes the wait so far of a task that waits at the end.
    void recordWaitAtEnd(const Job &job, Duration wait);
    /// \return the longest wait of the group, those at the end included.
    [[nodiscard]] Duration longestWait(const std::string &group) const;
    /// \return the accelerators in use as a share of the volume bound: what the cell has or what the work asks for, if
    /// that is less.
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
