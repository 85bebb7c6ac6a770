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
    void waited(const Job &job, Duration wait);
    /// Takes the sum of what running and assigned tasks hold from a time on.
    void allocated(Duration at, const Resources &sum);
    void finish(Duration at);

    /// \param percent for example 99.9
    [[nodiscard]] Duration percentile(const std::string &group, double percent) const;
    [[nodiscard]] Duration longest(const std::string &group) const { return percentile(group, 100); }
    /// \return the share of the cell's accelerators in use while measured.
    [[nodiscard]] double acceleratorShare() const { return share(integral_.at(2), capacity_.accelerators); }
    void print(const std::string &title) const;

    std::uint64_t displacements = 0;
    std::uint64_t decisions = 0;
    std::uint64_t neverStarted = 0; ///< tasks that still waited at the end
    std::uint64_t gangsWaiting = 0; ///< gang jobs that still waited at the end
    std::uint64_t quarantines = 0;

    static std::string groupOf(const Job &job);

private:
    [[nodiscard]] double share(double integral, std::int64_t capacity) const;

    const Workload &workload_;
    Resources capacity_;
    std::map<std::string, std::vector<Duration>> waits_;
    std::array<double, 3> integral_{};
    Resources current_;
    Duration since_{};
    Duration measured_{};
};

} // namespace Pistachio::Replay
