#pragma once

#include "core/time.h"

#include <optional>
#include <string_view>

namespace Pistachio::Jobs
{

struct LeaseAnswer;
struct Run;
struct TaskName;

/// Why the leader knows that a run has ended and won't begin later. A run that is missing from a list proves nothing.
class EndProof
{
public:
    /// The minion has confirmed a stop, and what it listed afterwards shows that the stop is over.
    /// \param asked when the renewal was sent that \p answer belongs to
    /// \param stopTimeout the longest time of a stop; decides where the list of active runs can't be read in full
    [[nodiscard]] static std::optional<EndProof>
    stopped(const TaskName &task, const Run &run, const LeaseAnswer &answer, TimePoint asked, Duration stopTimeout);

    /// \return a name for the log.
    [[nodiscard]] std::string_view name() const { return name_; }

private:
    explicit EndProof(std::string_view name)
        : name_(name)
    {
    }

    std::string_view name_;
};

/// \return whether the lists of an answer lack a run, be it active or ended, and nothing is missing from them.
[[nodiscard]] bool isAbsent(const TaskName &task, const Run &run, const LeaseAnswer &answer);

/// \return whether an answer lists a run as active.
[[nodiscard]] bool isListedActive(const TaskName &task, const Run &run, const LeaseAnswer &answer);

} // namespace Pistachio::Jobs
