#pragma once

#include <string>

namespace Pistachio::Jobnode
{

/// Is told what happens to the connections to other instances.
class PeerObserver
{
public:
    PeerObserver() = default;
    PeerObserver(const PeerObserver &) = delete;
    PeerObserver &operator=(const PeerObserver &) = delete;
    virtual ~PeerObserver() = default;

    /// The connection ended; the instance may be up or not.
    virtual void connectionLost(const std::string &ip) = 0;
    /// Nothing listens at the instance's address.
    virtual void connectionRefused(const std::string &ip) = 0;
};

} // namespace Pistachio::Jobnode
