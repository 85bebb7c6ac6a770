#pragma once

#include "transport/http2client.h"
#include "transport/message.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Pistachio::Transport
{
class EventLoop;
class MemoryBudget;
} // namespace Pistachio::Transport

namespace Pistachio::Jobnode
{

class PeerObserver;

/// The connections to the internal ports of other instances, one for each.
class Peers
{
public:
    /// \param loop outlives the peers
    /// \param port the internal port of every instance
    /// \param localIp where connections leave from; empty: the system chooses
    /// \param observer is told of lost connections; null: nobody
    /// \param memory for what the peers answer; null: one for each connection
    Peers(Transport::EventLoop &loop, std::uint16_t port, std::string localIp, PeerObserver *observer = nullptr,
          std::shared_ptr<Transport::MemoryBudget> memory = nullptr);
    ~Peers();

    /// \param ip the other instance
    /// \param target the path
    /// \param limit until the answer is a timeout
    void call(std::string_view ip, std::string_view target, std::string body, Duration limit,
              Transport::CallCompletion completion);

private:
    Transport::EventLoop &loop_;
    const std::uint16_t port_;
    const std::string localIp_;
    PeerObserver *const observer_;
    const std::shared_ptr<Transport::MemoryBudget> memory_;
    bool closing_ = false;
    std::map<std::string, std::unique_ptr<Transport::Http2Client>, std::less<>> clients_;
};

} // namespace Pistachio::Jobnode
