#include "simulation.h"

#include <cstdio>
#include <cstring>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Benchmark;

namespace
{

constexpr std::uint64_t seed = 20260;

// Bounds from the requirements, for goodput under overload and for the load added by retries.
constexpr double minGoodputAtTwiceCapacity = 0.95;
constexpr double maxAttemptsPerRequest = 1.1;

std::vector<Scenario> scenarios()
{
    std::vector<Scenario> result;
    for (const double load : {1.0, 1.5, 2.0}) {
        Scenario ordering;
        ordering.name = "ordering";
        ordering.load = load;
        result.push_back(ordering);
        Scenario artwork;
        artwork.name = "artwork";
        artwork.minions = 13;
        artwork.meanService = 200ms;
        artwork.timeout = 5s;
        artwork.load = load;
        result.push_back(artwork);
    }
    Scenario faults;
    faults.name = "faults";
    faults.load = 0.7;
    faults.faults = true;
    result.push_back(faults);
    Scenario zones;
    zones.name = "skewed zones";
    zones.load = 0.8;
    zones.skewedZones = true;
    result.push_back(zones);
    Scenario entries;
    entries.name = "skewed entries";
    entries.load = 0.8;
    entries.skewedEntries = true;
    result.push_back(entries);
    return result;
}

const Variant entryVariant{"shares, two choices", BalancerKind::TwoChoicesByShare, SlotPolicyKind::Shares, true};
const Variant roundRobin{"round robin, all in", BalancerKind::RoundRobin, SlotPolicyKind::Connections, false};
const Variant randomChoice{"random, all in", BalancerKind::Random, SlotPolicyKind::Connections, false};

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

void print(const Scenario &scenario, const Variant &variant, const Measurement &result)
{
    std::printf("%-15s %4.1f  %-22s %7.3f %8.3f %7.3f %8.1f %8.1f %9.3f %8llu %7.4f %7.4f\n", scenario.name.c_str(),
                scenario.load, variant.name.c_str(), result.goodputShare, ratio(result.refused, result.requests),
                ratio(result.failed, result.requests), static_cast<double>(result.waitP50.count()) / 1000.0,
                static_cast<double>(result.waitP99.count()) / 1000.0, ratio(result.attempts, result.requests),
                static_cast<unsigned long long>(result.attemptsAboveSlots),
                ratio(result.forwardedToOtherZone, result.requests),
                ratio(result.forwardedToOtherRegion, result.requests));
}

bool require(bool condition, const char *bound)
{
    if (!condition)
        std::printf("  bound violated: %s\n", bound);
    return condition;
}

bool checkBounds(const Scenario &scenario, const Measurement &result, const std::vector<Measurement> &baselines)
{
    bool boundsMet = require(result.requests > 1000, "more than 1000 requests measured");
    boundsMet &= require(result.answeredTwice == 0, "one answer for each request");
    boundsMet &= require(result.attemptsAboveSlots == 0, "no minion has more than 8 open attempts");
    boundsMet
        &= require(ratio(result.attempts, result.requests) <= maxAttemptsPerRequest, "attempts <= 1.1 x requests");
    if (scenario.load >= 2.0)
        boundsMet &= require(result.goodputShare >= minGoodputAtTwiceCapacity, "goodput >= 0.95 x capacity at 2 x");
    if (scenario.faults) {
        for (const Measurement &baseline : baselines)
            boundsMet &= require(result.waitP99 < baseline.waitP99, "99th percentile of waiting below each baseline");
    }
    return boundsMet;
}

std::vector<Variant> alternatives()
{
    return {{"shares, by report", BalancerKind::TwoChoicesByReport, SlotPolicyKind::Shares, true},
            {"shares, round robin", BalancerKind::RoundRobin, SlotPolicyKind::Shares, true},
            {"shares, random", BalancerKind::Random, SlotPolicyKind::Shares, true},
            {"credits, two choices", BalancerKind::TwoChoicesByShare, SlotPolicyKind::Credits, true},
            {"load reports", BalancerKind::TwoChoicesByReport, SlotPolicyKind::LoadReports, true}};
}

} // namespace

/// Prints a table of the scenarios and variants; fails when a bound is violated. `--check` measures only the variant
/// that entries use and the baselines; `--broken` replaces that variant by one without shares and admission control.
int main(int argc, char **argv)
{
    bool check = false;
    bool broken = false;
    for (int index = 1; index < argc; ++index) {
        check = check || std::strcmp(argv[index], "--check") == 0;
        broken = broken || std::strcmp(argv[index], "--broken") == 0;
    }
    const Variant checkedVariant
        = broken ? Variant{"broken", BalancerKind::Random, SlotPolicyKind::LoadReports, false} : entryVariant;
    std::printf("goodput: share of capacity; waiting in ms beyond the work itself; crossings: share of requests\n");
    std::printf("%-15s %4s  %-22s %7s %8s %7s %8s %8s %9s %8s %7s %7s\n", "scenario", "load", "variant", "goodput",
                "refused", "failed", "wait p50", "wait p99", "attempts", "above 8", "x-zone", "x-region");
    bool boundsMet = true;
    for (const Scenario &scenario : scenarios()) {
        std::vector<Measurement> baselines;
        for (const Variant &baseline : {roundRobin, randomChoice}) {
            baselines.push_back(Simulation(scenario, baseline, seed).run());
            print(scenario, baseline, baselines.back());
        }
        if (!check) {
            for (const Variant &variant : alternatives())
                print(scenario, variant, Simulation(scenario, variant, seed).run());
        }
        const Measurement result = Simulation(scenario, checkedVariant, seed).run();
        print(scenario, checkedVariant, result);
        boundsMet &= checkBounds(scenario, result, baselines);
    }
    return boundsMet ? 0 : 1;
}
