#include "rawserver.h"

#include "transport/eventloop.h"
#include "transport/eventloopcontext.h"
#include "transport/httpconversion.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace Pistachio::StandinMinion
{

using namespace Transport;
using namespace Transport::Internal;
using boost::system::error_code;

namespace
{

class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Tcp::socket socket, const Handler &handler, std::shared_ptr<std::size_t> open)
        : socket_(std::move(socket))
        , handler_(handler)
        , open_(std::move(open))
    {
        ++*open_;
    }
    ~Session() { --*open_; }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void read()
    {
        message_ = {};
        Http::async_read(socket_, buffer_, message_, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (!error)
                self->handle();
        });
    }

private:
    void handle()
    {
        const Request request{std::string(toView(message_.method_string())), std::string(toView(message_.target())),
                              toHeaders(message_), message_.body()};
        handler_(request, [self = shared_from_this()](const Response &response, bool truncated) {
            self->reply(response, truncated);
        });
    }

    void reply(const Response &response, bool truncated)
    {
        text_ = "HTTP/1.1 " + std::to_string(response.status)
            + " Status\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
        for (const Header &header : response.headers)
            text_ += header.name + ": " + header.value + "\r\n";
        text_ += "\r\n" + response.body.substr(0, truncated ? response.body.size() / 2 : response.body.size());
        boost::asio::async_write(socket_, boost::asio::buffer(text_),
                                 [self = shared_from_this(), truncated](const error_code &error, std::size_t) {
                                     if (error || truncated)
                                         closeSocket(self->socket_);
                                     else
                                         self->read();
                                 });
    }

    Tcp::socket socket_;
    const Handler &handler_;
    std::shared_ptr<std::size_t> open_;
    boost::beast::flat_buffer buffer_;
    Http::request<Http::string_body> message_;
    std::string text_;
};

} // namespace

class RawServer::Implementation
{
public:
    Implementation(EventLoop &loop, std::size_t mostConnections, Handler handler)
        : handler_(std::move(handler))
        , listener_(std::make_shared<Listener>(loop.context(), [this, mostConnections](Tcp::socket socket) {
            if (*open_ >= mostConnections)
                closeSocket(socket);
            else
                std::make_shared<Session>(std::move(socket), handler_, open_)->read();
        }))
    {
    }

    Handler handler_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
    std::shared_ptr<Listener> listener_;
};

RawServer::RawServer(EventLoop &loop, std::size_t mostConnections, Handler handler)
    : implementation_(std::make_shared<Implementation>(loop, mostConnections, std::move(handler)))
{
}

RawServer::~RawServer() = default;

Result<std::uint16_t> RawServer::listen()
{
    return implementation_->listener_->open({"127.0.0.1", 0});
}

void RawServer::close()
{
    implementation_->listener_->close();
}

} // namespace Pistachio::StandinMinion
