#pragma once

#include "core/result.h"
#include "core/taskid.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Pistachio::StandinWorker
{

/// Appends a line for each start and stop of a task: "<monotonic us> <start|stop> <task> <incarnation> <worker>
/// <reason>". Several processes may append to the same file; each line is one write.
class Journal
{
public:
    Journal() = default;
    ~Journal();
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    /// \param path the file; an empty path writes nothing
    Result<void> open(const std::string &path);

    void write(std::string_view event, const TaskId &task, std::uint64_t incarnation, const WorkerId &worker,
               std::string_view reason) const;

private:
    int descriptor_ = -1;
};

} // namespace Pistachio::StandinWorker
