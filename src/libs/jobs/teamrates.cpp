#include "jobs/teamrates.h"

#include "jobs/job.h"

#include <jobs.pb.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace Pistachio::Jobs
{

namespace
{

constexpr double burstSeconds = 2; ///< of jobs that a team may send at a time
constexpr Duration rebuildSpan = 4s; ///< twice the burst; what came earlier is made up for by then
constexpr Duration pendingSpan = 60s; ///< outlasts every proposal of a leader that goes on leading
constexpr Duration longestRetryAfter = 60s;

/// \return the most tokens of a bucket; a team with any weight can save up for a whole job.
double depth(double weight)
{
    return weight > 0 ? std::max(1.0, weight * burstSeconds) : 0;
}

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

Duration untilToken(double tokens, double weight)
{
    if (weight <= 0)
        return longestRetryAfter;
    const auto missing = (1 - tokens) / weight;
    if (missing >= seconds(longestRetryAfter))
        return longestRetryAfter;
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(missing * 1000)));
}

} // namespace

TeamRates::Bucket &TeamRates::filledBucket(TimePoint now, const std::string &team, double weight)
{
    const auto [entry, isNew] = buckets_.try_emplace(team);
    auto &bucket = entry->second;
    const auto most = depth(weight);
    if (isNew)
        bucket = {most, now};
    bucket.tokens
        = std::min(most, bucket.tokens + std::max(0.0, seconds(now - bucket.filledAt)) * std::max(0.0, weight));
    bucket.filledAt = std::max(bucket.filledAt, now);
    return bucket;
}

TeamRates::Admission TeamRates::admit(TimePoint now, const std::string &job, const std::string &team, double weight,
                                      const std::function<std::optional<Duration>()> &untilBacklogEnds)
{
    if (const auto known = pending_.find(job); known != pending_.end())
        return {known->second.verdict, {}};
    forgetOldEntries(now);
    auto &bucket = filledBucket(now, team, weight);
    auto verdict = Verdict::Owed;
    if (bucket.tokens >= 1) {
        --bucket.tokens;
    } else if (const auto backlog = untilBacklogEnds()) {
        ++refused_[team];
        const auto retryAfter = std::max(untilToken(bucket.tokens, weight), *backlog);
        return {Verdict::Refused, std::min(retryAfter, longestRetryAfter)};
    } else {
        verdict = Verdict::BeyondRate;
    }
    pending_[job] = {verdict, now};
    return {verdict, {}};
}

void TeamRates::forgetOldEntries(TimePoint now)
{
    if (now < forgottenAt_ + pendingSpan)
        return;
    forgottenAt_ = now;
    std::erase_if(pending_, [now](const auto &entry) { return now >= entry.second.at + pendingSpan; });
}

void TeamRates::jobAccepted(const std::string &job)
{
    pending_.erase(job);
}

void TeamRates::rebuild(TimePoint now, std::int64_t unixMs, const std::unordered_map<std::string, Job> &jobs,
                        const std::function<double(const std::string &team)> &weightOf)
{
    clear();
    std::vector<std::pair<TimePoint, const std::string *>> accepted;
    for (const auto &[id, job] : jobs) {
        const auto &submission = job.submission();
        const auto age = std::chrono::milliseconds(std::max<std::int64_t>(0, unixMs - submission.accepted_unix_ms()));
        if (!submission.team().empty() && !submission.beyond_rate() && age < rebuildSpan)
            accepted.emplace_back(now - age, &submission.team());
    }
    std::sort(accepted.begin(), accepted.end(),
              [](const auto &left, const auto &right) { return left.first < right.first; });
    for (const auto &[at, team] : accepted) {
        auto &bucket = filledBucket(at, *team, weightOf(*team));
        bucket.tokens = std::max(0.0, bucket.tokens - 1);
    }
}

void TeamRates::clear()
{
    buckets_.clear();
    pending_.clear();
}

} // namespace Pistachio::Jobs
