#pragma once

#include "routing/slotpolicy.h"

namespace Pistachio::Routing
{

/// Divides the slots evenly; the remainder goes to entries that differ from minion to minion.
class FixedShares : public SlotPolicy
{
public:
    [[nodiscard]] std::uint32_t allowance(const MinionAnnouncement &minion, EntryRank rank,
                                          std::uint32_t inFlightWhenAnnounced) const override;
    [[nodiscard]] std::string_view name() const override { return "shares"; }
};

/// Uses what the minion granted to this entry, or the fixed share when it grants nothing.
class MinionCredits : public SlotPolicy
{
public:
    [[nodiscard]] std::uint32_t allowance(const MinionAnnouncement &minion, EntryRank rank,
                                          std::uint32_t inFlightWhenAnnounced) const override;
    [[nodiscard]] std::string_view name() const override { return "credits"; }
};

/// Uses every slot that the last report did not show as used by others. Relies on the minion to refuse the excess.
class LoadReports : public SlotPolicy
{
public:
    [[nodiscard]] std::uint32_t allowance(const MinionAnnouncement &minion, EntryRank rank,
                                          std::uint32_t inFlightWhenAnnounced) const override;
    [[nodiscard]] std::string_view name() const override { return "load-reports"; }
};

/// Divides only the connections, so that requests wait at the minion. A baseline for measurements.
class ConnectionShares : public SlotPolicy
{
public:
    [[nodiscard]] std::uint32_t allowance(const MinionAnnouncement &minion, EntryRank rank,
                                          std::uint32_t inFlightWhenAnnounced) const override;
    [[nodiscard]] std::string_view name() const override { return "connections"; }
};

} // namespace Pistachio::Routing
