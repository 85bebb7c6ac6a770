#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Pistachio::EndToEnd
{

/// What the stand-in workers wrote about the tasks they ran.
class JournalView
{
public:
    /// \param path the journal of all workers
    /// \param deaths when workers were killed, by their identifiers; their tasks ended then
    JournalView(const std::string &path, const std::map<std::string, std::int64_t> &deaths);

    struct Run {
        std::string worker;
        std::int64_t begin = 0;
        std::int64_t end = 0; ///< the largest value while it runs
        std::uint64_t incarnation = 0;
    };

    /// \param prefix the beginning of the tasks' names, such as "booking/"
    /// \return the number of tasks that run now.
    [[nodiscard]] std::size_t running(const std::string &prefix) const;

    /// \param prefix the beginning of the tasks' names
    /// \return the number of tasks that ran to an end or run now.
    [[nodiscard]] std::size_t started(const std::string &prefix) const;

    /// \return the tasks that ran twice at the same time, with the workers.
    [[nodiscard]] std::vector<std::string> overlaps() const;

    [[nodiscard]] const std::map<std::string, std::vector<Run>> &runs() const { return runs_; }

private:
    std::map<std::string, std::vector<Run>> runs_;
};

} // namespace Pistachio::EndToEnd
