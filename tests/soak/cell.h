#pragma once

#include "endtoend/process.h"
#include "faultplan.h"
#include "faultproxy.h"
#include "transport/eventloop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Pistachio::Soak
{

/// The real processes: control instances first, entries behind them.
class Cell
{
public:
    using Report = std::function<void(const std::string &violation)>;

    static constexpr std::uint16_t internalPort = 7100;
    static constexpr std::uint16_t controlPort = 7200; ///< for minions and operators
    static constexpr std::uint16_t callerPort = 7300;
    static constexpr std::uint16_t advicePort = 7400;

    /// \param loop outlives the cell
    /// \param size how many of each
    /// \param folder for settings, data and logs
    /// \param network the first two bytes of the addresses, as "127.20"
    /// \param report hears of processes that end though nobody ended them, or don't end as told
    Cell(Transport::EventLoop &loop, const CellSize &size, std::string folder, const std::string &network,
         Report report);

    /// An instance that is still stopping starts once it is gone.
    void start(std::size_t index);
    void kill(std::size_t index);
    /// SIGTERM; the process is to exit with 0 in time.
    void stop(std::size_t index);
    void freeze(std::size_t index);
    void thaw(std::size_t index);
    void reload(std::size_t index);
    void wipe(std::size_t index);
    void damageTail(std::size_t index);

    /// Kills a control instance for good and removes its data folder; a successor takes its place later.
    void lose(std::size_t index);

    /// Replaces a control instance for good: an empty one starts at another address. The old one, if it runs, goes on
    /// until stopPredecessors().
    void startSuccessor(std::size_t index);
    /// SIGTERM to the instances that \p index has replaced.
    void stopPredecessors(std::size_t index);

    /// Thaws and starts all, and opens all links.
    void heal();

    /// To be called every few milliseconds.
    void watch();

    [[nodiscard]] bool isRunning(std::size_t index) const;

    /// \return whether every process runs and none is stopping.
    [[nodiscard]] bool isComplete() const;

    /// \return whether one control instance reaches more than half of all, itself included, that count as whole.
    [[nodiscard]] bool hasMajority() const;

    /// \return whether a planned stop, and nothing else, can have broken a connection opened at \p since.
    [[nodiscard]] bool wasOnlyStopped(std::size_t index, TimePoint since) const;

    [[nodiscard]] const std::string &name(std::size_t index) const { return instances_[index].name; }
    /// \return the operator's list, which lags.
    [[nodiscard]] std::vector<Transport::Endpoint> controls() const;
    [[nodiscard]] std::vector<Transport::Endpoint> entries() const;
    [[nodiscard]] FaultProxy &proxy() { return proxy_; }

private:
    struct Instance {
        std::string name;
        std::string ip;
        std::string localIp;
        std::string dataFolder; ///< empty: an entry
        std::unique_ptr<EndToEnd::Process> process;
        bool hasStarted = false;
        bool isFrozen = false;
        bool startsAgain = false; ///< once it has stopped
        bool isLost = false; ///< for good
        TimePoint stoppedAt = TimePoint::min(); ///< by SIGTERM
        TimePoint troubledAt = TimePoint::min(); ///< by anything else
        TimePoint wholeFrom = TimePoint::min(); ///< not lost any more, if it runs
    };

    void writeSettings(const Instance &instance) const;
    void add(Instance &instance, std::size_t address);
    void terminate(Instance &instance);
    bool collect(Instance &instance);
    [[nodiscard]] std::vector<std::string> controlIps() const;
    void setListening(const Instance &instance, bool isListening);
    [[nodiscard]] static bool isWhole(const Instance &instance, TimePoint now);

    const CellSize size_;
    const std::string folder_;
    const std::string network_;
    const Report report_;
    const std::string advice_;
    FaultProxy proxy_;
    std::vector<Instance> instances_;
    std::vector<std::pair<std::size_t, Instance>> predecessors_; ///< that still run, by the index of the successor
    std::size_t successors_ = 0;
    /// The addresses of the control instances from each time on.
    std::vector<std::pair<TimePoint, std::vector<std::string>>> lists_;
};

} // namespace Pistachio::Soak
