#pragma once

#include "entrynode/callerapi.h"
#include "entrynode/events.h"
#include "transport/httpclient.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Pistachio::Metrics
{
class Registry;
}

namespace Pistachio::Wire
{
class ForwardedRequest;
class RequestRecord;
class ZoneResult;
} // namespace Pistachio::Wire

namespace Pistachio::Entrynode
{

class ClaimSettlement;
class ConfigurationState;
class FinishQueue;
class PeerLinks;
class ZoneClient;

/// Holds the content of requests and answers, and carries out the orders of the decisions on the network.
class RequestProxy
{
public:
    /// Takes events that must not be lost.
    using Deliver = std::function<void(Event)>;

    /// The parts of the process that orders are carried out with.
    struct Links {
        Transport::EventLoop &loop;
        PeerLinks &peers;
        ZoneClient &zones;
        FinishQueue &finishes;
        ClaimSettlement &settlement;
        const ConfigurationState &configuration;
        Metrics::Registry &metrics;
    };

    /// \param links outlive the proxy
    /// \param entry identifier and zone of this entry
    /// \param deliver hands events to the decisions
    RequestProxy(const Links &links, InstanceId entry, ZoneId zone, std::size_t maxBodyBytes, Deliver deliver);
    ~RequestProxy();

    /// Keeps a caller's request.
    /// \return the event that asks for a decision.
    Routing::Request accept(const Routing::RequestId &id, ServiceRequest parsed, Transport::Request request,
                            Duration timeout, Transport::Responder responder);
    /// Keeps a request that another entry handed over.
    Routing::Request acceptForwarded(const Routing::RequestId &id, const Wire::ForwardedRequest &forwarded,
                                     Transport::Responder responder);
    /// A full queue of the largest requests would not fit into the memory of a small instance.
    static constexpr std::size_t mostHeldBytes = std::size_t{256} << 20;

    /// \param bytes the size of a new request's content
    /// \return whether the content of all open requests stays within the limit.
    [[nodiscard]] bool hasRoomFor(std::size_t bytes) const;
    /// Drops a request that the decisions did not get.
    void refuse(const Routing::RequestId &id);

    void execute(const Order &order);
    /// Asks callers to close their connections after each answer.
    void closeConnections() { closing_ = true; }

private:
    struct Pending;

    void send(const Routing::SendCommand &command);
    void forward(const Routing::ForwardCommand &command);
    void claim(const Routing::ClaimCommand &command);
    void claimAnswered(const Routing::ClaimCommand &command, const Result<Wire::ZoneResult> &result);
    Routing::ClaimState takenBy(const Routing::ClaimCommand &command, const Wire::RequestRecord &record);
    void finish(const Routing::FinishCommand &command);
    void answer(const Routing::AnswerCommand &command);
    void attemptEnded(const Routing::RequestId &request, const Routing::AttemptId &attempt,
                      Transport::CallResult result);
    void forwardEnded(const Routing::RequestId &request, const Routing::AttemptId &attempt,
                      const Transport::CallResult &result);
    [[nodiscard]] Pending *find(const Routing::RequestId &id);
    void keepAnswer(const Routing::RequestId &request, const Routing::AttemptId &attempt, Transport::Response response);

    Links links_;
    InstanceId entry_;
    ZoneId zone_;
    Deliver deliver_;
    std::unordered_map<Routing::RequestId, Pending> pending_;
    std::size_t heldBytes_ = 0; ///< content of the requests in pending_
    bool closing_ = false;
    bool stopped_ = false;
    std::unique_ptr<Transport::HttpClient> minions_;
};

} // namespace Pistachio::Entrynode
