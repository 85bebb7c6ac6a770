// Blocking HTTP/1.1 over loopback sockets, as far as the stand-ins need it.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace bed
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline Address parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), std::stoi(text.substr(colon + 1))};
}

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct HttpResponse {
    int status = 0; ///< 0: no complete response
    std::string body;
};

inline std::string lower(std::string text)
{
    for (auto &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

/// Reads one message. \return false if the peer closed or the time is over.
inline bool readMessage(int fd, std::string &buffer, std::string &firstLine,
                        std::map<std::string, std::string> &headers, std::string &body, Clock::time_point deadline)
{
    const auto more = [&] {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        pollfd item{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        const auto size = ::recv(fd, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    headers.clear();
    std::size_t position = buffer.find("\r\n");
    firstLine = buffer.substr(0, position);
    while (position < end) {
        const auto begin = position + 2;
        position = buffer.find("\r\n", begin);
        const auto line = buffer.substr(begin, position - begin);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        headers[lower(line.substr(0, colon))] = value;
    }
    const auto length = headers.count("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (buffer.size() < end + 4 + length) {
        if (!more())
            return false;
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/// Makes one call on a connection of its own.
inline HttpResponse call(const Address &to, const std::string &method, const std::string &path,
                         const std::map<std::string, std::string> &headers, const std::string &body, milliseconds limit)
{
    const auto deadline = Clock::now() + limit;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto target = toSockaddr(to);
    HttpResponse response;
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return response;
    }
    pollfd item{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&item, 1, static_cast<int>(limit.count())) <= 0
        || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(fd);
        return response;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    std::string text = method + ' ' + path + " HTTP/1.1\r\nConnection: close\r\n";
    if (!headers.count("Host"))
        text += "Host: " + to.text() + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    std::string buffer;
    std::string firstLine;
    std::map<std::string, std::string> fields;
    if (sendAll(fd, text + "\r\n" + body) && readMessage(fd, buffer, firstLine, fields, response.body, deadline)
        && firstLine.size() > 12)
        response.status = std::stoi(firstLine.substr(9, 3));
    ::close(fd);
    return response;
}

/// Serves requests on one address, each connection on a thread of its own.
class HttpServer
{
public:
    /// \return the response; status 0 closes the connection without one.
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    ~HttpServer() { stop(); }

    bool start(const Address &address, Handler handler)
    {
        handler_ = std::move(handler);
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto where = toSockaddr(address);
        if (::bind(listener_, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0
            || ::listen(listener_, 256) != 0) {
            ::close(listener_);
            listener_ = -1;
            return false;
        }
        isOpen_ = true;
        acceptor_ = std::thread([this] { accept(); });
        return true;
    }

    /// Resets all connections and stops to listen. Not to be called by a handler.
    void stop()
    {
        if (!isOpen_.exchange(false))
            return;
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
        std::vector<std::thread> threads;
        {
            const std::lock_guard lock(mutex_);
            for (const int fd : open_) {
                const linger reset{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                ::shutdown(fd, SHUT_RDWR);
            }
            threads.swap(threads_);
        }
        for (auto &thread : threads)
            thread.join();
    }

    bool isOpen() const { return isOpen_; }

private:
    void accept()
    {
        while (isOpen_) {
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard lock(mutex_);
            open_.insert(fd);
            threads_.emplace_back([this, fd] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        std::string buffer;
        HttpRequest request;
        std::string firstLine;
        while (isOpen_
               && readMessage(fd, buffer, firstLine, request.headers, request.body,
                              Clock::now() + std::chrono::minutes(5))) {
            const auto space = firstLine.find(' ');
            request.method = firstLine.substr(0, space);
            request.path = firstLine.substr(space + 1, firstLine.rfind(' ') - space - 1);
            const auto response = handler_(request);
            if (response.status == 0 || !isOpen_)
                break;
            const auto text = "HTTP/1.1 " + std::to_string(response.status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size())
                + "\r\n\r\n" + response.body;
            if (!sendAll(fd, text))
                break;
        }
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
        ::close(fd);
    }

    Handler handler_;
    int listener_ = -1;
    std::atomic<bool> isOpen_ = false;
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> threads_;
};

} // namespace bed
