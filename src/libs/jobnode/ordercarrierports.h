#pragma once

#include "core/time.h"

#include <functional>
#include <string>

namespace Pistachio::Jobnode
{

/// What an OrderCarrier needs of its process.
class OrderCarrierPorts
{
public:
    OrderCarrierPorts() = default;
    OrderCarrierPorts(const OrderCarrierPorts &) = delete;
    OrderCarrierPorts &operator=(const OrderCarrierPorts &) = delete;
    virtual ~OrderCarrierPorts() = default;

    /// \return a clock that goes on while the machine is suspended.
    [[nodiscard]] virtual Duration suspensionClock() const = 0;

    /// \param function called once after \p delay; replaces one that waits
    virtual void callLater(Duration delay, std::function<void()> function) = 0;

    /// Hands answers to the leader.
    /// \param answers a Wire::JobOrderAnswers
    virtual void answerLeader(const std::string &leader, std::string answers) = 0;
};

} // namespace Pistachio::Jobnode
