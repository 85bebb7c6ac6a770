#pragma once

#include <cstddef>

namespace Pistachio::Jobnode
{

/// The shares of a process's file descriptors. What they leave of the limit is a reserve for the log, snapshots,
/// replication, listeners and signals, which no share may use.
struct DescriptorBudget {
    std::size_t calls = 0; ///< connections to minions and to the advice service
    std::size_t served = 0; ///< connections of minions and operators, or of callers
    std::size_t internal = 0; ///< connections of other instances
    std::size_t metrics = 0; ///< connections to the metrics address

    /// \param limit the most descriptors that the process may hold
    /// \return the shares of a control instance, which calls all minions when it leads.
    [[nodiscard]] static DescriptorBudget forControl(std::size_t limit);
    /// \return the shares of an entry, which serves callers.
    [[nodiscard]] static DescriptorBudget forEntry(std::size_t limit);

    [[nodiscard]] std::size_t sum() const { return calls + served + internal + metrics; }
};

} // namespace Pistachio::Jobnode
