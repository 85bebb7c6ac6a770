#pragma once

#include "replication/message.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Pistachio::Jobnode
{

/// Keeps the messages to one member in order. Streams of one HTTP/2 connection overtake each other once a body needs
/// several frames, and a follower refuses entries that come before their predecessors.
class MessageQueue
{
public:
    void add(Replication::Message message);

    /// \return the encoded messages that may be sent now, all that wait; empty when none may.
    std::string takeBatch();

    /// A batch was answered, or got lost.
    /// \param bytes its size
    /// \param arrived false drops what waits, which is old by now; replication repeats it
    void finished(std::size_t bytes, bool arrived);

private:
    std::vector<Replication::Message> waiting_;
    std::size_t waitingBytes_ = 0;
    std::size_t underWayBytes_ = 0;
};

} // namespace Pistachio::Jobnode
