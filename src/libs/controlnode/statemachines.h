#pragma once

#include "cellstate/cellstate.h"
#include "replication/statemachine.h"
#include "zonestate/zonestate.h"

#include <functional>

namespace Pistachio::Controlnode
{

/// The state machine of the cell group.
class CellMachine final : public Replication::StateMachine
{
public:
    std::string apply(Replication::LogIndex index, std::string_view command) override;
    [[nodiscard]] std::string snapshot() const override { return state_.snapshot(); }
    Result<void> restore(std::string_view state) override { return state_.restore(state); }

    [[nodiscard]] const Cellstate::CellState &state() const { return state_; }

private:
    Cellstate::CellState state_;
};

/// The state machine of a zone group. It tells of each applied command, since the scheduler follows them.
class ZoneMachine final : public Replication::StateMachine
{
public:
    using Applied = std::function<void(const Wire::ZoneCommand &, const Wire::ZoneResult &)>;
    using Restored = std::function<void()>;

    std::string apply(Replication::LogIndex index, std::string_view command) override;
    [[nodiscard]] std::string snapshot() const override { return state_.snapshot(); }
    Result<void> restore(std::string_view state) override;

    [[nodiscard]] const ZoneState::ZoneState &state() const { return state_; }
    void setObservers(Applied applied, Restored restored);

private:
    ZoneState::ZoneState state_;
    Applied applied_;
    Restored restored_;
};

} // namespace Pistachio::Controlnode
