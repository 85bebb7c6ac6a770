#include "metrics/registry.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

namespace Pistachio::Metrics
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> trackedQuantiles{0.5, 0.99, 0.999};

/// The P-square estimate starts once it has this many samples (2n + 3 markers for n quantiles).
constexpr std::size_t samplesBeforeEstimate = 2 * trackedQuantiles.size() + 3;

/// Count, sum and quantiles of a stream of samples in constant memory.
class Distribution
{
public:
    Distribution()
        : set_(acc::extended_p_square_probabilities = trackedQuantiles)
    {
    }

    void add(double value)
    {
        set_(value);
        if (first_.size() < samplesBeforeEstimate)
            first_.insert(std::upper_bound(first_.begin(), first_.end(), value), value);
    }

    [[nodiscard]] std::size_t count() const { return acc::count(set_); }
    [[nodiscard]] double sum() const { return acc::sum(set_); }

    [[nodiscard]] double quantile(std::size_t index) const
    {
        if (first_.empty())
            return 0;
        if (count() <= samplesBeforeEstimate) {
            const double rank = std::ceil(trackedQuantiles.at(index) * static_cast<double>(first_.size()));
            return first_.at(static_cast<std::size_t>(rank) - 1);
        }
        return acc::extended_p_square(set_)[static_cast<std::ptrdiff_t>(index)];
    }

private:
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>> set_;
    std::vector<double> first_; // sorted
};

/// Splits `name{labels}`, so that a suffix or a further label can be added.
std::pair<std::string, std::string> splitLabels(const std::string &name)
{
    const auto brace = name.find('{');
    if (brace == std::string::npos)
        return {name, ""};
    return {name.substr(0, brace), name.substr(brace + 1, name.size() - brace - 2)};
}

void writeDistribution(std::ostream &out, const std::string &name, const Distribution &distribution)
{
    const auto [base, labels] = splitLabels(name);
    const std::string braced = labels.empty() ? "" : '{' + labels + '}';
    for (std::size_t i = 0; i < trackedQuantiles.size(); ++i) {
        out << base << '{' << labels << (labels.empty() ? "" : ",") << "quantile=\"" << trackedQuantiles.at(i) << "\"} "
            << distribution.quantile(i) << '\n';
    }
    out << base << "_sum" << braced << ' ' << distribution.sum() << '\n';
    out << base << "_count" << braced << ' ' << distribution.count() << '\n';
}

} // namespace

class Registry::Private
{
public:
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, Distribution, std::less<>> distributions;
};

Registry::Registry()
    : d_(std::make_unique<Private>())
{
}

Registry::~Registry() = default;

void Registry::add(std::string_view name, std::uint64_t amount)
{
    const std::lock_guard lock(d_->mutex);
    const auto found = d_->counters.find(name);
    if (found != d_->counters.end())
        found->second += amount;
    else
        d_->counters.emplace(name, amount);
}

void Registry::set(std::string_view name, double value)
{
    const std::lock_guard lock(d_->mutex);
    d_->gauges.insert_or_assign(std::string(name), value);
}

void Registry::observe(std::string_view name, double value)
{
    const std::lock_guard lock(d_->mutex);
    auto found = d_->distributions.find(name);
    if (found == d_->distributions.end())
        found = d_->distributions.emplace(name, Distribution()).first;
    found->second.add(value);
}

std::uint64_t Registry::counter(std::string_view name) const
{
    const std::lock_guard lock(d_->mutex);
    const auto found = d_->counters.find(name);
    return found == d_->counters.end() ? 0 : found->second;
}

double Registry::quantile(std::string_view name, double fraction) const
{
    const std::lock_guard lock(d_->mutex);
    const auto found = d_->distributions.find(name);
    const auto *tracked = std::find(trackedQuantiles.begin(), trackedQuantiles.end(), fraction);
    if (found == d_->distributions.end() || tracked == trackedQuantiles.end())
        return 0;
    return found->second.quantile(static_cast<std::size_t>(tracked - trackedQuantiles.begin()));
}

std::string Registry::exposition() const
{
    const std::lock_guard lock(d_->mutex);
    std::ostringstream out;
    for (const auto &[name, value] : d_->counters)
        out << name << ' ' << value << '\n';
    for (const auto &[name, value] : d_->gauges)
        out << name << ' ' << value << '\n';
    for (const auto &[name, distribution] : d_->distributions)
        writeDistribution(out, name, distribution);
    return out.str();
}

} // namespace Pistachio::Metrics
