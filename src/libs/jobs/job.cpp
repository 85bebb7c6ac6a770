#include "jobs/job.h"

#include "jobs/jobvalidation.h"

#include <jobs.pb.h>

#include <algorithm>

namespace Pistachio::Jobs
{

Job::Job(const Wire::JobSubmission &submission)
    : submission_(std::make_unique<Wire::JobSubmission>(submission))
{
    limitNumbers(*submission_->mutable_spec());
    for (std::uint32_t occurrence = 0; occurrence < occurrences(); ++occurrence) {
        for (const auto &step : submission_->spec().steps()) {
            steps_.emplace_back();
            steps_.back().tasks.resize(step.tasks());
        }
    }
    unfinishedSteps_ = steps_.size();
}

Job::~Job() = default;
Job::Job(Job &&) noexcept = default;
Job &Job::operator=(Job &&) noexcept = default;

const std::string &Job::id() const
{
    return submission_->id();
}

const Wire::JobStep &Job::spec(std::uint32_t step) const
{
    return submission_->spec().steps(static_cast<int>(step));
}

std::uint32_t Job::occurrences() const
{
    return std::max(1U, submission_->spec().repeat_count());
}

std::uint32_t Job::stepsPerOccurrence() const
{
    return static_cast<std::uint32_t>(submission_->spec().steps_size());
}

std::int64_t Job::dueUnixMs(std::uint32_t occurrence) const
{
    const auto &spec = submission_->spec();
    if (spec.repeat_count() == 0)
        return 0;
    return spec.start_at_unix_ms() + occurrence * spec.interval_ms();
}

const StepRecord *Job::step(std::uint32_t occurrence, std::uint32_t step) const
{
    if (occurrence >= occurrences() || step >= stepsPerOccurrence())
        return nullptr;
    return &steps_[std::size_t{occurrence} * stepsPerOccurrence() + step];
}

StepRecord *Job::mutableStep(const StepName &name)
{
    if (name.occurrence >= occurrences() || name.step >= stepsPerOccurrence())
        return nullptr;
    return &steps_[std::size_t{name.occurrence} * stepsPerOccurrence() + name.step];
}

const Task *Job::task(const TaskName &name) const
{
    const auto *record = step(name.step.occurrence, name.step.step);
    return record && name.index < record->tasks.size() ? &record->tasks[name.index] : nullptr;
}

bool Job::areDependenciesDone(std::uint32_t occurrence, std::uint32_t number) const
{
    const auto &needed = spec(number).depends_on();
    return std::all_of(needed.begin(), needed.end(),
                       [&](std::uint32_t other) { return step(occurrence, other)->isDone(); });
}

bool Job::canAssign(const TaskName &name, std::uint64_t run) const
{
    const auto *found = task(name);
    return found && phase_ == JobPhase::Active && found->state == TaskState::Waiting && run > found->lastRun
        && areDependenciesDone(name.step.occurrence, name.step.step);
}

void Job::assign(const TaskName &name, std::uint64_t run, const std::string &minion, std::int64_t bornUnixMs)
{
    auto &task = mutableStep(name.step)->tasks[name.index];
    task.run = run;
    task.lastRun = run;
    task.state = TaskState::Assigned;
    task.isRunConfirmed = false;
    task.minion = minion;
    task.minionBornUnixMs = bornUnixMs;
    ++assignedRuns_;
}

void Job::confirmRun(const TaskName &name, std::uint64_t run)
{
    auto *record = mutableStep(name.step);
    if (!record || name.index >= record->tasks.size())
        return;
    auto &task = record->tasks[name.index];
    if (task.state == TaskState::Assigned && task.run == run)
        task.isRunConfirmed = true;
}

bool Job::allowsCopies(const Wire::JobStep &step)
{
    return step.speculative() && !step.gang() && !step.long_running();
}

bool Job::canAssignCopy(const TaskName &name, std::uint64_t run, const std::string &minion) const
{
    const auto *found = task(name);
    return found && phase_ == JobPhase::Active && found->state == TaskState::Assigned && !found->other
        && run > found->lastRun && minion != found->minion && allowsCopies(spec(name.step.step));
}

void Job::assignCopy(const TaskName &name, std::uint64_t run, const std::string &minion, std::int64_t bornUnixMs)
{
    auto &task = mutableStep(name.step)->tasks[name.index];
    task.lastRun = run;
    task.other = std::make_unique<TaskRun>(TaskRun{run, minion, bornUnixMs});
    ++assignedRuns_;
}

void Job::markDone(StepRecord &record, Task &task)
{
    if (task.state == TaskState::Done)
        return;
    if (task.state == TaskState::Assigned)
        --assignedRuns_;
    task.state = TaskState::Done;
    task.checkpoint.clear();
    ++record.done;
    if (record.isDone())
        --unfinishedSteps_;
}

void Job::keepOtherRun(Task &task, std::uint64_t run)
{
    if (task.state != TaskState::Assigned)
        return;
    // An earlier run may complete a task that has two runs. One of them is kept; the other is stopped, and a later
    // leader finds it in its minion's list.
    const bool isCopyDone = task.other && task.other->run == run;
    if (task.run == run || (task.other && !isCopyDone))
        return;
    TaskRun first{task.run, std::move(task.minion), task.minionBornUnixMs};
    task.isRunConfirmed = false;
    if (isCopyDone) {
        task.run = task.other->run;
        task.minion = std::move(task.other->minion);
        task.minionBornUnixMs = task.other->minionBornUnixMs;
    } else {
        task.minion.clear();
        task.minionBornUnixMs = 0;
        ++assignedRuns_;
    }
    task.other = std::make_unique<TaskRun>(std::move(first));
}

void Job::endOneOfTwo(Task &task, std::uint64_t run)
{
    if (task.run == run) {
        task.isRunConfirmed = false;
        task.run = task.other->run;
        task.minion = std::move(task.other->minion);
        task.minionBornUnixMs = task.other->minionBornUnixMs;
    }
    task.other.reset();
    --assignedRuns_;
}

void Job::countFailure(const Wire::JobStep &spec, StepRecord &record, Task &task, std::uint64_t run,
                       std::uint32_t maxAttempts)
{
    if (spec.long_running())
        return;
    std::uint32_t failures = 0;
    if (spec.gang()) {
        if (run <= record.lastFailedRun)
            return;
        record.lastFailedRun = run;
        failures = ++record.gangFailures;
    } else {
        failures = ++task.failures;
    }
    if (failures >= maxAttempts && phase_ == JobPhase::Active)
        phase_ = JobPhase::Failed;
}

bool Job::end(const Wire::JobEnd &end, std::uint32_t maxAttempts)
{
    const auto name = toTaskName(end.task());
    auto *record = mutableStep(name.step);
    if (!record || name.index >= record->tasks.size())
        return false;
    auto &task = record->tasks[name.index];
    const auto &step = spec(name.step.step);
    const bool isCurrent = task.isAssigned(end.run());
    if (task.state == TaskState::Done) {
        if (isCurrent) {
            task.other.reset();
            --assignedRuns_;
        }
        return false;
    }
    if (end.how() == Wire::JOB_RUN_END_DONE && !step.long_running()) {
        if (end.run() > task.lastRun)
            return false;
        hasBegun_ = true;
        // A gang is done when one of its members is done.
        if (step.gang()) {
            for (auto &member : record->tasks)
                markDone(*record, member);
        } else {
            if (allowsCopies(step))
                keepOtherRun(task, end.run());
            markDone(*record, task);
        }
        completeIfDone();
        return true;
    }
    if (!isCurrent)
        return false;
    hasBegun_ = hasBegun_ || (end.how() != Wire::JOB_RUN_END_NOT_STARTED && end.how() != Wire::JOB_RUN_END_LOST);
    if (task.other) {
        endOneOfTwo(task, end.run());
    } else {
        task.state = TaskState::Waiting;
        --assignedRuns_;
    }
    if (!end.checkpoint().empty())
        task.checkpoint = end.checkpoint();
    if (end.how() == Wire::JOB_RUN_END_FAILED)
        countFailure(step, *record, task, end.run(), maxAttempts);
    return true;
}

void Job::completeIfDone()
{
    if (phase_ == JobPhase::Active && unfinishedSteps_ == 0)
        phase_ = JobPhase::Completed;
}

bool Job::cancel()
{
    if (phase_ != JobPhase::Active)
        return false;
    phase_ = JobPhase::Cancelled;
    return true;
}

Wire::JobImage Job::image() const
{
    Wire::JobImage image;
    *image.mutable_submission() = *submission_;
    image.set_state(static_cast<std::uint32_t>(phase_));
    image.set_has_begun(hasBegun_);
    for (const auto &record : steps_) {
        auto &step = *image.add_steps();
        step.set_gang_failures(record.gangFailures);
        step.set_last_failed_run(record.lastFailedRun);
        for (const auto &task : record.tasks) {
            auto &item = *step.add_tasks();
            item.set_run(task.run);
            item.set_failures(task.failures);
            item.set_state(static_cast<std::uint32_t>(task.state));
            item.set_minion(task.minion);
            item.set_minion_born_unix_ms(task.minionBornUnixMs);
            item.set_checkpoint(task.checkpoint);
            item.set_is_run_confirmed(task.isRunConfirmed);
            if (task.other) {
                item.mutable_copy()->set_run(task.other->run);
                item.mutable_copy()->set_minion(task.other->minion);
                item.mutable_copy()->set_minion_born_unix_ms(task.other->minionBornUnixMs);
            } else if (task.lastRun > task.run) {
                // Of a copy that has ended, only the number is still needed; no minion says so.
                item.mutable_copy()->set_run(task.lastRun);
            }
        }
    }
    return image;
}

Job Job::fromImage(const Wire::JobImage &image)
{
    Job job(image.submission());
    job.phase_ = static_cast<JobPhase>(image.state());
    job.hasBegun_ = image.has_begun();
    for (std::size_t number = 0; number < job.steps_.size(); ++number) {
        auto &record = job.steps_[number];
        const auto &step = static_cast<int>(number) < image.steps_size() ? image.steps(static_cast<int>(number))
                                                                         : Wire::JobStepImage::default_instance();
        record.gangFailures = step.gang_failures();
        record.lastFailedRun = step.last_failed_run();
        for (std::size_t index = 0; index < record.tasks.size(); ++index) {
            const auto &item = static_cast<int>(index) < step.tasks_size() ? step.tasks(static_cast<int>(index))
                                                                           : Wire::JobTaskImage::default_instance();
            auto &task = record.tasks[index];
            task.run = item.run();
            task.failures = item.failures();
            task.state = static_cast<TaskState>(item.state());
            task.minion = item.minion();
            task.minionBornUnixMs = item.minion_born_unix_ms();
            task.checkpoint = item.checkpoint();
            task.isRunConfirmed = item.is_run_confirmed();
            task.lastRun = std::max(item.run(), item.copy().run());
            if (!item.copy().minion().empty()) {
                const auto &copy = item.copy();
                task.other = std::make_unique<TaskRun>(TaskRun{copy.run(), copy.minion(), copy.minion_born_unix_ms()});
                ++job.assignedRuns_;
            }
            job.assignedRuns_ += task.state == TaskState::Assigned ? 1 : 0;
            record.done += task.state == TaskState::Done ? 1 : 0;
        }
        job.unfinishedSteps_ -= record.isDone() ? 1 : 0;
    }
    return job;
}

} // namespace Pistachio::Jobs
