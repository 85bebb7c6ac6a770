#pragma once

#include "core/result.h"
#include "replication/types.h"

#include <string>
#include <string_view>

namespace Pistachio::Replication
{

/// The state that a group replicates. It must be deterministic: the same commands in the same order give the
/// same state and answers.
class StateMachine
{
public:
    StateMachine() = default;
    StateMachine(const StateMachine &) = delete;
    StateMachine &operator=(const StateMachine &) = delete;
    virtual ~StateMachine() = default;

    /// Applies a committed command. A command that is rejected changes nothing and reports that in its answer.
    /// \param index the command's position in the log
    /// \param command the proposed bytes
    /// \return the answer for the proposer.
    virtual std::string apply(LogIndex index, std::string_view command) = 0;

    /// \return the serialised state.
    [[nodiscard]] virtual std::string snapshot() const = 0;

    /// Replaces the state.
    /// \param state what snapshot() returned on this or another instance
    /// \return an error when the bytes are no valid state; the replica then stops.
    virtual Result<void> restore(std::string_view state) = 0;
};

} // namespace Pistachio::Replication
