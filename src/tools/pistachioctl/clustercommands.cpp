#include "pistachioctl/commands.h"

#include "pistachioctl/changerequest.h"
#include "pistachioctl/table.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace Pistachio::Pistachioctl
{

namespace
{

using nlohmann::json;

std::string amounts(const json &resources)
{
    return cellText(member(resources, "cores")) + " cores, " + cellText(member(resources, "memory_mb")) + " MB, "
        + cellText(member(resources, "accelerators")) + " acc.";
}

ExitCode sendInstance(const Invocation &invocation, const std::string &method, const std::string &target,
                      std::size_t first)
{
    const auto &words = invocation.words;
    const json body{{"id", words[first]},
                    {"zone", words[first + 1]},
                    {"internal", words[first + 2]},
                    {"operator", words[first + 3]},
                    {"worker", words[first + 4]}};
    return sendChange(
        invocation,
        {method, target, body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json", std::nullopt});
}

void printSpread(const Invocation &invocation, const std::string &subject, const json &spread)
{
    invocation.out << subject << ": version " << cellText(member(spread, "version")) << ", in force on "
                   << cellText(member(spread, "in_force_instances")) << " of " << cellText(member(spread, "instances"))
                   << " instances\n";
}

} // namespace

ExitCode listWorkers(const Invocation &invocation)
{
    const Options &options = invocation.options;
    const std::string target
        = "/v1/workers?zone=" + percentEncoded(options.zone) + "&state=" + percentEncoded(options.state);
    return fetchAndPrint(invocation, target, [&](const json &body) {
        json workers = body.value("workers", json::array());
        for (json &worker : workers) {
            if (!worker.is_object())
                continue;
            for (const char *key : {"capacity", "allocated"})
                worker[key] = amounts(member(worker, key));
        }
        invocation.out << tableText(workers,
                                    {"worker", "zone", "rack", "state", "tasks", "allocated", "capacity", "reason"});
    });
}

ExitCode drainWorker(const Invocation &invocation)
{
    return sendChange(
        invocation,
        {"POST", "/v1/workers/" + percentEncoded(invocation.words.front()) + "/drain", "", "text/plain", std::nullopt});
}

ExitCode resumeWorker(const Invocation &invocation)
{
    return sendChange(invocation,
                      {"POST", "/v1/workers/" + percentEncoded(invocation.words.front()) + "/resume", "", "text/plain",
                       std::nullopt});
}

ExitCode listInstances(const Invocation &invocation)
{
    return fetchAndPrint(invocation, "/v1/instances", [&](const json &body) {
        invocation.out << tableText(
            body.value("instances", json::array()),
            {"id", "zone", "role", "operator", "reachable", "sheet_version", "configuration_version", "replaces"});
    });
}

ExitCode addInstance(const Invocation &invocation)
{
    return sendInstance(invocation, "POST", "/v1/instances", 0);
}

ExitCode replaceInstance(const Invocation &invocation)
{
    return sendInstance(invocation, "PUT", "/v1/instances/" + percentEncoded(invocation.words.front()), 1);
}

ExitCode showStatus(const Invocation &invocation)
{
    return fetchAndPrint(invocation, "/v1/status", [&](const json &body) {
        const std::string leader = cellText(body.value("leader", json()));
        invocation.out << "cell: "
                       << (leader.empty() ? "no leader is known"
                                          : "leader " + leader + " (" + cellText(body.value("leader_address", json()))
                                   + "), term " + cellText(body.value("term", json())))
                       << ", answered by " << cellText(body.value("answered_by", json())) << '\n';
        printSpread(invocation, "sheet", body.value("sheet", json::object()));
        printSpread(invocation, "configuration", body.value("configuration", json::object()));
        const json bookings = body.value("bookings", json::object());
        invocation.out << "bookings: " << cellText(member(bookings, "active")) << " active, "
                       << cellText(member(bookings, "cancelled")) << " cancelled, "
                       << cellText(member(bookings, "ended")) << " ended and not yet released\n\n"
                       << tableText(body.value("zones", json::array()),
                                    {"zone", "leader", "reachable", "workers", "running_tasks", "waiting_tasks"});
    });
}

} // namespace Pistachio::Pistachioctl
