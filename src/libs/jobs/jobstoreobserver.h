#pragma once

#include "jobs/taskname.h"

#include <cstdint>
#include <string>

namespace Pistachio::Wire
{
class JobAssignment;
class JobEnd;
class JobMinion;
} // namespace Pistachio::Wire

namespace Pistachio::Jobs
{

class Job;

/// Receives the changes that a JobStore has applied.
class JobStoreObserver
{
public:
    JobStoreObserver() = default;
    JobStoreObserver(const JobStoreObserver &) = delete;
    JobStoreObserver &operator=(const JobStoreObserver &) = delete;
    virtual ~JobStoreObserver() = default;

    virtual void configurationChanged() = 0;
    virtual void jobAccepted(const Job &job) = 0;
    /// The job left the active phase.
    virtual void jobEnded(const Job &job) = 0;
    virtual void jobRemoved(const std::string &job) = 0;
    virtual void taskAssigned(const Job &job, const TaskName &task, std::uint64_t run) = 0;
    /// The assignment was not stored: its job has ended, or the task can't have this run.
    virtual void assignmentDropped(const Wire::JobAssignment &assignment) = 0;
    /// \param changed whether the end changed the job; false for the end of an outdated run
    virtual void taskEnded(const Job &job, const Wire::JobEnd &end, bool changed) = 0;
    virtual void minionRecorded(const Wire::JobMinion &minion) = 0;
    virtual void minionRemoved(const std::string &minion) = 0;
    /// The whole state was replaced by a snapshot.
    virtual void restored() = 0;
};

} // namespace Pistachio::Jobs
