#pragma once

#include "jobs/job.h"
#include "replication/statemachine.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Pistachio::Wire
{
class JobAssignment;
class JobCommand;
class JobConfiguration;
class JobEnd;
class JobMinion;
class JobMinionSpeed;
class JobQueue;
class JobReply;
class JobSubmission;
class JobTeam;
enum JobVerdict : int;
} // namespace Pistachio::Wire

namespace Pistachio::Jobs
{

class JobStoreObserver;
class TeamDirectory;

/// The replicated state of the job group: the configuration in force, the jobs with the state of their tasks, and the
/// registered minions.
class JobStore : public Replication::StateMachine
{
public:
    JobStore();
    ~JobStore() override;

    /// \return an encoded JobReply to the proposer.
    std::string apply(Replication::LogIndex index, std::string_view command) override;
    [[nodiscard]] std::string snapshot() const override;
    Result<void> restore(std::string_view state) override;

    /// \param observer notified of changes; null for none
    void setObserver(JobStoreObserver *observer) { observer_ = observer; }

    /// \return the configuration in force, with version 0 if none has been set.
    [[nodiscard]] const Wire::JobConfiguration &configuration() const { return *configuration_; }

    /// \return the queue at \p host with the longest matching prefix of \p path in the configuration in force, or null.
    [[nodiscard]] const Wire::JobQueue *queueAt(std::string_view host, std::string_view path) const;

    /// \param key see queueKey()
    /// \return the queue as last configured, even if it has been removed since, or null.
    [[nodiscard]] const Wire::JobQueue *queue(const std::string &key) const;
    /// \return the team as last configured, even if it has left the configuration since, or null.
    [[nodiscard]] const Wire::JobTeam *team(const std::string &name) const;
    [[nodiscard]] const std::map<std::string, Wire::JobTeam> &teams() const { return teams_; }
    /// \return the teams of the configuration in force, by their keys.
    [[nodiscard]] const TeamDirectory &teamDirectory() const { return *teamDirectory_; }
    /// \return the host and path prefix of the queue.
    [[nodiscard]] static std::string queueKey(const Wire::JobQueue &queue);

    /// \return the job, or null.
    [[nodiscard]] const Job *job(const std::string &id) const;
    [[nodiscard]] const std::unordered_map<std::string, Job> &jobs() const { return jobs_; }
    [[nodiscard]] const std::map<std::string, Wire::JobMinion> &minions() const { return minions_; }
    /// \return the learned speeds of the registered incarnations, by minion id.
    [[nodiscard]] const std::map<std::string, Wire::JobMinionSpeed> &speeds() const { return speeds_; }

private:
    void configure(Wire::JobConfiguration configuration);
    void recordMinion(const Wire::JobMinion &minion);
    void recordSpeed(const Wire::JobMinionSpeed &speed);
    void applyEnd(const Wire::JobEnd &end);
    void assign(const Wire::JobCommand &command);
    /// \param command its submission gets the team of its key if it is checked again
    /// \param reply gets the verdict, and the version of the configuration that it goes by
    void submit(Wire::JobCommand &command, Wire::JobReply &reply);
    /// Checks a submission again that was checked against another configuration than the one in force.
    /// \param submission gets the team that the key belongs to now
    /// \return ACCEPTED, or why the configuration in force does not admit it.
    Wire::JobVerdict readmit(const std::string &key, Wire::JobSubmission &submission) const;
    /// \return the queue of the submission if it is still the one that answers for the job's path, or null.
    [[nodiscard]] const Wire::JobQueue *queueInForce(const Wire::JobSubmission &submission) const;
    [[nodiscard]] std::uint32_t maxAttempts(const Job &job) const;

    std::unique_ptr<Wire::JobConfiguration> configuration_;
    std::unique_ptr<TeamDirectory> teamDirectory_; ///< of configuration_
    std::map<std::string, Wire::JobQueue> queues_;
    std::map<std::string, Wire::JobTeam> teams_; ///< by name; their keys are in force only while configured
    std::unordered_map<std::string, Job> jobs_;
    std::map<std::string, Wire::JobMinion> minions_;
    std::map<std::string, Wire::JobMinionSpeed> speeds_; ///< by minion id
    JobStoreObserver *observer_ = nullptr;
};

} // namespace Pistachio::Jobs
