#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace Pistachio::Transport
{
class EventLoop;
class Timer;
} // namespace Pistachio::Transport

namespace Pistachio::Wire
{
class FinishRequest;
}

namespace Pistachio::Entrynode
{

class ZoneClient;

/// Finishes of claims that the home zone has not confirmed; they are sent again until it does. An entry that stops
/// sending them leaves the record claimed, and the zone makes it `unknown` once the entry is silent.
class FinishQueue
{
public:
    /// \param gaveUp called with the key of a finish that was not confirmed in time
    FinishQueue(Transport::EventLoop &loop, ZoneClient &zones, std::function<void(const std::string &)> gaveUp);
    ~FinishQueue();

    void add(const ZoneId &zone, const Wire::FinishRequest &finish);
    [[nodiscard]] std::size_t size() const { return waiting_.size(); }

private:
    struct Finish;

    void send(std::uint64_t id);
    void repeatLater(std::uint64_t id);

    Transport::EventLoop &loop_;
    ZoneClient &zones_;
    std::function<void(const std::string &)> gaveUp_;
    std::map<std::uint64_t, std::unique_ptr<Finish>> waiting_;
    std::uint64_t count_ = 0;
};

} // namespace Pistachio::Entrynode
