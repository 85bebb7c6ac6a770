#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Pistachio::Wire
{
class JobConfiguration;
class JobQueue;
} // namespace Pistachio::Wire

namespace Pistachio::Jobs
{

/// The teams of one configuration by their keys. The time of a lookup does not depend on the number of keys.
class TeamDirectory
{
public:
    static constexpr std::size_t maxKeyBytes = 4096; ///< longer ones belong to no team

    /// A directory without teams, which asks for no key.
    TeamDirectory() = default;
    explicit TeamDirectory(const Wire::JobConfiguration &configuration);

    /// \return the name of the team that the key belongs to; empty if there is none.
    [[nodiscard]] std::string_view teamOf(std::string_view key) const;

    /// \param key empty: none was given
    /// \return whether calls to the queue are answered with this key.
    [[nodiscard]] bool admits(const Wire::JobQueue &queue, std::string_view key) const;

    /// \param owner the team of a job; empty if it was submitted without a key in force
    /// \param team the caller's team; empty if it has none
    /// \return whether the caller may see the job.
    [[nodiscard]] static bool isVisible(std::string_view owner, std::string_view team);

    /// A caller without a team may own any job, as its key may have been removed since.
    /// \param owner see isVisible()
    /// \param team see isVisible()
    /// \return whether the caller may have submitted the job.
    [[nodiscard]] static bool mayOwn(std::string_view owner, std::string_view team);

private:
    struct KeyHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view key) const { return std::hash<std::string_view>{}(key); }
    };

    std::vector<std::string> names_;
    std::unordered_map<std::string, std::size_t, KeyHash, std::equal_to<>> teams_; ///< positions in names_, by key
};

} // namespace Pistachio::Jobs
