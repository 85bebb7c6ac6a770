#pragma once

#include "rawserver.h"
#include "transport/eventloop.h"
#include "transport/httpclient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace Pistachio::StandinMinion
{

struct Options {
    std::string id;
    std::string service;
    std::set<Transport::Endpoint> entries; ///< minions' ports to announce to first
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    Duration workTime = 10ms;
    std::uint32_t failPercent = 0; ///< answered with 500
    std::uint32_t truncatePercent = 0; ///< answered with half of the declared body
};

/// A minion: announces itself, runs requests in its slots and counts the runs of each idempotency key.
class Minion
{
public:
    /// \param stopped called once the minion has left and finished its requests
    Minion(Transport::EventLoop &loop, Options options, std::function<void()> stopped);

    Result<std::uint16_t> start();
    /// Tells the entries that it leaves, refuses new requests and finishes those it runs.
    void leave();
    /// \return counts as one line of JSON.
    [[nodiscard]] std::string report() const;

private:
    void announce();
    void handle(const Transport::Request &request, const Reply &reply);
    void answer(const Transport::Request &request, const Reply &reply);
    void stopWhenIdle();

    Transport::EventLoop &loop_;
    Options options_;
    std::function<void()> stopped_;
    RawServer server_;
    Transport::HttpClient client_;
    std::string address_;
    std::set<Transport::Endpoint> entries_;
    std::map<std::string, std::uint64_t> runsByKey_;
    std::uint64_t runs_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t attemptsAfterLeaving_ = 0;
    std::uint32_t inUse_ = 0;
    std::uint32_t mostInUse_ = 0;
    TimePoint leftAt_;
    bool leaving_ = false;
    Transport::Timer announceTimer_;
    Transport::Timer stopTimer_;
    std::map<std::uint64_t, Transport::Timer> work_;
    std::uint64_t workCount_ = 0;
};

} // namespace Pistachio::StandinMinion
