#pragma once
// A small blocking HTTP/1.1 client and server for the stand-ins: one thread for each connection.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

/// \return milliseconds of the steady clock.
std::int64_t nowMs();
void sleepMs(std::int64_t milliseconds);

struct HttpRequest {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct HttpResponse {
    int status = 0; ///< 0: no answer
    std::string body;
};

/// Opens a connection, makes one call and closes it.
/// \param local address to call from; empty for any
HttpResponse httpCall(const std::string &ip, std::uint16_t port, const HttpRequest &request, std::int64_t limitMs,
                      const std::string &local = {});

/// A connection that is kept open between calls.
class HttpChannel
{
public:
    ~HttpChannel() { close(); }
    HttpResponse call(const std::string &ip, std::uint16_t port, const HttpRequest &request, std::int64_t limitMs,
                      const std::string &local);
    void close();

private:
    int socket_ = -1;
    std::string ip_;
    std::string buffer_;
};

/// \return a port that nobody listens on at any of the addresses.
std::uint16_t freePort(const std::vector<std::string> &ips);

class HttpServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    explicit HttpServer(Handler handler)
        : handler_(std::move(handler))
    {
    }
    ~HttpServer() { close(); }

    /// \return whether it listens.
    bool listen(const std::string &ip, std::uint16_t port);
    /// Closes the listener and resets all connections; no answer leaves any more.
    void close();

private:
    void accept(int listener, std::uint64_t life);
    void serve(int connection, std::uint64_t life);

    const Handler handler_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::set<int> connections_;
    int listener_ = -1;
    std::uint64_t life_ = 0;
    int threads_ = 0;
};

/// A proxy that carries bytes between a caller and a target, and can hold back what goes either way.
class Proxy
{
public:
    ~Proxy() { close(); }
    bool listen(const std::string &ip, std::uint16_t port, const std::string &targetIp, std::uint16_t targetPort);
    /// While held, bytes wait in the proxy and arrive afterwards.
    void holdAnswers(bool isHeld) { answersHeld_ = isHeld; }
    void holdRequests(bool isHeld) { requestsHeld_ = isHeld; }
    /// Callers from these addresses are held back only; empty: all.
    void setHeldCallers(std::set<std::string> callers);
    void close();

private:
    void accept();
    void pump(int from, int to, bool isAnswer, bool isAffected);

    std::string targetIp_;
    std::uint16_t targetPort_ = 0;
    std::atomic<int> listener_ = -1;
    std::atomic<bool> answersHeld_ = false;
    std::atomic<bool> requestsHeld_ = false;
    std::atomic<bool> closed_ = false;
    std::mutex mutex_;
    std::set<std::string> heldCallers_;
    std::set<int> sockets_;
    std::atomic<int> threads_ = 0;
};

} // namespace Review
