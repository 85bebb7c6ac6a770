#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Pistachio::Jobs
{

class Job;

/// Decides which jobs are owed to a team, and which of the others are refused while owed work is late.
///
/// Serves a load in which a team sends several times the jobs that it is owed. Each team has a token bucket that is
/// filled with its weight in jobs per second and holds two seconds of them.
class TeamRates
{
public:
    enum class Verdict : std::uint8_t {
        Owed,
        BeyondRate, ///< accepted, but placed after owed work
        Refused,
    };
    struct Admission {
        Verdict verdict = Verdict::Owed;
        Duration retryAfter{}; ///< of a refused job
    };

    /// Decides about a job that is not held. The repeated submission of a job that was let in is let in again, as the
    /// first one may still be committed.
    /// \param weight of the team
    /// \param untilBacklogEnds called for the time in which a backlog of late owed work is expected to end; nothing if
    /// there is none
    Admission admit(TimePoint now, const std::string &job, const std::string &team, double weight,
                    const std::function<std::optional<Duration>()> &untilBacklogEnds);

    /// The job is held from now on.
    void jobAccepted(const std::string &job);

    /// Fills the buckets as they would be at an earlier leader, from the jobs that were accepted lately.
    /// \param weightOf the weight of a team, by its name
    void rebuild(TimePoint now, std::int64_t unixMs, const std::unordered_map<std::string, Job> &jobs,
                 const std::function<double(const std::string &team)> &weightOf);
    /// Forgets all but the refusals.
    void clear();

    /// \return the number of jobs of each team that this process has refused.
    [[nodiscard]] const std::map<std::string, std::uint64_t> &refused() const { return refused_; }

private:
    struct Bucket {
        double tokens = 0;
        TimePoint filledAt{};
    };
    struct PendingAdmission {
        Verdict verdict = Verdict::Owed;
        TimePoint at{};
    };

    /// \return the team's bucket, filled up to \p now.
    Bucket &filledBucket(TimePoint now, const std::string &team, double weight);
    void forgetOldEntries(TimePoint now);

    std::unordered_map<std::string, Bucket> buckets_; ///< by team
    std::unordered_map<std::string, PendingAdmission> pending_; ///< by job, until it is held
    std::map<std::string, std::uint64_t> refused_; ///< by team
    TimePoint forgottenAt_{};
};

} // namespace Pistachio::Jobs
