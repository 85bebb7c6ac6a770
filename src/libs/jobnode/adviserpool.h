#pragma once

#include "core/time.h"
#include "jobs/orders.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Pistachio::Jobnode
{

class AdviceClient;
class Peers;

/// Spreads requests for advice over this instance and the others, since the service answers one call at a time for
/// each of them.
class AdviserPool
{
public:
    using Answered = std::function<void(bool answered, std::vector<Jobs::ApprovedMinion> approved)>;

    /// \param own asks from this instance
    /// \param peers reaches the others
    AdviserPool(AdviceClient &own, Peers &peers);

    /// Another instance is there to ask for this one.
    void peerSeen(TimePoint now, const std::string &ip);

    [[nodiscard]] std::size_t idle(TimePoint now) const;

    /// \param answered called exactly once, later
    void ask(TimePoint now, const Jobs::AdviceRequest &request, Answered answered);

private:
    struct Adviser {
        TimePoint lastSeen{};
        TimePoint notBefore{}; ///< it failed
        std::size_t outstanding = 0;
        std::uint64_t asked = 0;
    };

    [[nodiscard]] static bool isIdle(const Adviser &adviser, TimePoint now);

    AdviceClient &own_;
    Peers &peers_;
    std::map<std::string, Adviser> advisers_; ///< by address; this instance under an empty one
};

} // namespace Pistachio::Jobnode
