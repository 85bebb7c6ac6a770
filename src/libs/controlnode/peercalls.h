#pragma once

#include "controlnode/events.h"
#include "core/time.h"
#include "transport/message.h"

#include <cstdint>
#include <map>

namespace Pistachio::Controlnode
{

class Network;

/// Calls of the decision thread to other instances. Each call ends exactly once, by its answer or by its deadline.
class PeerCalls
{
public:
    explicit PeerCalls(Network &network);

    /// \param peer the internal port of the other instance
    /// \param request what to send
    /// \param limit until the answer is a timeout
    /// \param completion gets the response or the failure; called on the decision thread, possibly at once
    void call(TimePoint now, const Transport::Endpoint &peer, Transport::Request request, Duration limit,
              Transport::CallCompletion completion);

    /// Sends without waiting for an answer.
    void send(const Transport::Endpoint &peer, Transport::Request request);

    void answered(PeerAnswer answer);
    void tick(TimePoint now);

private:
    struct Pending {
        TimePoint deadline;
        Transport::CallCompletion completion;
    };

    Network &network_;
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t nextId_ = 1;
};

} // namespace Pistachio::Controlnode
