#include "jobs/minionspeeds.h"

#include <jobs.pb.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Pistachio::Jobs
{

namespace
{
constexpr double maxSamples = 10; ///< weight of earlier runs against a new one, so that a change shows within ten runs
constexpr double kindSamples = 3; ///< weight of the kind's speed for a minion without runs; one straggler is no proof
constexpr double usualKindSamples = 10; ///< weight of speed 1 for a kind, so that few run times don't keep it unused
constexpr double maxDeviation = 0.8; ///< of a run time's logarithm from the estimate; a straggler's is 1.9
constexpr std::size_t maxSiblings = 32; ///< that a run time is compared with; more hardly change their mean
constexpr double noise = 0.25; ///< three times the deviation of an estimate at run times that vary by 30%
constexpr double changeToStore = 0.05; ///< relative
constexpr double minSlowness = 0.05; ///< bounds on what is taken over from the store
constexpr double maxSlowness = 20;

/// \return the value at half of the weight.
double weightedMedian(std::vector<std::pair<double, double>> &values, double weight)
{
    std::ranges::sort(values);
    double sum = 0;
    for (const auto &[value, part] : values) {
        sum += part;
        if (sum * 2 >= weight)
            return value;
    }
    return 0;
}
} // namespace

void MinionSpeeds::add(const MinionIncarnation &minion, const std::string &service, const std::string &kind)
{
    auto &known = minions_[minion.id];
    if (known.bornUnixMs != minion.bornUnixMs)
        known = {};
    known.bornUnixMs = minion.bornUnixMs;
    known.service = service;
    known.kind = kind;
}

void MinionSpeeds::clear()
{
    minions_.clear();
    steps_.clear();
    kinds_.clear();
}

MinionSpeeds::Minion *MinionSpeeds::find(const MinionIncarnation &minion)
{
    const auto found = minions_.find(minion.id);
    return found == minions_.end() || found->second.bornUnixMs != minion.bornUnixMs ? nullptr : &found->second;
}

double MinionSpeeds::center(const Minion &minion) const
{
    return minion.samples > 0 ? minion.log : kindLog(minion);
}

void MinionSpeeds::addSample(Minion &minion, double center, double deviation, double weight)
{
    minion.log = center + deviation * weight / (minion.samples + weight);
    minion.samples = std::min(minion.samples + weight, maxSamples);
}

void MinionSpeeds::learn(const MinionIncarnation &minion, const StepName &step, Duration took)
{
    auto *known = find(minion);
    if (!known || took <= Duration::zero())
        return;
    const double log = std::log(static_cast<double>(took.count()));
    auto &siblings = steps_[step];
    compareWithSiblings(*known, siblings, log);
    if (siblings.size() < maxSiblings)
        siblings.push_back({minion, log});
}

void MinionSpeeds::learnAlone(const MinionIncarnation &minion, Duration took, Duration usual, double weight)
{
    auto *known = find(minion);
    if (!known || took <= Duration::zero() || usual <= Duration::zero())
        return;
    const double sample = std::log(static_cast<double>(took.count()) / static_cast<double>(usual.count()));
    const double deviation = std::clamp(sample - center(*known), -maxDeviation, maxDeviation);
    addSample(*known, center(*known), deviation, weight);
}

void MinionSpeeds::compareWithSiblings(Minion &minion, const std::vector<Sample> &siblings, double log)
{
    std::vector<std::pair<Minion *, double>> others; // with the logarithm of the work
    double sum = 0;
    for (const auto &sample : siblings) {
        auto *other = find(sample.minion);
        if (!other || other == &minion)
            continue;
        others.emplace_back(other, sample.log - center(*other));
        sum += others.back().second;
    }
    const double own = center(minion);
    if (others.empty()) {
        // The later ones are compared with it.
        addSample(minion, own, 0);
        return;
    }
    const auto count = static_cast<double>(others.size());
    const double deviation = std::clamp(log - own - sum / count, -maxDeviation, maxDeviation);
    // Both sides differ from the mean of all, of which the minion itself is a part.
    addSample(minion, own, deviation * count / (count + 1));
    for (const auto &[other, work] : others)
        other->log -= deviation / (count + 1) / std::max(1.0, other->samples);
}

void MinionSpeeds::removeJob(const std::string &job)
{
    steps_.erase(steps_.lower_bound({job, 0, 0}), steps_.lower_bound({job + '\0', 0, 0}));
}

void MinionSpeeds::restore(const Wire::JobMinionSpeed &stored)
{
    auto *known = find({stored.minion(), stored.minion_born_unix_ms()});
    const bool isValid = stored.slowness() >= minSlowness && stored.slowness() <= maxSlowness && stored.samples() > 0;
    if (!known || !isValid || known->samples >= stored.samples())
        return;
    known->log = std::log(stored.slowness());
    known->samples = std::min(stored.samples(), maxSamples);
}

double MinionSpeeds::kindLog(const Minion &minion) const
{
    const auto found = kinds_.find(minion.kind);
    return found == kinds_.end() ? 0 : found->second.log;
}

double MinionSpeeds::shrunkLog(const Minion &minion) const
{
    const double prior = kindSamples * (1 - minion.samples / maxSamples);
    return (minion.log * minion.samples + kindLog(minion) * prior) / (minion.samples + prior);
}

void MinionSpeeds::normalize()
{
    std::map<std::string, std::pair<double, double>> services; // sum of logarithms, and their number
    for (const auto &[id, minion] : minions_) {
        if (minion.samples <= 0)
            continue;
        auto &[sum, count] = services[minion.service];
        sum += shrunkLog(minion);
        count += 1;
    }
    std::map<std::string, std::pair<std::vector<std::pair<double, double>>, double>> kinds;
    for (auto &[id, minion] : minions_) {
        if (minion.samples <= 0)
            continue;
        const auto &[sum, count] = services[minion.service];
        minion.log -= sum / count;
        auto &[values, weight] = kinds[minion.kind];
        values.emplace_back(minion.log, minion.samples);
        weight += minion.samples;
    }
    kinds_.clear();
    for (auto &[name, item] : kinds) {
        kinds_[name].log = weightedMedian(item.first, item.second) * item.second / (item.second + usualKindSamples);
    }
}

SpeedEstimate MinionSpeeds::estimate(const std::string &id) const
{
    const auto found = minions_.find(id);
    if (found == minions_.end())
        return {};
    const auto &minion = found->second;
    const double kind = kindLog(minion);
    const double own = shrunkLog(minion);
    const bool isDifferent = std::abs(own - kind) > noise;
    return {std::exp(isDifferent ? own : kind), std::exp(kind), minion.samples};
}

std::vector<Wire::JobMinionSpeed> MinionSpeeds::changesSince(const std::map<std::string, Wire::JobMinionSpeed> &stored,
                                                             std::size_t limit) const
{
    std::vector<std::pair<double, const std::string *>> changes;
    for (const auto &[id, minion] : minions_) {
        if (minion.samples <= 0)
            continue;
        const auto known = stored.find(id);
        const bool isStored = known != stored.end() && known->second.minion_born_unix_ms() == minion.bornUnixMs;
        const double change = isStored ? std::abs(std::exp(minion.log) / known->second.slowness() - 1) : maxDeviation;
        if (change > changeToStore)
            changes.emplace_back(-change, &id);
    }
    std::ranges::stable_sort(changes, {}, [](const auto &change) { return change.first; });
    std::vector<Wire::JobMinionSpeed> result;
    for (const auto &[change, id] : changes) {
        if (result.size() >= limit)
            break;
        const auto &minion = minions_.at(*id);
        auto &speed = result.emplace_back();
        speed.set_minion(*id);
        speed.set_minion_born_unix_ms(minion.bornUnixMs);
        speed.set_slowness(std::exp(minion.log));
        speed.set_samples(minion.samples);
    }
    return result;
}

} // namespace Pistachio::Jobs
