#pragma once

#include "endtoend/cluster.h"
#include "endtoend/process.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Pistachio::EndToEnd
{

/// One control instance, two entries and minions as processes on loopback.
class ZoneFixture
{
public:
    ZoneFixture();

    void startEntry(std::size_t index);
    /// Sends SIGTERM and waits.
    /// \return the exit code, or -1.
    int stopEntry(std::size_t index);
    [[nodiscard]] Process &entry(std::size_t index) { return *entries_[index].process; }
    /// \return whether the entry becomes ready.
    bool waitReady(std::size_t index);

    std::unique_ptr<Process> startMinions(const std::string &name, int count);
    std::unique_ptr<Process> startLoad(const std::vector<std::string> &arguments);
    /// Sends SIGTERM, waits, and reads what the program printed.
    /// \return one JSON object for each line; empty when the program did not exit with \p exitCode.
    std::vector<nlohmann::json> stopAndRead(Process &process, const std::string &name, int exitCode = 0) const;

    /// Sends a request to an entry.
    Transport::CallResult call(std::size_t index, bool callersPort, const Transport::Request &request);
    /// \return the text of an entry's log.
    [[nodiscard]] std::string log(std::size_t index) const;

    /// Writes the settings of an entry with other control addresses.
    void writeSettings(std::size_t index, const std::string &control);

private:
    struct Entry {
        std::uint16_t callers = 0;
        std::uint16_t minions = 0;
        std::uint16_t internal = 0;
        std::string log;
        std::unique_ptr<Process> process;
    };

    [[nodiscard]] std::string name(std::size_t index) const { return "entry-" + std::to_string(index + 1); }
    [[nodiscard]] std::string file(const std::string &base) const { return cluster_.folder() + '/' + base; }
    [[nodiscard]] std::string controlAddress() const;
    void readPorts(std::size_t index);

    Cluster cluster_;
    std::array<Entry, 2> entries_;
    int starts_ = 0;
    Transport::EventLoop loop_;
    Transport::HttpClient client_;
};

} // namespace Pistachio::EndToEnd
