#pragma once

#include "transport/eventloop.h"
#include "transport/httpclient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Pistachio::LoadGenerator
{

/// An entry as the load balancer of the platform sees it.
struct Entry {
    Transport::Endpoint callers;
    Transport::Endpoint health; ///< serves /readyz
};

struct Options {
    std::vector<Entry> entries;
    std::string service;
    std::uint32_t requests = 1000; ///< 0: until the time is over
    Duration time = 60s;
    std::uint32_t parallel = 8;
    Duration pause{}; ///< between two requests of one caller
    std::uint32_t nonIdempotentPercent = 0;
    Duration timeout = 10s;
};

/// Plays callers behind a load balancer that asks /readyz and sends only to ready entries.
class LoadGenerator
{
public:
    LoadGenerator(Transport::EventLoop &loop, Options options, std::function<void()> finished);

    void start();
    /// Begins no further request.
    void stop() { end_ = TimePoint(); }
    /// \return counts as one line of JSON.
    [[nodiscard]] std::string report() const;
    /// \return whether every request was answered with the answer to itself.
    [[nodiscard]] bool succeeded() const;

private:
    struct Call {
        std::uint64_t number = 0;
        bool idempotent = true;
        int tries = 0;
        std::uint64_t caller = 0;
    };

    void checkReadiness();
    void next(std::uint64_t caller);
    void send(const Call &call);
    void answered(Call call, const Transport::CallResult &result);
    void sendAgain(Call call);
    void ended(const Call &call);
    [[nodiscard]] Transport::Request request(const Call &call) const;

    Transport::EventLoop &loop_;
    Options options_;
    std::function<void()> finished_;
    Transport::HttpClient client_;
    std::vector<bool> ready_;
    std::size_t nextEntry_ = 0;
    TimePoint end_;
    std::uint64_t begun_ = 0;
    std::uint64_t running_ = 0;
    std::map<std::string, std::uint64_t> counts_;
    Transport::Timer readinessTimer_;
    std::map<std::uint64_t, Transport::Timer> timers_;
    std::uint64_t timerCount_ = 0;
};

} // namespace Pistachio::LoadGenerator
