#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Pistachio::Routing
{

struct MinionAnnouncement;

/// This entry's place among the live entries of its zone.
struct EntryRank {
    std::size_t position = 0;
    std::size_t count = 1;
};

/// Decides how many slots of a minion this entry may use.
class SlotPolicy
{
public:
    virtual ~SlotPolicy() = default;

    /// \param minion as last announced
    /// \param rank this entry among the entries that share the minion
    /// \param inFlightWhenAnnounced requests of this entry at the announcement
    /// \return slots this entry may use at the same time.
    [[nodiscard]] virtual std::uint32_t allowance(const MinionAnnouncement &minion, EntryRank rank,
                                                  std::uint32_t inFlightWhenAnnounced) const = 0;

    /// \return the name used in reports.
    [[nodiscard]] virtual std::string_view name() const = 0;
};

} // namespace Pistachio::Routing
