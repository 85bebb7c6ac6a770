#include "settings/jobsettings.h"

#include "settings/tablereader.h"

#include <algorithm>

namespace Pistachio::Settings
{

namespace
{

constexpr std::int64_t highestPort = 65'535;
constexpr std::int64_t fewestDescriptors = 64;
constexpr std::int64_t mostDescriptors = 1'000'000;
constexpr Duration shortestTimeout = 1ms;
constexpr Duration longestTimeout = 10min;
constexpr Duration shortestCatchUp = 100ms;
constexpr Duration longestCatchUp = 10min;
constexpr double highestRemotePenalty = 100;
constexpr Duration shortestReadable = 1s;
constexpr Duration longestReadable = 24h;
constexpr Duration shortestGrace = 100ms;
constexpr Duration longestGrace = 10min;
constexpr int exitShare = 6; ///< this part of the grace is left for the end of the process
constexpr Duration longestNotice = 2500ms; ///< the balancer needs two missed checks to send no more connections

Duration readTimeout(TableReader &reader, std::string_view key, Duration fallback)
{
    return reader.optionalMilliseconds(key, fallback, shortestTimeout, longestTimeout);
}

} // namespace

std::vector<std::string> JobSettings::seedIps() const
{
    std::vector<std::string> ips;
    for (const auto &seed : seeds)
        ips.push_back(seed.ip);
    return ips;
}

Duration JobSettings::drainLimit() const
{
    return std::min(drainTimeout, stopGrace - stopGrace / exitShare);
}

Duration JobSettings::drainNotice() const
{
    return std::min(longestNotice, drainLimit() / 2);
}

Result<JobSettings> JobSettings::load(const std::string &path)
{
    auto opened = TableReader::openWithList(path, "seeds");
    if (!opened)
        return opened.assume_error();
    TableReader &reader = opened.assume_value();

    JobSettings settings;
    settings.instance = reader.requiredString("instance");
    settings.ip = reader.requiredString("ip");
    settings.bindIp = reader.optionalString("bind_ip", "");
    settings.zone = reader.requiredString("zone");
    settings.region = reader.optionalString("region", settings.zone);
    settings.dataFolder = reader.optionalString("data_folder", "");
    settings.bootstrap = reader.optionalFlag("bootstrap", false);
    settings.internalPort = static_cast<std::uint16_t>(reader.optionalInteger("internal_port", 0, 0, highestPort));
    settings.metricsPort = static_cast<std::uint16_t>(reader.optionalInteger("metrics_port", 0, 0, highestPort));
    settings.seeds = reader.usableAddresses("seeds");
    reader.table("listen", [&](TableReader &listen) {
        settings.listenCallers = listen.optionalAddress("callers");
        settings.listenReady = listen.optionalAddress("ready");
        settings.listenControl = listen.optionalAddress("control");
    });
    reader.table("services", [&](TableReader &services) {
        settings.advice = services.optionalAddress("advice");
        settings.machines = services.optionalAddress("machines");
    });
    reader.table("limits", [&](TableReader &limits) {
        settings.maxDescriptors = static_cast<std::size_t>(limits.optionalInteger(
            "max_descriptors", static_cast<std::int64_t>(settings.maxDescriptors), fewestDescriptors, mostDescriptors));
        settings.toleratedLosses = static_cast<std::size_t>(limits.optionalInteger("tolerated_losses", 1, 0, 3));
        settings.catchUpTime
            = limits.optionalSeconds("catch_up_s", settings.catchUpTime, shortestCatchUp, longestCatchUp);
        settings.longestLease = readTimeout(limits, "longest_lease_ms", settings.longestLease);
        settings.minionDrain = readTimeout(limits, "minion_drain_ms", settings.minionDrain);
        settings.stopTimeout = readTimeout(limits, "stop_timeout_ms", settings.stopTimeout);
        settings.gangTimeout = readTimeout(limits, "gang_timeout_ms", settings.gangTimeout);
        settings.reportInterval = readTimeout(limits, "report_interval_ms", settings.reportInterval);
        settings.remotePenalty
            = limits.optionalNumber("remote_penalty", settings.remotePenalty, 1, highestRemotePenalty);
        settings.finishedReadable = limits.optionalSeconds("finished_readable_s", settings.finishedReadable,
                                                           shortestReadable, longestReadable);
        settings.stopGrace = limits.optionalSeconds("stop_grace_s", settings.stopGrace, shortestGrace, longestGrace);
        settings.drainTimeout = readTimeout(limits, "drain_timeout_ms", settings.drainTimeout);
        settings.clients = ClientLimits::read(limits);
    });
    reader.table("log", [&](TableReader &table) { settings.log = LogSettings::read(table); });
    if (auto finished = reader.finish(); !finished)
        return finished.assume_error();
    settings.warnings = reader.warnings();
    return settings;
}

} // namespace Pistachio::Settings
