#include "jobnode/noderuntime.h"

#include "jobnode/descriptorbudget.h"
#include "jobnode/listenerlimits.h"
#include "settings/jobsettings.h"

#include <chrono>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{
constexpr Duration seedsInterval
    = 2s; ///< bounds how long an instance that missed every replacement looks for the others
} // namespace

NodeRuntime::NodeRuntime(std::string_view program, const Settings::JobSettings &settings)
    : logger_(program, settings.instance, settings.log.level, settings.log.file, Logging::Logger::defaultQueueCapacity,
              settings.log.linesPerSecond)
    , memory_(Transport::MemoryBudget::create(settings.clients.budgetBytes()))
    , seeds_(settings.seedIps())
{
    logWarnings(settings);
}

NodeRuntime::~NodeRuntime() = default;

Result<void> NodeRuntime::listen(const Settings::JobSettings &settings)
{
    if (settings.metricsPort == 0)
        return success();
    const auto limits = listenerLimits(settings.clients, memory_,
                                       DescriptorBudget::forEntry(settings.maxDescriptors).metrics, smallBodyBytes);
    metricsServer_ = std::make_unique<Transport::HttpServer>(
        loop_, limits, [this](const Transport::Request &, const Transport::Responder &responder) {
            metrics_.set("log_lines_dropped", static_cast<double>(logger_.droppedLines()));
            exposeMemory();
            if (refresh_)
                refresh_(metrics_);
            responder.respond({200, {{"Content-Type", "text/plain; charset=utf-8"}}, metrics_.exposition()});
        });
    countRejections(*metricsServer_, metrics_, "metrics");
    BOOST_OUTCOME_TRY(const auto port, metricsServer_->listen({settings.localIp(), settings.metricsPort}));
    metrics_.set("metrics_port", port);
    return success();
}

void NodeRuntime::exposeMemory()
{
    metrics_.set("client_memory_bytes", static_cast<double>(memory_->held()));
    metrics_.set("client_memory_limit_bytes", static_cast<double>(memory_->limit()));
}

void NodeRuntime::reload(const std::string &path, const SeedsChanged &changed)
{
    const auto loaded = Settings::JobSettings::load(path);
    if (!loaded) {
        logger_.write(Logging::LogLevel::Warning, "reload", {{"settings", path}, {"reason", loaded.error().message}});
        return;
    }
    logWarnings(loaded.value());
    seeds_ = loaded.value().seedIps();
    logger_.write(
        Logging::LogLevel::Info, "reload",
        {{"settings", path}, {"seeds", seeds_.size()}, {"applies", "seeds at once, all else at the next start"}});
    // Earlier seeds are better than none.
    if (!seeds_.empty())
        changed(seeds_);
}

void NodeRuntime::watchSeeds(const std::string &path, std::function<bool()> hasLost, SeedsChanged changed)
{
    seedsTimer_
        = loop_.callAfter(seedsInterval, [this, path, hasLost = std::move(hasLost), changed = std::move(changed)] {
              if (hasLost()) {
                  const auto loaded = Settings::JobSettings::load(path);
                  if (loaded && loaded.value().seedIps() != seeds_)
                      reload(path, changed);
              }
              watchSeeds(path, hasLost, changed);
          });
}

void NodeRuntime::logWarnings(const Settings::JobSettings &settings)
{
    for (const auto &warning : settings.warnings)
        logger_.write(Logging::LogLevel::Warning, "settings-left-out", {{"reason", warning}});
}

std::int64_t NodeRuntime::unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace Pistachio::Jobnode
