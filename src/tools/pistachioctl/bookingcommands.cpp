#include "pistachioctl/commands.h"

#include "pistachioctl/changerequest.h"
#include "pistachioctl/table.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace Pistachio::Pistachioctl
{

using nlohmann::json;

ExitCode listBookings(const Invocation &invocation)
{
    const Options &options = invocation.options;
    const std::string filter = options.state.empty() ? std::string() : "?state=" + percentEncoded(options.state);
    return fetchAndPrint(invocation, "/v1/bookings" + filter, [&](const json &body) {
        invocation.out << tableText(body.value("bookings", json::array()),
                                    {"booking", "team", "kind", "tasks", "cores", "memory_mb", "accelerators",
                                     "standing", "zone", "start", "end", "state"});
    });
}

ExitCode showBooking(const Invocation &invocation)
{
    return fetchAndPrint(invocation, "/v1/bookings/" + percentEncoded(invocation.words.front()), [&](const json &body) {
        std::vector<std::vector<std::string>> rows;
        for (const auto &[key, value] : body.items()) {
            if (key != "task_list")
                rows.push_back({key, cellText(value)});
        }
        invocation.out << tableText({"field", "value"}, rows) << '\n'
                       << tableText(body.value("task_list", json::array()),
                                    {"task", "state", "worker", "incarnation", "reason"});
    });
}

ExitCode explainBooking(const Invocation &invocation)
{
    const std::string target = "/v1/bookings/" + percentEncoded(invocation.words.front()) + "/explain";
    return fetchAndPrint(invocation, target, [&](const json &body) {
        invocation.out << "booking " << cellText(body.value("booking", json())) << " ("
                       << cellText(body.value("state", json())) << ", zone " << cellText(body.value("zone", json()))
                       << "): " << cellText(body.value("summary", json())) << '\n';
        for (const json &reason : body.value("reasons", json::array()))
            invocation.out << "  " << cellText(reason) << '\n';
        if (body.value("stale", json()) == true)
            invocation.out << "  the zone can't be reached; this is what it last reported\n";
    });
}

ExitCode cancelBookings(const Invocation &invocation)
{
    const json body{{"bookings", invocation.words}};
    return sendChange(invocation,
                      {"POST", "/v1/bookings/cancel", body.dump(-1, ' ', false, json::error_handler_t::replace),
                       "application/json", std::nullopt});
}

} // namespace Pistachio::Pistachioctl
