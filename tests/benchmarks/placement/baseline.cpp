#include "cellreplay.h"

#include <algorithm>
#include <optional>
#include <set>

namespace Pistachio::Replay
{

namespace
{

constexpr Duration schedulingInterval = 100ms;
constexpr Duration workerLossTimeout = 12340ms;

struct WaitingUnit {
    const Job *job = nullptr;
    std::vector<std::uint32_t> tasks;
    Duration since{};
};

struct RunningTask {
    const Job *job = nullptr;
    std::uint32_t task = 0;
    std::size_t worker = 0;

    auto operator<=>(const RunningTask &) const = default;
};

/// Replays a workload with a simple policy that tries all waiting units in order of arrival.
class BaselineReplay
{
public:
    BaselineReplay(const Workload &workload, Baseline baseline)
        : workload_(workload)
        , baseline_(baseline)
        , measurements_(workload)
    {
        for (const WorkerSpec &worker : workload.workers)
            free_.push_back(worker.capacity);
    }

    Measurements run()
    {
        std::size_t next = 0;
        for (now_ = {}; now_ < workload_.length; now_ += schedulingInterval) {
            bool changed = endDueTasks();
            for (; next < workload_.jobs.size() && workload_.jobs[next].arrival <= now_; ++next, changed = true)
                arrive(workload_.jobs[next]);
            if (workload_.rackLoss > Duration::zero() && now_ >= workload_.rackLoss && !std::exchange(rackLost_, true))
                loseRack();
            if (changed)
                placeWaiting();
            measurements_.recordAllocation(now_, allocated_, demand_);
        }
        measurements_.finish(now_);
        for (const WaitingUnit &unit : queue_) {
            for (std::size_t i = 0; i < unit.tasks.size(); ++i)
                measurements_.recordWaitAtEnd(*unit.job, now_ - unit.since);
            measurements_.gangsWaiting += unit.job->kind == Placement::WorkKind::Gang ? 1 : 0;
        }
        return measurements_;
    }

private:
    void arrive(const Job &job)
    {
        demand_ += job.resources.times(job.tasks);
        if (job.kind == Placement::WorkKind::Gang) {
            WaitingUnit &unit = queue_.emplace_back(WaitingUnit{&job, {}, now_});
            for (std::uint32_t task = 0; task < job.tasks; ++task)
                unit.tasks.push_back(task);
            return;
        }
        for (std::uint32_t task = 0; task < job.tasks; ++task)
            queue_.push_back({&job, {task}, now_});
    }

    bool endDueTasks()
    {
        bool ended = false;
        while (!ends_.empty() && ends_.begin()->first <= now_) {
            const RunningTask task = ends_.begin()->second;
            ends_.erase(ends_.begin());
            ended = true;
            running_.erase(task);
            free_[task.worker] += task.job->resources;
            allocated_ -= task.job->resources;
            if (lostWorkers_.contains(task.worker)) // its lease ends, so it runs again
                queue_.push_back({task.job, {task.task}, now_});
            else
                demand_ -= task.job->resources;
        }
        return ended;
    }

    void loseRack()
    {
        for (std::size_t worker = 0; worker < free_.size(); ++worker) {
            if (workload_.workers[worker].rack == workload_.lostRack)
                lostWorkers_.insert(worker);
        }
        std::erase_if(ends_, [&](const auto &end) { return lostWorkers_.contains(end.second.worker); });
        for (const RunningTask &task : running_) {
            if (lostWorkers_.contains(task.worker))
                ends_.emplace(now_ + workerLossTimeout, task);
        }
    }

    void placeWaiting()
    {
        std::set<std::pair<std::array<std::int64_t, 3>, std::size_t>> failedShapes;
        std::erase_if(queue_, [&](const WaitingUnit &unit) {
            const Resources &need = unit.job->resources;
            const std::array<std::int64_t, 3> shape{need.milliCores, need.memoryBytes, need.accelerators};
            if (failedShapes.contains({shape, unit.tasks.size()}))
                return false;
            ++measurements_.decisions;
            if (place(unit))
                return true;
            failedShapes.insert({shape, unit.tasks.size()});
            return false;
        });
    }

    bool place(const WaitingUnit &unit)
    {
        const Resources &need = unit.job->resources;
        std::vector<std::size_t> chosen;
        while (chosen.size() < unit.tasks.size()) {
            const std::optional<std::size_t> worker = choose(need);
            if (!worker) {
                for (const std::size_t taken : chosen)
                    free_[taken] += need;
                return false;
            }
            free_[*worker] -= need;
            chosen.push_back(*worker);
        }
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            const RunningTask task{unit.job, unit.tasks[i], chosen[i]};
            allocated_ += need;
            measurements_.recordWait(*unit.job, now_ - unit.since);
            running_.insert(task);
            if (!unit.job->runs.empty())
                ends_.emplace(now_ + unit.job->runs[task.task], task);
        }
        return true;
    }

    std::optional<std::size_t> choose(const Resources &need) const
    {
        std::optional<std::size_t> best;
        double bestRemaining = 0;
        for (std::size_t worker = 0; worker < free_.size(); ++worker) {
            if (!need.fitsIn(free_[worker]) || lostWorkers_.contains(worker))
                continue;
            if (baseline_ == Baseline::FirstFit)
                return worker;
            const Resources &capacity = workload_.workers[worker].capacity;
            const Resources remaining = free_[worker] - need;
            const double remainingShare
                = static_cast<double>(remaining.milliCores) / static_cast<double>(capacity.milliCores)
                + static_cast<double>(remaining.memoryBytes) / static_cast<double>(capacity.memoryBytes)
                + static_cast<double>(remaining.accelerators);
            if (!best || remainingShare < bestRemaining) {
                best = worker;
                bestRemaining = remainingShare;
            }
        }
        return best;
    }

    const Workload &workload_;
    Baseline baseline_;
    Measurements measurements_;
    std::vector<Resources> free_;
    std::vector<WaitingUnit> queue_;
    std::multimap<Duration, RunningTask> ends_;
    std::set<RunningTask> running_;
    std::set<std::size_t> lostWorkers_;
    Resources allocated_;
    Resources demand_;
    Duration now_{};
    bool rackLost_ = false;
};

} // namespace

Measurements runBaseline(const Workload &workload, Baseline baseline)
{
    return BaselineReplay(workload, baseline).run();
}

} // namespace Pistachio::Replay
