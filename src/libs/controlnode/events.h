#pragma once

#include "core/boundedring.h"
#include "core/time.h"
#include "transport/message.h"

#include <cstdint>
#include <variant>

namespace Pistachio::Controlnode
{

enum class Port : std::uint8_t { Internal, Operator, Worker };

/// Lets time pass on the decision thread.
struct Tick {
};

/// A request that the decision thread answers.
struct IncomingRequest {
    Port port = Port::Internal;
    Transport::Request request;
    Transport::Responder responder;
};

/// The end of a call to another instance.
struct PeerAnswer {
    std::uint64_t call = 0;
    Transport::CallResult result;
};

/// Begin to stop: release what waits, take no new work.
struct DrainRequested {
};

/// All requests are answered; the decision thread ends.
struct StopRequested {
};

/// What the network thread hands to the decision thread.
using Event = std::variant<Tick, IncomingRequest, PeerAnswer, DrainRequested, StopRequested>;
using EventRing = BoundedRing<Event>;

/// A call that the decision thread hands to the network thread.
struct PeerCall {
    std::uint64_t id = 0; ///< 0: nobody waits for the answer
    Transport::Endpoint peer;
    Transport::Request request;
    Duration timeout{};
};

} // namespace Pistachio::Controlnode
