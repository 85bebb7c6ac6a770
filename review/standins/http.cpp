#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <random>

namespace Review
{

namespace
{

constexpr std::int64_t idleLimitMs = 60'000;
constexpr std::size_t bufferBytes = 16384;

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

bool waitFor(int socket, short events, std::int64_t until)
{
    pollfd item{socket, events, 0};
    const auto left = until - nowMs();
    return left > 0 && ::poll(&item, 1, static_cast<int>(left)) > 0;
}

bool sendAll(int socket, const std::string &text, std::int64_t until)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        if (!waitFor(socket, POLLOUT, until))
            return false;
        const auto size = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size < 0 && errno != EAGAIN && errno != EINTR)
            return false;
        sent += size > 0 ? static_cast<std::size_t>(size) : 0;
    }
    return true;
}

/// Reads one message; \p buffer keeps what follows it.
bool readMessage(int socket, std::string &buffer, std::string &head, std::string &body, std::int64_t until)
{
    std::size_t headEnd = std::string::npos;
    std::size_t length = 0;
    while (true) {
        if (headEnd == std::string::npos && (headEnd = buffer.find("\r\n\r\n")) != std::string::npos) {
            head = buffer.substr(0, headEnd + 2);
            std::string lower = head;
            std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto field = lower.find("\r\ncontent-length:");
            length = field == std::string::npos ? 0 : std::strtoul(lower.c_str() + field + 17, nullptr, 10);
        }
        if (headEnd != std::string::npos && buffer.size() >= headEnd + 4 + length) {
            body = buffer.substr(headEnd + 4, length);
            buffer.erase(0, headEnd + 4 + length);
            return true;
        }
        if (!waitFor(socket, POLLIN, until))
            return false;
        char bytes[bufferBytes];
        const auto size = ::recv(socket, bytes, sizeof bytes, MSG_DONTWAIT);
        if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR))
            return false;
        buffer.append(bytes, size > 0 ? static_cast<std::size_t>(size) : 0);
    }
}

int openSocket()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

int openListener(const std::string &ip, std::uint16_t port)
{
    const int listener = openSocket();
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(ip, port);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(listener, 1024) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

bool connectTo(int socket, const std::string &ip, std::uint16_t port)
{
    const auto address = addressOf(ip, port);
    return ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
}

void reset(int socket)
{
    const linger now{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::shutdown(socket, SHUT_RDWR);
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, milliseconds)));
}

std::uint16_t freePort(const std::vector<std::string> &ips)
{
    static std::mt19937 random(std::random_device{}());
    while (true) {
        const auto port = static_cast<std::uint16_t>(std::uniform_int_distribution<int>(12000, 31000)(random));
        const bool isFree = std::all_of(ips.begin(), ips.end(), [port](const auto &ip) {
            const int listener = openListener(ip, port);
            if (listener >= 0)
                ::close(listener);
            return listener >= 0;
        });
        if (isFree)
            return port;
    }
}

HttpResponse httpCall(const std::string &ip, std::uint16_t port, const HttpRequest &request, std::int64_t limitMs,
                      const std::string &local)
{
    return HttpChannel().call(ip, port, request, limitMs, local);
}

HttpResponse HttpChannel::call(const std::string &ip, std::uint16_t port, const HttpRequest &request,
                               std::int64_t limitMs, const std::string &local)
{
    const auto until = nowMs() + limitMs;
    if (ip != ip_)
        close();
    if (socket_ < 0) {
        socket_ = openSocket();
        ip_ = ip;
        buffer_.clear();
        if (!local.empty()) {
            const auto address = addressOf(local, 0);
            ::bind(socket_, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        }
        if (!connectTo(socket_, ip, port)) {
            close();
            return {};
        }
    }
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers)
        text += name + ": " + value + "\r\n";
    if (!request.headers.contains("Host"))
        text += "Host: " + ip + "\r\n";
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    std::string head;
    HttpResponse response;
    if (sendAll(socket_, text, until) && readMessage(socket_, buffer_, head, response.body, until) && head.size() > 12)
        response.status = std::atoi(head.c_str() + 9);
    else
        close();
    return response;
}

void HttpChannel::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
}

bool HttpServer::listen(const std::string &ip, std::uint16_t port)
{
    const std::lock_guard lock(mutex_);
    listener_ = openListener(ip, port);
    if (listener_ < 0)
        return false;
    ++threads_;
    std::thread([this, listener = listener_, life = ++life_] { accept(listener, life); }).detach();
    return true;
}

void HttpServer::close()
{
    std::unique_lock lock(mutex_);
    ++life_;
    if (listener_ >= 0)
        ::shutdown(listener_, SHUT_RDWR);
    listener_ = -1;
    for (const int connection : connections_)
        reset(connection);
    ended_.wait(lock, [this] { return threads_ == 0; });
}

void HttpServer::accept(int listener, std::uint64_t life)
{
    while (true) {
        const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(mutex_);
        if (connection < 0 || life != life_) {
            if (connection >= 0)
                ::close(connection);
            break;
        }
        const int on = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        connections_.insert(connection);
        ++threads_;
        std::thread([this, connection, life] { serve(connection, life); }).detach();
    }
    ::close(listener);
    const std::lock_guard lock(mutex_);
    --threads_;
    ended_.notify_all();
}

void HttpServer::serve(int connection, std::uint64_t life)
{
    std::string buffer;
    std::string head;
    HttpRequest request;
    while (readMessage(connection, buffer, head, request.body, nowMs() + idleLimitMs)) {
        const auto space = head.find(' ');
        const auto second = head.find(' ', space + 1);
        request.method = head.substr(0, space);
        request.target = head.substr(space + 1, second - space - 1);
        request.headers.clear();
        for (auto line = head.find("\r\n") + 2; line < head.size();) {
            const auto end = head.find("\r\n", line);
            const auto colon = head.find(':', line);
            if (end == std::string::npos || colon > end)
                break;
            std::string name = head.substr(line, colon - line);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto value = head.find_first_not_of(' ', colon + 1);
            request.headers[name] = value >= end ? std::string() : head.substr(value, end - value);
            line = end + 2;
        }
        const auto response = handler_(request);
        {
            const std::lock_guard lock(mutex_);
            if (life != life_)
                break;
        }
        if (response.status == 0)
            break;
        const auto text = "HTTP/1.1 " + std::to_string(response.status)
            + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size())
            + "\r\n\r\n" + response.body;
        if (!sendAll(connection, text, nowMs() + 5000))
            break;
    }
    const std::lock_guard lock(mutex_);
    connections_.erase(connection);
    ::close(connection);
    --threads_;
    ended_.notify_all();
}

bool Proxy::listen(const std::string &ip, std::uint16_t port, const std::string &targetIp, std::uint16_t targetPort)
{
    targetIp_ = targetIp;
    targetPort_ = targetPort;
    listener_ = openListener(ip, port);
    if (listener_ < 0)
        return false;
    ++threads_;
    std::thread([this] {
        accept();
        --threads_;
    }).detach();
    return true;
}

void Proxy::setHeldCallers(std::set<std::string> callers)
{
    const std::lock_guard lock(mutex_);
    heldCallers_ = std::move(callers);
}

void Proxy::accept()
{
    while (!closed_) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        const int near = ::accept4(listener_, reinterpret_cast<sockaddr *>(&peer), &size, SOCK_CLOEXEC);
        if (near < 0)
            break;
        char text[INET_ADDRSTRLEN];
        inet_ntop(AF_INET, &peer.sin_addr, text, sizeof text);
        const int on = 1;
        ::setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const int far = openSocket();
        bool isAffected = false;
        {
            const std::lock_guard lock(mutex_);
            isAffected = heldCallers_.empty() || heldCallers_.contains(text);
            sockets_.insert({near, far});
        }
        threads_ += 1;
        std::thread([this, near, far, isAffected] {
            while (requestsHeld_ && isAffected && !closed_)
                sleepMs(2);
            if (!connectTo(far, targetIp_, targetPort_)) {
                reset(near);
            } else {
                std::thread back([this, near, far, isAffected] { pump(far, near, true, isAffected); });
                pump(near, far, false, isAffected);
                back.join();
            }
            {
                const std::lock_guard lock(mutex_);
                sockets_.erase(near);
                sockets_.erase(far);
            }
            ::close(near);
            ::close(far);
            --threads_;
        }).detach();
    }
    ::close(listener_);
}

void Proxy::pump(int from, int to, bool isAnswer, bool isAffected)
{
    char bytes[bufferBytes];
    while (true) {
        const auto size = ::recv(from, bytes, sizeof bytes, 0);
        if (size <= 0)
            break;
        while ((isAnswer ? answersHeld_ : requestsHeld_) && isAffected && !closed_)
            sleepMs(2);
        if (!sendAll(to, std::string(bytes, static_cast<std::size_t>(size)), nowMs() + idleLimitMs))
            break;
    }
    while ((isAnswer ? answersHeld_ : requestsHeld_) && isAffected && !closed_)
        sleepMs(2);
    ::shutdown(from, SHUT_RDWR);
    ::shutdown(to, SHUT_RDWR);
}

void Proxy::close()
{
    closed_ = true;
    if (listener_ >= 0)
        ::shutdown(listener_, SHUT_RDWR);
    {
        const std::lock_guard lock(mutex_);
        for (const int socket : sockets_)
            ::shutdown(socket, SHUT_RDWR);
    }
    while (threads_ > 0)
        sleepMs(2);
}

} // namespace Review
