#include "settings/entrysettings.h"

#include "settings/tablereader.h"

#include <algorithm>
#include <set>

namespace Pistachio::Settings
{

namespace
{

constexpr std::int64_t maxQueuedRequests = 1'000'000;
constexpr std::int64_t maxBodyBytes = std::int64_t{1} << 30;
constexpr std::int64_t minHeaderBytes = 1024;
constexpr std::int64_t maxHeaderBytes = std::int64_t{1} << 20;
constexpr std::int64_t minTimeoutMs = 100;
constexpr std::int64_t maxTimeoutMs = 3'600'000;

Duration readTimeout(TableReader &reader, std::string_view key, Duration fallback)
{
    const auto fallbackMs = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds(reader.optionalInteger(key, fallbackMs, minTimeoutMs, maxTimeoutMs));
}

std::size_t readSize(TableReader &reader, std::string_view key, std::size_t fallback, std::int64_t lowest,
                     std::int64_t highest)
{
    return static_cast<std::size_t>(reader.optionalInteger(key, static_cast<std::int64_t>(fallback), lowest, highest));
}

EntrySettings::Limits readLimits(TableReader &reader)
{
    EntrySettings::Limits limits;
    limits.maxQueuedRequests = readSize(reader, "max_queued_requests", limits.maxQueuedRequests, 1, maxQueuedRequests);
    limits.maxBodyBytes = readSize(reader, "max_body_bytes", limits.maxBodyBytes, 1, maxBodyBytes);
    limits.maxHeaderBytes = readSize(reader, "max_header_bytes", limits.maxHeaderBytes, minHeaderBytes, maxHeaderBytes);
    limits.idleTimeout = readTimeout(reader, "idle_timeout_ms", limits.idleTimeout);
    limits.drainTimeout = readTimeout(reader, "drain_timeout_ms", limits.drainTimeout);
    limits.defaultRequestTimeout = readTimeout(reader, "default_request_timeout_ms", limits.defaultRequestTimeout);
    if (limits.drainTimeout < limits.defaultRequestTimeout) {
        reader.addError("drain_timeout_ms",
                        "must not be below default_request_timeout_ms, or a planned stop would cut off requests");
    }
    return limits;
}

} // namespace

Result<EntrySettings> EntrySettings::load(const std::string &path)
{
    auto opened = TableReader::open(path);
    if (!opened)
        return opened.assume_error();
    TableReader &reader = opened.assume_value();

    EntrySettings settings;
    settings.instance = InstanceId(reader.requiredString("instance"));
    settings.zone = ZoneId(reader.requiredString("zone"));
    settings.region = reader.optionalString("region", settings.zone.value());
    reader.table("listen", [&](TableReader &listen) {
        settings.listenCallers = listen.requiredAddress("callers");
        settings.listenMinions = listen.requiredAddress("minions");
        settings.listenInternal = listen.requiredAddress("internal");
    });
    reader.table("limits", [&](TableReader &table) { settings.limits = readLimits(table); });
    reader.table("log", [&](TableReader &table) { settings.log = LogSettings::read(table); });

    std::set<InstanceId> known{settings.instance};
    const auto checkId = [&known](TableReader &table, const InstanceId &id) {
        if (!known.insert(id).second)
            table.addError("id", "is used twice");
    };
    reader.tables("control", [&](TableReader &table) {
        settings.controls.push_back({InstanceId(table.requiredString("id")), ZoneId(table.requiredString("zone")),
                                     table.requiredAddress("internal")});
        checkId(table, settings.controls.back().id);
    });
    reader.tables("peer", [&](TableReader &table) {
        settings.peers.push_back({InstanceId(table.requiredString("id")), ZoneId(table.requiredString("zone")),
                                  table.requiredAddress("internal"), table.requiredAddress("minions")});
        checkId(table, settings.peers.back().id);
    });
    const bool hasOwnControl = std::any_of(settings.controls.begin(), settings.controls.end(),
                                           [&](const Control &control) { return control.zone == settings.zone; });
    if (!hasOwnControl)
        reader.addError("control", "names no control instance of zone '" + settings.zone.value() + "'");

    if (auto finished = reader.finish(); !finished)
        return finished.assume_error();
    return settings;
}

} // namespace Pistachio::Settings
