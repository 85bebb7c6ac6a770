#pragma once

#include "jobs/minion.h"

#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Pistachio::Jobs
{

/// The effect of a minion's report.
enum class ReportEffect : std::uint8_t {
    Stale, ///< out of order, or from an earlier incarnation
    Unchanged, ///< no change that must be stored
    Changed, ///< a new incarnation, or an announcement that the minion leaves
};

/// The minions known to the leader, by id.
class Fleet
{
public:
    /// Applies a report.
    /// \param replaced receives the incarnations that the report shows to be gone: an earlier one with the same id, or
    /// an earlier one at the same address
    ReportEffect report(const MinionReport &report, std::vector<MinionIncarnation> &replaced);

    /// \return the minion if this incarnation is known, or null.
    Minion *find(const MinionIncarnation &incarnation);
    [[nodiscard]] const Minion *find(const MinionIncarnation &incarnation) const;
    Minion *find(const std::string &id);
    void add(MinionReport report);
    void remove(const std::string &id);
    void clear();

    /// \return the minions that report \p service, by id.
    [[nodiscard]] std::span<Minion *const> minionsOf(const std::string &service) const;

    [[nodiscard]] std::map<std::string, Minion> &minions() { return minions_; }
    [[nodiscard]] const std::map<std::string, Minion> &minions() const { return minions_; }

private:
    void removeAddress(const Minion &minion);
    std::size_t takeSlot();
    void addToService(Minion &minion);
    void removeFromService(const Minion &minion);

    std::map<std::string, Minion> minions_;
    // Reports and planning look up hundreds of minions per round, so lookups are hashed.
    std::unordered_map<std::string, Minion *> byId_;
    std::unordered_multimap<std::string, Minion *> byAddress_;
    std::map<std::string, std::vector<Minion *>> byService_; ///< sorted by id
    std::vector<std::size_t> freeSlots_;
};

} // namespace Pistachio::Jobs
