#include "settings/jobsettings.h"

#include "settings/tablereader.h"

namespace Pistachio::Settings
{

namespace
{

constexpr std::int64_t highestPort = 65'535;
constexpr std::int64_t longestDurationMs = 600'000;
constexpr Duration shortestCatchUp = 100ms;
constexpr Duration longestCatchUp = 10min;

Duration readDuration(TableReader &reader, std::string_view key, Duration fallback)
{
    return std::chrono::milliseconds(reader.optionalInteger(key, fallback / 1ms, 1, longestDurationMs));
}

} // namespace

std::vector<std::string> JobSettings::seedIps() const
{
    std::vector<std::string> ips;
    for (const auto &seed : seeds)
        ips.push_back(seed.ip);
    return ips;
}

Result<JobSettings> JobSettings::load(const std::string &path)
{
    auto opened = TableReader::open(path);
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
    for (const auto &seed : reader.optionalStrings("seeds")) {
        auto address = Address::parse(seed);
        if (address)
            settings.seeds.push_back(address.assume_value());
        else
            reader.addError("seeds", address.assume_error().message);
    }
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
        settings.toleratedLosses = static_cast<std::size_t>(limits.optionalInteger("tolerated_losses", 1, 0, 3));
        settings.catchUpTime
            = limits.optionalSeconds("catch_up_s", settings.catchUpTime, shortestCatchUp, longestCatchUp);
        settings.longestLease = readDuration(limits, "longest_lease_ms", settings.longestLease);
        settings.stopTimeout = readDuration(limits, "stop_timeout_ms", settings.stopTimeout);
        settings.drainTimeout = readDuration(limits, "drain_timeout_ms", settings.drainTimeout);
    });
    reader.table("log", [&](TableReader &table) { settings.log = LogSettings::read(table); });
    if (auto finished = reader.finish(); !finished)
        return finished.assume_error();
    return settings;
}

} // namespace Pistachio::Settings
