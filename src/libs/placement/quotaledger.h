#pragma once

#include "core/identifier.h"
#include "core/resources.h"

#include <unordered_map>

namespace Pistachio::Placement
{

/// Tracks the resources that each team uses against its quota. A team without a quota is not limited.
class QuotaLedger
{
public:
    /// Replaces all limits.
    void setLimits(std::unordered_map<TeamId, Resources> limits);

    /// \return whether the team may use \p amount more.
    [[nodiscard]] bool allows(const TeamId &team, const Resources &amount) const;

    void charge(const TeamId &team, const Resources &amount);
    void refund(const TeamId &team, const Resources &amount);

    [[nodiscard]] Resources used(const TeamId &team) const;

    /// \return the limit, or null.
    [[nodiscard]] const Resources *limit(const TeamId &team) const;

private:
    std::unordered_map<TeamId, Resources> limits_;
    std::unordered_map<TeamId, Resources> used_;
};

} // namespace Pistachio::Placement
