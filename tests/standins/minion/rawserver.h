#pragma once

#include "core/result.h"
#include "transport/message.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Pistachio::Transport
{
class EventLoop;
}

namespace Pistachio::StandinMinion
{

/// Sends a response; a truncated one declares the whole body, sends half of it and closes the connection.
using Reply = std::function<void(const Transport::Response &response, bool truncated)>;
using Handler = std::function<void(const Transport::Request &request, const Reply &reply)>;

/// An HTTP/1.1 server that can send wrong responses, which the transport library never does.
class RawServer
{
public:
    RawServer(Transport::EventLoop &loop, std::size_t mostConnections, Handler handler);
    ~RawServer();

    Result<std::uint16_t> listen();
    void close();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace Pistachio::StandinMinion
