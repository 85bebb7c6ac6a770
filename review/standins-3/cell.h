#pragma once

#include "endtoend/process.h"
#include "platform/minionserver.h"
#include "transport/eventloop.h"
#include "transport/httpclient.h"

#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Review
{

using namespace Pistachio;

/// What an HTTP call brought; status 0: no complete response came.
struct Answer {
    int status = 0;
    std::string body;
};

/// Three control instances and two entries as separate processes, started with the commands of the deploy file, and
/// the record of what was sent, answered and run.
class Cell
{
public:
    static constexpr std::size_t controls = 3;
    static constexpr std::size_t entries = 2;

    /// \param loop outlives the cell
    /// \param network the first two bytes of all addresses
    /// \param folder a temporary one for settings, data and logs
    Cell(Transport::EventLoop &loop, std::string network, std::string folder, const std::string &recordPath);

    void start(std::size_t index);
    void startAll();
    /// SIGKILL.
    void kill(std::size_t index);
    void signal(std::size_t index, int number);
    void wipe(std::size_t index);
    [[nodiscard]] bool isRunning(std::size_t index);

    /// \return the address of control instance \p index for minions and operators.
    [[nodiscard]] Transport::Endpoint control(std::size_t index) const;
    [[nodiscard]] Transport::Endpoint entry(std::size_t index) const;
    [[nodiscard]] std::vector<Transport::Endpoint> controlList() const;
    /// \return the address of a stand-in.
    [[nodiscard]] std::string address(std::size_t host, std::uint16_t port) const;

    /// Lets the loop run for \p span.
    void pass(Duration span);
    bool waitFor(Duration limit, const std::function<bool()> &condition);

    /// Makes one call and waits for its end.
    Answer call(const Transport::Endpoint &endpoint, const std::string &method, const std::string &target,
                const std::string &host, const std::string &body, Duration limit);
    /// Makes one call.
    void callLater(const Transport::Endpoint &endpoint, const std::string &method, const std::string &target,
                   const std::string &host, const std::string &body, Duration limit,
                   const std::function<void(const Answer &)> &answered);

    /// Writes a line with the time since the start to the record.
    void record(const std::string &text);

    Transport::EventLoop &loop() { return loop_; }

private:
    [[nodiscard]] std::string nameOf(std::size_t index) const;
    void writeSettings(std::size_t index);

    Transport::EventLoop &loop_;
    const std::string network_;
    const std::string folder_;
    std::ofstream record_;
    TimePoint begun_;
    std::unique_ptr<Transport::HttpClient> client_;
    std::vector<std::unique_ptr<EndToEnd::Process>> processes_;
    std::vector<bool> hasStarted_;
};

} // namespace Review
