#pragma once

#include "core/result.h"
#include "logging/logger.h"
#include "metrics/registry.h"
#include "transport/eventloop.h"
#include "transport/httpserver.h"
#include "transport/memorybudget.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Pistachio::Settings
{
struct JobSettings;
}

namespace Pistachio::Jobnode
{

/// What every process of the job cell has: the event loop, the log and the metrics.
class NodeRuntime
{
public:
    /// \param program the name in logs
    NodeRuntime(std::string_view program, const Settings::JobSettings &settings);
    ~NodeRuntime();

    /// Serves the metrics where the settings say so.
    Result<void> listen(const Settings::JobSettings &settings);

    /// \param refresh called before the metrics are served, to bring gauges up to date
    void onExposition(std::function<void(Metrics::Registry &)> refresh) { refresh_ = std::move(refresh); }

    using SeedsChanged = std::function<void(std::vector<std::string> seeds)>;

    /// Reads the settings file again. New seeds take effect at once, all else at the next start.
    /// \param path the settings file
    /// \param changed called with the addresses of the seeds, if the file has no errors
    void reload(const std::string &path, const SeedsChanged &changed);

    /// Looks for new seeds every few seconds while the instance has lost the others, since the file may change without
    /// a signal.
    /// \param path the settings file
    /// \param hasLost whether the instance knows no leader
    /// \param changed called with the addresses of seeds that differ from the ones before
    void watchSeeds(const std::string &path, std::function<bool()> hasLost, SeedsChanged changed);

    [[nodiscard]] Transport::EventLoop &loop() { return loop_; }
    [[nodiscard]] Logging::Logger &logger() { return logger_; }
    [[nodiscard]] Metrics::Registry &metrics() { return metrics_; }

    /// \return the memory for what clients and peers send, shared by all listeners and clients of the process.
    [[nodiscard]] const std::shared_ptr<Transport::MemoryBudget> &memory() const { return memory_; }

    /// \return the time of day.
    [[nodiscard]] static std::int64_t unixMs();

private:
    void exposeMemory();
    void logWarnings(const Settings::JobSettings &settings);

    Logging::Logger logger_;
    Metrics::Registry metrics_;
    Transport::EventLoop loop_;
    std::shared_ptr<Transport::MemoryBudget> memory_;
    std::unique_ptr<Transport::HttpServer> metricsServer_;
    std::vector<std::string> seeds_; ///< as last read
    Transport::Timer seedsTimer_;
    std::function<void(Metrics::Registry &)> refresh_;
};

} // namespace Pistachio::Jobnode
