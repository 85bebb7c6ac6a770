#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Pistachio::Routing
{

struct MinionAnnouncement;

/// The position of this entry among the live entries of its zone.
struct EntryRank {
    std::size_t position = 0;
    std::size_t count = 1;
};

/// Decides how many slots of a minion this entry may use.
class SlotPolicy
{
public:
    virtual ~SlotPolicy() = default;

    /// \param minion the last announcement of the minion
    /// \param rank the rank of this entry among the entries that share the minion
    /// \param inFlightWhenAnnounced requests that this entry had in flight at the minion when it was announced
    /// \return how many slots this entry may use at the same time.
    [[nodiscard]] virtual std::uint32_t allowance(const MinionAnnouncement &minion, EntryRank rank,
                                                  std::uint32_t inFlightWhenAnnounced) const = 0;

    /// \return the name used in reports.
    [[nodiscard]] virtual std::string_view name() const = 0;
};

} // namespace Pistachio::Routing
