#pragma once

#include "routing/balancer.h"

#include <cstddef>

namespace Pistachio::Routing
{

/// Draws two minions and takes the one on which this entry's share is used less, weighted by how long its answers take.
class TwoChoicesByShare : public Balancer
{
public:
    Choice choose(std::span<const Candidate> candidates, RandomSource &random) override;
    [[nodiscard]] std::string_view name() const override { return "two-choices-share"; }
};

/// Draws two minions and takes the one that reported fewer slots in use by all entries.
class TwoChoicesByReport : public Balancer
{
public:
    Choice choose(std::span<const Candidate> candidates, RandomSource &random) override;
    [[nodiscard]] std::string_view name() const override { return "two-choices-report"; }
};

/// Takes one minion after the other. A baseline for measurements.
class RoundRobin : public Balancer
{
public:
    Choice choose(std::span<const Candidate> candidates, RandomSource &random) override;
    [[nodiscard]] std::string_view name() const override { return "round-robin"; }

private:
    std::size_t next_ = 0;
};

/// Takes any minion. A baseline for measurements.
class RandomChoice : public Balancer
{
public:
    Choice choose(std::span<const Candidate> candidates, RandomSource &random) override;
    [[nodiscard]] std::string_view name() const override { return "random"; }
};

} // namespace Pistachio::Routing
