#pragma once

#include "routing/slotpolicy.h"

namespace Pistachio::Routing
{

/// Divides the slots evenly. Which entries get the remainder differs from minion to minion.
class FixedShares : public SlotPolicy
{
public:
    [[nodiscard]] std::uint32_t allowance(const MinionAnnouncement &minion, EntryRank rank,
                                          std::uint32_t inFlightWhenAnnounced) const override;
    [[nodiscard]] std::string_view name() const override { return "shares"; }
};

/// Uses the slots that the minion granted to this entry, or the fixed share when it grants none.
class MinionCredits : public SlotPolicy
{
public:
    [[nodiscard]] std::uint32_t allowance(const MinionAnnouncement &minion, EntryRank rank,
                                          std::uint32_t inFlightWhenAnnounced) const override;
    [[nodiscard]] std::string_view name() const override { return "credits"; }
};

/// Uses all slots that other entries did not use at the last announcement. The minion has to refuse excess requests.
class LoadReports : public SlotPolicy
{
public:
    [[nodiscard]] std::uint32_t allowance(const MinionAnnouncement &minion, EntryRank rank,
                                          std::uint32_t inFlightWhenAnnounced) const override;
    [[nodiscard]] std::string_view name() const override { return "load-reports"; }
};

/// Divides the connections instead of the slots, so that requests wait at the minion. A baseline for the benchmark.
class ConnectionShares : public SlotPolicy
{
public:
    [[nodiscard]] std::uint32_t allowance(const MinionAnnouncement &minion, EntryRank rank,
                                          std::uint32_t inFlightWhenAnnounced) const override;
    [[nodiscard]] std::string_view name() const override { return "connections"; }
};

} // namespace Pistachio::Routing
