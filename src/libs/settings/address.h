#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Pistachio::Settings
{

/// An IP address and a TCP port.
struct Address {
    std::string ip;
    std::uint16_t port = 0; ///< 0 lets the system choose

    bool operator==(const Address &) const = default;

    /// \param text "<IPv4>:<port>" or "[<IPv6>]:<port>"
    /// \return the address, or what is wrong with the text.
    static Result<Address> parse(std::string_view text);

    /// \return the form that parse() reads.
    [[nodiscard]] std::string toString() const;
};

} // namespace Pistachio::Settings
