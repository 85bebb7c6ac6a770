#pragma once

#include "core/boundedring.h"
#include "routing/commands.h"
#include "routing/entryview.h"
#include "routing/events.h"
#include "routing/minion.h"
#include "routing/request.h"

#include <cstddef>
#include <variant>
#include <vector>

namespace Pistachio::Entrynode
{

struct MinionLeft {
    MinionId minion;
};

/// The live entries of the zone changed.
struct EntriesChanged {
    std::vector<Routing::EntryInfo> entries;
};

/// The time that the decisions asked for has come.
struct Tick {
};

/// Refuse what arrives from now on.
struct Drain {
};

/// From the network to the decisions.
using Event = std::variant<std::monostate, Routing::Request, Routing::ClaimResult, Routing::AttemptResult,
                           Routing::MinionAnnouncement, MinionLeft, EntriesChanged, Routing::PeerReport, Tick, Drain>;

/// What the network needs to know of the decisions; sent after each round.
struct Status {
    TimePoint nextTick;
    std::size_t openRequests = 0;
    std::size_t queuedRequests = 0;
    std::size_t usableMinions = 0;
    std::vector<Routing::ServiceLoad> loads;
};

/// From the decisions to the network.
using Order = std::variant<std::monostate, Routing::SendCommand, Routing::ForwardCommand, Routing::CancelCommand,
                           Routing::ClaimCommand, Routing::FinishCommand, Routing::AnswerCommand, Status>;

using EventRing = BoundedRing<Event>;
using OrderRing = BoundedRing<Order>;

} // namespace Pistachio::Entrynode
