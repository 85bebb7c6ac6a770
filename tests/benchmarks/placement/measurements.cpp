#include "measurements.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace Pistachio::Replay
{

Measurements::Measurements(const Workload &workload)
    : workload_(workload)
{
    for (const WorkerSpec &worker : workload.workers)
        capacity_ += worker.capacity;
}

std::string Measurements::groupOf(const Job &job)
{
    static constexpr std::array<const char *, 3> kinds = {"service", "batch", "gang"};
    static constexpr std::array<const char *, 4> standings = {"urgent", "promised", "normal", "spare"};
    return std::string(kinds.at(static_cast<std::size_t>(job.kind))) + ' '
        + standings.at(static_cast<std::size_t>(job.standing));
}

void Measurements::recordWait(const Job &job, Duration wait)
{
    waits_[groupOf(job)].push_back(wait);
}

void Measurements::recordWaitAtEnd(const Job &job, Duration wait)
{
    ++tasksWaiting;
    Duration &longest = longestWaitAtEnd_[groupOf(job)];
    longest = std::max(longest, wait);
}

Duration Measurements::longestWait(const std::string &group) const
{
    const auto atEnd = longestWaitAtEnd_.find(group);
    return std::max(percentile(group, 100), atEnd == longestWaitAtEnd_.end() ? Duration() : atEnd->second);
}

void Measurements::recordAllocation(Duration at, const Resources &allocated, const Resources &demand)
{
    const Duration begin = std::max(recordedUntil_, workload_.measureFrom);
    if (at > begin) {
        const double seconds = std::chrono::duration<double>(at - begin).count();
        resourceSeconds_[0] += seconds * static_cast<double>(allocated_.milliCores);
        resourceSeconds_[1] += seconds * static_cast<double>(allocated_.memoryBytes);
        resourceSeconds_[2] += seconds * static_cast<double>(allocated_.accelerators);
        acceleratorBoundSeconds_
            += seconds * static_cast<double>(std::min(capacity_.accelerators, demand_.accelerators));
        measuredTime_ += at - begin;
    }
    recordedUntil_ = at;
    allocated_ = allocated;
    demand_ = demand;
}

void Measurements::finish(Duration at)
{
    recordAllocation(at, allocated_, demand_);
}

double Measurements::share(double resourceSeconds, std::int64_t capacity) const
{
    const double capacitySeconds = std::chrono::duration<double>(measuredTime_).count() * static_cast<double>(capacity);
    return capacitySeconds > 0 ? resourceSeconds / capacitySeconds : 0;
}

Duration Measurements::percentile(const std::string &group, double percent) const
{
    const auto found = waits_.find(group);
    if (found == waits_.end() || found->second.empty())
        return {};
    std::vector<Duration> sorted = found->second;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<std::size_t>(std::ceil(percent / 100 * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

void Measurements::print(const std::string &title) const
{
    std::printf("%s: %s\n", workload_.name.c_str(), title.c_str());
    std::printf("  %-18s %8s %10s %10s %10s\n", "waiting (s)", "starts", "median", "99th", "99.9th");
    for (const auto &entry : waits_) {
        const std::string &group = entry.first;
        const auto seconds
            = [&](double percent) { return std::chrono::duration<double>(percentile(group, percent)).count(); };
        std::printf("  %-18s %8zu %10.2f %10.2f %10.2f\n", group.c_str(), entry.second.size(), seconds(50), seconds(99),
                    seconds(99.9));
    }
    std::printf("  in use: cores %.1f%%, memory %.1f%%, accelerators %.1f%% of the cell, %.1f%% of the "
                "volume bound\n",
                100 * share(resourceSeconds_[0], capacity_.milliCores),
                100 * share(resourceSeconds_[1], capacity_.memoryBytes),
                100 * share(resourceSeconds_[2], capacity_.accelerators), 100 * acceleratorShareOfBound());
    std::printf("  decisions %llu, displacements %llu, tasks still waiting %llu, gangs still waiting %llu\n",
                static_cast<unsigned long long>(decisions), static_cast<unsigned long long>(displacements),
                static_cast<unsigned long long>(tasksWaiting), static_cast<unsigned long long>(gangsWaiting));
}

} // namespace Pistachio::Replay
