#include "transport/message.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <charconv>
#include <tuple>
#include <utility>

namespace Pistachio::Transport
{

namespace
{

bool equalNames(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

} // namespace

std::string_view headerValue(const Headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [name](const Header &header) { return equalNames(header.name, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

struct Responder::State {
    explicit State(Sender function)
        : sender(std::move(function))
    {
    }
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    ~State()
    {
        if (!answered.exchange(true))
            sender(Response{500, {{"Content-Type", "text/plain"}}, "the request was dropped\n"});
    }

    Sender sender;
    std::atomic<bool> answered = false;
};

Responder::Responder(Sender sender)
    : state_(std::make_shared<State>(std::move(sender)))
{
}

void Responder::respond(Response response) const
{
    if (state_ && !state_->answered.exchange(true))
        state_->sender(std::move(response));
}

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto wrong
        = [text] { return failure(ErrorCode::InvalidArgument, "not an <ip>:<port>: " + std::string(text)); };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return wrong();
    std::string_view address = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    Endpoint endpoint{std::string(address), 0};
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (status != std::errc() || end != digits.data() + digits.size())
        return wrong();
    boost::system::error_code error;
    boost::asio::ip::make_address(endpoint.address, error);
    if (error)
        return wrong();
    return endpoint;
}

bool Endpoint::operator<(const Endpoint &other) const
{
    return std::tie(address, port) < std::tie(other.address, other.port);
}

std::string Endpoint::toString() const
{
    const bool bracketed = address.find(':') != std::string::npos;
    return (bracketed ? '[' + address + ']' : address) + ':' + std::to_string(port);
}

} // namespace Pistachio::Transport
