#include "routing/balancers.h"

#include "core/random.h"

#include <algorithm>

namespace Pistachio::Routing
{

namespace
{

Choice drawTwo(std::size_t count, RandomSource &random)
{
    const std::size_t chosen = random.below(count);
    if (count == 1)
        return {chosen, chosen};
    const std::size_t other = (chosen + 1 + random.below(count - 1)) % count;
    return {chosen, other};
}

template<class Load> Choice lessLoaded(std::span<const Candidate> candidates, RandomSource &random, Load load)
{
    const Choice drawn = drawTwo(candidates.size(), random);
    if (load(candidates[drawn.other]) < load(candidates[drawn.chosen]))
        return {drawn.other, drawn.chosen};
    return drawn;
}

} // namespace

Choice TwoChoicesByShare::choose(std::span<const Candidate> candidates, RandomSource &random)
{
    return lessLoaded(candidates, random, [](const Candidate &candidate) {
        const double used = static_cast<double>(candidate.inFlight + 1) / candidate.allowance;
        return used * static_cast<double>(std::max<Duration::rep>(candidate.latency.count(), 1));
    });
}

Choice TwoChoicesByReport::choose(std::span<const Candidate> candidates, RandomSource &random)
{
    return lessLoaded(candidates, random, [](const Candidate &candidate) {
        return static_cast<double>(candidate.slotsInUse + candidate.inFlight) / candidate.slots;
    });
}

Choice RoundRobin::choose(std::span<const Candidate> candidates, RandomSource &)
{
    const std::size_t chosen = next_++ % candidates.size();
    return {chosen, chosen};
}

Choice RandomChoice::choose(std::span<const Candidate> candidates, RandomSource &random)
{
    const std::size_t chosen = random.below(candidates.size());
    return {chosen, chosen};
}

} // namespace Pistachio::Routing
