#include "settings/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace Pistachio::Settings
{

namespace
{

bool isIp(const std::string &ip)
{
    in6_addr buffer{};
    return inet_pton(AF_INET, ip.c_str(), &buffer) == 1 || inet_pton(AF_INET6, ip.c_str(), &buffer) == 1;
}

} // namespace

Result<Address> Address::parse(std::string_view text)
{
    const auto invalid = [text](std::string_view reason) {
        return failure(ErrorCode::InvalidArgument, "'" + std::string(text) + "' " + std::string(reason));
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid("has no port; write <ip>:<port>");

    std::string_view ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    Address address{std::string(ip), 0};
    if (!isIp(address.ip))
        return invalid("is not an IP address with a port; host names are not resolved");

    const std::string_view port = text.substr(colon + 1);
    const auto [end, status] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (status != std::errc() || end != port.data() + port.size())
        return invalid("has a port that is not a number from 0 to 65535");
    return address;
}

std::string Address::toString() const
{
    const bool isIpv6 = ip.find(':') != std::string::npos;
    return (isIpv6 ? '[' + ip + ']' : ip) + ':' + std::to_string(port);
}

} // namespace Pistachio::Settings
