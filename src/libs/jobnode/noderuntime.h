#pragma once

#include "core/result.h"
#include "logging/logger.h"
#include "metrics/registry.h"
#include "transport/eventloop.h"
#include "transport/httpserver.h"

#include <cstdint>
#include <memory>
#include <string>

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

    /// Checks and logs changed settings; they take effect at the next start, since addresses and seeds are used then.
    void checkReload(const std::string &path);

    [[nodiscard]] Transport::EventLoop &loop() { return loop_; }
    [[nodiscard]] Logging::Logger &logger() { return logger_; }
    [[nodiscard]] Metrics::Registry &metrics() { return metrics_; }

    /// \return the time of day.
    [[nodiscard]] static std::int64_t unixMs();

private:
    void logWarnings(const Settings::JobSettings &settings);

    Logging::Logger logger_;
    Metrics::Registry metrics_;
    Transport::EventLoop loop_;
    std::unique_ptr<Transport::HttpServer> metricsServer_;
};

} // namespace Pistachio::Jobnode
