#include "jobs/teamdirectory.h"

#include <jobs.pb.h>

namespace Pistachio::Jobs
{

TeamDirectory::TeamDirectory(const Wire::JobConfiguration &configuration)
{
    std::size_t keys = 0;
    for (const auto &team : configuration.teams())
        keys += static_cast<std::size_t>(team.keys_size());
    teams_.reserve(keys);
    for (const auto &team : configuration.teams()) {
        for (const auto &key : team.keys()) {
            if (!key.empty())
                teams_.try_emplace(key, names_.size());
        }
        names_.push_back(team.name());
    }
}

std::string_view TeamDirectory::teamOf(std::string_view key) const
{
    const auto found = teams_.find(key);
    return found == teams_.end() ? std::string_view() : std::string_view(names_[found->second]);
}

bool TeamDirectory::admits(const Wire::JobQueue &queue, std::string_view key) const
{
    return names_.empty() || queue.anonymous() || !teamOf(key).empty();
}

bool TeamDirectory::isVisible(std::string_view owner, std::string_view team)
{
    return owner.empty() || owner == team;
}

bool TeamDirectory::mayOwn(std::string_view owner, std::string_view team)
{
    return team.empty() || isVisible(owner, team);
}

} // namespace Pistachio::Jobs
