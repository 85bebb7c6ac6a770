#pragma once

#include "core/time.h"
#include "logging/logfield.h"
#include "transport/message.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Pistachio::Jobnode
{

/// What an OrderRelay needs of its process.
class OrderRelayPorts
{
public:
    OrderRelayPorts() = default;
    OrderRelayPorts(const OrderRelayPorts &) = delete;
    OrderRelayPorts &operator=(const OrderRelayPorts &) = delete;
    virtual ~OrderRelayPorts() = default;

    [[nodiscard]] virtual TimePoint now() const = 0;

    /// \return the availability zone of the minion, or nothing of the kind if it isn't known.
    [[nodiscard]] virtual std::string_view zoneOf(const std::string &minion) const = 0;

    /// Hands a batch of orders to another instance.
    /// \param orders a Wire::JobOrders
    virtual void handOver(const std::string &instance, std::string orders, Duration limit,
                          Transport::CallCompletion completion)
        = 0;

    virtual void log(std::string_view event, std::initializer_list<Logging::LogField> fields) = 0;
};

} // namespace Pistachio::Jobnode
