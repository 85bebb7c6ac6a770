#include "jobs/jobstore.h"
#include "jobs/jobstoreobserver.h"
#include "jobs/jobvalidation.h"
#include "jobs/teamdirectory.h"

#include <jobs.pb.h>

namespace Pistachio::Jobs
{

std::string JobStore::snapshot() const
{
    Wire::JobBookImage image;
    *image.mutable_configuration() = *configuration_;
    for (const auto &[key, queue] : queues_)
        *image.add_queues() = queue;
    for (const auto &[name, team] : teams_)
        *image.add_teams() = team;
    for (const auto &[id, minion] : minions_)
        *image.add_minions() = minion;
    for (const auto &[id, speed] : speeds_)
        *image.add_speeds() = speed;
    for (const auto &[id, job] : jobs_)
        *image.add_jobs() = job.image();
    return image.SerializeAsString();
}

Result<void> JobStore::restore(std::string_view state)
{
    Wire::JobBookImage image;
    if (!image.ParseFromArray(state.data(), static_cast<int>(state.size())))
        return failure(ErrorCode::Corrupt, "the snapshot of the job store can't be read");
    *configuration_ = image.configuration();
    *teamDirectory_ = TeamDirectory(*configuration_);
    queues_.clear();
    teams_.clear();
    minions_.clear();
    speeds_.clear();
    jobs_.clear();
    for (const auto &queue : image.queues())
        queues_[queueKey(queue)] = queue;
    for (const auto &team : image.teams())
        teams_[team.name()] = team;
    for (const auto &minion : image.minions())
        minions_[minion.id()] = minion;
    for (const auto &speed : image.speeds())
        recordSpeed(speed);
    for (const auto &item : image.jobs()) {
        if (canBeHeld(item.submission().spec()))
            jobs_.try_emplace(item.submission().id(), Job::fromImage(item));
    }
    if (observer_)
        observer_->restored();
    return success();
}

} // namespace Pistachio::Jobs
