#pragma once

#include "core/time.h"

#include <optional>
#include <string_view>

namespace Pistachio::Jobs
{

struct LeaseAnswer;
struct Minion;
struct Run;
struct TaskName;

/// Why the leader knows that a run has ended and won't begin later. The end of a run can't be proposed without one; the
/// rule is in section 4.13 of docs/design.md.
///
/// A run that is missing from a list, a minion that leaves, a new incarnation and a late message prove nothing.
class EndProof
{
public:
    /// The minion has listed the end.
    [[nodiscard]] static EndProof listed();

    /// The minion has confirmed a stop, and what it listed afterwards shows that the stop is over.
    /// \param asked when the renewal was sent that \p answer belongs to
    /// \param stopTimeout the longest time of a stop; decides where the list of active runs can't be read in full
    [[nodiscard]] static std::optional<EndProof>
    stopped(const TaskName &task, const Run &run, const LeaseAnswer &answer, TimePoint asked, Duration stopTimeout);

    /// The minion's lease is over, and so is that of a later incarnation if it could have got the start.
    [[nodiscard]] static std::optional<EndProof> leaseOver(const Minion &minion, const Run &run, TimePoint now);
    /// \param end when all leases are over under which the run could work
    [[nodiscard]] static std::optional<EndProof> leaseOver(TimePoint end, TimePoint now);

    /// No order to start the run was sent.
    [[nodiscard]] static std::optional<EndProof> neverOrdered(const Run &run);

    /// The only order to start the run was refused.
    [[nodiscard]] static std::optional<EndProof> refused(const Run &run);

    [[nodiscard]] bool isListed() const;
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
