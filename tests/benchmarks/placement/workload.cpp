#include "workload.h"

#include <algorithm>
#include <cmath>

namespace Pistachio::Replay
{

namespace
{

using Placement::Standing;
using Placement::WorkKind;

constexpr std::int64_t gibibyte = 1LL << 30;

class WorkloadBuilder
{
public:
    WorkloadBuilder(std::uint64_t seed, Workload &workload)
        : random_(seed)
        , workload_(workload)
    {
    }

    void addWorkers(const std::string &prefix, std::uint32_t count, std::uint32_t perRack, const Resources &capacity)
    {
        for (std::uint32_t i = 0; i < count; ++i)
            workload_.workers.push_back(
                {prefix + std::to_string(i), prefix + "-rack-" + std::to_string(i / perRack), capacity});
    }

    Job &addJob(WorkKind kind, Standing standing, std::uint32_t tasks, const Resources &resources, Duration arrival)
    {
        Job &job = workload_.jobs.emplace_back();
        job.id = "job-" + std::to_string(workload_.jobs.size());
        job.team = "team-" + std::to_string(random_.below(8));
        job.kind = kind;
        job.standing = standing;
        job.tasks = tasks;
        job.resources = resources;
        job.arrival = arrival;
        return job;
    }

    /// Draws exponentially distributed run times. The declared run time is too long or too short by up to a factor of
    /// three.
    void setRuns(Job &job, Duration mean)
    {
        for (std::uint32_t i = 0; i < job.tasks; ++i)
            job.runs.push_back(std::max<Duration>(exponential(mean), 1s));
        const double errorFactor = std::pow(3.0, 2 * random_.fraction() - 1);
        const auto declared = static_cast<std::int64_t>(static_cast<double>(mean.count()) * errorFactor);
        job.declaredRun = std::chrono::seconds(std::max<std::int64_t>(declared / 1'000'000, 1));
    }

    Duration exponential(Duration mean)
    {
        return Duration(
            static_cast<std::int64_t>(-std::log(1.0 - random_.fraction()) * static_cast<double>(mean.count())));
    }

    Standing batchStanding()
    {
        const std::uint64_t draw = random_.below(10);
        return draw == 0 ? Standing::Promised : draw < 6 ? Standing::Normal : Standing::Spare;
    }

    RandomSource &random() { return random_; }

    void finish()
    {
        std::stable_sort(workload_.jobs.begin(), workload_.jobs.end(),
                         [](const Job &left, const Job &right) { return left.arrival < right.arrival; });
    }

private:
    RandomSource random_;
    Workload &workload_;
};

Workload overnightWorkload(const std::string &name, std::uint64_t seed, unsigned packing,
                           const Resources &plainCapacity, const Resources &acceleratorCapacity)
{
    Workload workload;
    workload.name = name;
    workload.packingPercent = packing;
    workload.length = 4h;
    workload.measureFrom = 20min;
    workload.rackLoss = 2h;
    workload.lostRack = "plain-rack-2";
    WorkloadBuilder builder(seed, workload);
    builder.addWorkers("plain", 35, 5, plainCapacity);
    builder.addWorkers("accelerated", 13, 3, acceleratorCapacity);
    RandomSource &random = builder.random();
    for (int i = 0; i < 12; ++i)
        builder.addJob(WorkKind::Service, Standing::Promised, 6, {1000, 2 * gibibyte, 0}, 0s);
    // A quarter more accelerator work than can run in the night; a third of it has arrived at the start.
    for (int i = 0; i < 150; ++i) {
        const std::int64_t accelerators = std::int64_t{1} << random.below(3);
        const Duration arrival = i < 50 ? Duration(0) : Duration(random.below(210LL * 60 * 1'000'000));
        Job &job = builder.addJob(WorkKind::Batch, builder.batchStanding(), 4,
                                  {4000 * accelerators, 8 * gibibyte * accelerators, accelerators}, arrival);
        job.checkpoint = random.below(10) < 7;
        builder.setRuns(job, 20min);
    }
    for (int i = 0; i < 12; ++i) {
        Job &gang = builder.addJob(WorkKind::Gang, Standing::Normal, 4 + static_cast<std::uint32_t>(random.below(5)),
                                   {16000, 32 * gibibyte, 4}, std::chrono::minutes(10 * i));
        builder.setRuns(gang, 10min);
    }
    for (int minute = 0; minute < 235; ++minute) {
        Job &job = builder.addJob(WorkKind::Batch, builder.batchStanding(), 10, {2000, 3 * gibibyte, 0},
                                  std::chrono::minutes(minute));
        builder.setRuns(job, 5min);
        Job &urgent = builder.addJob(WorkKind::Batch, Standing::Urgent, 1, {1000, gibibyte, 0},
                                     std::chrono::minutes(minute) + Duration(random.below(60'000'000)));
        builder.setRuns(urgent, 20s);
    }
    builder.finish();
    return workload;
}

} // namespace

Workload lindqvistNight(std::uint64_t seed)
{
    return overnightWorkload("lindqvist", seed, 80, {16000, 32 * gibibyte, 0}, {64000, 128 * gibibyte, 8});
}

Workload tauhereNight(std::uint64_t seed)
{
    return overnightWorkload("tauhere", seed, 20, {32000, 128 * gibibyte, 0}, {64000, 256 * gibibyte, 8});
}

Workload largeCell(std::uint64_t seed, std::uint32_t workers, Duration length, double load)
{
    constexpr std::uint32_t fullWorkerCount = 850;
    constexpr double fullServiceTasks = 1320;
    constexpr double fullStartsPerSecond = 120;
    constexpr Duration meanRunTime = 44s; // 120 starts a second keep 5,280 batch tasks running
    const double scale = static_cast<double>(workers) / fullWorkerCount;
    Workload workload;
    workload.name = "large-" + std::to_string(workers);
    workload.length = length;
    workload.measureFrom = 100s;
    workload.rackLoss = length / 2;
    workload.lostRack = "plain-rack-3";
    WorkloadBuilder builder(seed, workload);
    const std::uint32_t acceleratorWorkers = workers * 230 / fullWorkerCount;
    builder.addWorkers("plain", workers - acceleratorWorkers, 5, {32000, 128 * gibibyte, 0});
    builder.addWorkers("accelerated", acceleratorWorkers, 3, {64000, 256 * gibibyte, 8});
    RandomSource &random = builder.random();
    for (double taskCount = 0; taskCount < fullServiceTasks * scale; taskCount += 6)
        builder.addJob(WorkKind::Service, Standing::Promised, 6, {2000, 4 * gibibyte, 0}, 0s);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(length).count();
    for (std::int64_t second = 5; second < seconds; second += 5) {
        const Duration arrival = std::chrono::seconds(second);
        for (double remainingStarts = fullStartsPerSecond * scale * load * 5; remainingStarts >= 1;) {
            const auto tasks
                = static_cast<std::uint32_t>(std::min(remainingStarts, 10.0 + static_cast<double>(random.below(60))));
            const bool gang = random.below(12) == 0;
            const std::int64_t accelerators = random.below(8) == 0 ? 1 : 0;
            const std::uint32_t count = gang ? std::min(tasks, 8U) : tasks;
            Job &job = builder.addJob(gang ? WorkKind::Gang : WorkKind::Batch,
                                      gang ? Standing::Normal : builder.batchStanding(), count,
                                      {1000 * (1 + static_cast<std::int64_t>(random.below(6))),
                                       gibibyte * (1 + static_cast<std::int64_t>(random.below(12))), accelerators},
                                      arrival);
            job.checkpoint = random.below(10) < 7;
            builder.setRuns(job, meanRunTime);
            remainingStarts -= count;
        }
        Job &urgent = builder.addJob(WorkKind::Batch, Standing::Urgent, 2, {2000, 4 * gibibyte, 0}, arrival);
        builder.setRuns(urgent, 10s);
    }
    builder.finish();
    return workload;
}

} // namespace Pistachio::Replay
