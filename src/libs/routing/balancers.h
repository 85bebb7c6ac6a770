#pragma once

#include "routing/balancer.h"

#include <cstddef>

namespace Pistachio::Routing
{

/// Draws two minions at random and chooses the one with the lower load: the used part of this entry's allowance,
/// multiplied by the smoothed latency of the minion.
class TwoChoicesByShare : public Balancer
{
public:
    Choice choose(std::span<const Candidate> candidates, RandomSource &random) override;
    [[nodiscard]] std::string_view name() const override { return "two-choices-share"; }
};

/// Draws two minions at random and chooses the one with the smaller part of its slots in use: those last announced as
/// in use, plus this entry's requests in flight.
class TwoChoicesByReport : public Balancer
{
public:
    Choice choose(std::span<const Candidate> candidates, RandomSource &random) override;
    [[nodiscard]] std::string_view name() const override { return "two-choices-report"; }
};

/// Chooses the minions one after the other. A baseline for the benchmark.
class RoundRobin : public Balancer
{
public:
    Choice choose(std::span<const Candidate> candidates, RandomSource &random) override;
    [[nodiscard]] std::string_view name() const override { return "round-robin"; }

private:
    std::size_t next_ = 0;
};

/// Chooses a minion at random. A baseline for the benchmark.
class RandomChoice : public Balancer
{
public:
    Choice choose(std::span<const Candidate> candidates, RandomSource &random) override;
    [[nodiscard]] std::string_view name() const override { return "random"; }
};

} // namespace Pistachio::Routing
