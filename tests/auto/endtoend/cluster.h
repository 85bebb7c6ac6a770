#pragma once

#include "process.h"
#include "transport/eventloop.h"
#include "transport/httpclient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Pistachio::EndToEnd
{

/// A cell of real processes on loopback: control instances of one zone, and workers.
class Cluster
{
public:
    /// \param controls the number of control instances, all voters
    explicit Cluster(int controls);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    void startControl(int index);

    /// Starts one more control instance, which learns from the others.
    /// \return the operator's request body that names it.
    std::string addControl();
    [[nodiscard]] Process &control(int index) { return *controls_[static_cast<std::size_t>(index)].process; }
    [[nodiscard]] int size() const { return static_cast<int>(controls_.size()); }

    /// \param name the worker's identifier
    /// \param arguments further arguments of the stand-in
    void startWorker(const std::string &name, std::vector<std::string> arguments = {});
    [[nodiscard]] Process &worker(const std::string &name) { return *workers_.at(name); }

    /// Starts an entry and a minion of the service "ordering".
    void startEntryAndMinion();
    [[nodiscard]] Process &minion() { return *minion_; }
    [[nodiscard]] std::string minionLog() const { return folder_ + "/minion.log"; }

    /// Sends a caller's request to the entry.
    Transport::CallResult request(Transport::Request request);

    /// Kills a worker and remembers when.
    void killWorker(const std::string &name);

    /// Sends an operator's request to one control instance.
    Transport::CallResult call(int index, Transport::Request request,
                               std::chrono::milliseconds limit = std::chrono::milliseconds(8000));

    /// \return the body of a successful GET from any instance, or an empty string.
    std::string get(const std::string &target);

    /// \return the index of the instance that leads the cell ("cell") or the zone ("zone"), or -1.
    int leader(const std::string &group);

    /// \return whether \p condition held within the limit; it is checked every few milliseconds.
    static bool waitFor(const std::function<bool()> &condition,
                        std::chrono::milliseconds limit = std::chrono::milliseconds(40000));

    [[nodiscard]] std::string journalPath() const { return folder_ + "/journal"; }
    [[nodiscard]] const std::map<std::string, std::int64_t> &deaths() const { return deaths_; }
    [[nodiscard]] const std::string &folder() const { return folder_; }

private:
    struct Control {
        std::uint16_t internal = 0;
        std::uint16_t operators = 0;
        std::uint16_t worker = 0;
        std::string settings;
        bool hasStarted = false;
        std::unique_ptr<Process> process;
    };

    std::uint16_t reservePort();
    void reservePorts(Control &control);
    void writeSettings(int index);

    std::string folder_;
    std::vector<int> reserved_;
    std::vector<Control> controls_;
    const int voters_;
    Transport::CallResult send(std::uint16_t port, Transport::Request request, std::chrono::milliseconds limit);

    std::uint16_t callers_ = 0;
    std::unique_ptr<Process> entry_;
    std::unique_ptr<Process> minion_;
    std::map<std::string, std::unique_ptr<Process>> workers_;
    std::map<std::string, std::int64_t> deaths_;
    Transport::EventLoop loop_;
    Transport::HttpClient client_;
};

} // namespace Pistachio::EndToEnd
