#pragma once

#include "jobs/minion.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Pistachio::Jobs
{

/// What a report changed.
enum class ReportEffect : std::uint8_t {
    Stale, ///< late, or of a life that has ended
    Known, ///< nothing that must be stored
    New, ///< a new life, or its announcement to leave
};

/// All minions that the leader knows, by id.
class Fleet
{
public:
    /// Takes a report.
    /// \param replaced gets the ids of minions that the report shows to be gone: an earlier life under the same id, or
    /// an earlier holder of the address
    ReportEffect report(const MinionReport &report, std::vector<MinionIncarnation> &replaced);

    /// \return the minion if that life is known, or null.
    Minion *find(const MinionIncarnation &incarnation);
    [[nodiscard]] const Minion *find(const MinionIncarnation &incarnation) const;
    Minion *find(const std::string &id);
    void add(MinionReport report);
    void remove(const std::string &id);
    void clear();

    [[nodiscard]] std::map<std::string, Minion> &minions() { return minions_; }
    [[nodiscard]] const std::map<std::string, Minion> &minions() const { return minions_; }

private:
    void forgetAddress(const Minion &minion);

    std::map<std::string, Minion> minions_;
    // Reports and planning look up hundreds of minions in each round.
    std::unordered_map<std::string, Minion *> byId_;
    std::unordered_multimap<std::string, Minion *> byAddress_;
};

} // namespace Pistachio::Jobs
