#include "operatorapi/operatorapi.h"

#include "operatorapi/answers.h"
#include "operatorapi/handlers.h"
#include "operatorapi/requestfields.h"
#include "operatorapi/target.h"

#include <array>

namespace Pistachio::Operatorapi
{

namespace
{

using namespace Internal;

// A path is a list of segments after "v1"; "*" stands for a name, which is passed to the handler.
struct Route {
    std::string_view method;
    std::array<std::string_view, 3> path;
    Handling (*handle)(const Context &, const std::string &);
};

template<Handling (*handler)(const Context &)> Handling unnamed(const Context &context, const std::string &)
{
    return handler(context);
}

constexpr std::array<Route, 16> routes{{
    {"POST", {"sheets"}, unnamed<applySheet>},
    {"GET", {"sheets"}, unnamed<listSheets>},
    {"GET", {"sheets", "*"}, showSheet},
    {"GET", {"bookings"}, unnamed<listBookings>},
    {"POST", {"bookings", "cancel"}, unnamed<cancelBookings>},
    {"GET", {"bookings", "*"}, showBooking},
    {"GET", {"bookings", "*", "explain"}, explainBooking},
    {"GET", {"workers"}, unnamed<listWorkers>},
    {"POST", {"workers", "*", "drain"}, drainWorker},
    {"POST", {"workers", "*", "resume"}, resumeWorker},
    {"GET", {"instances"}, unnamed<listInstances>},
    {"POST", {"instances"}, unnamed<addInstance>},
    {"PUT", {"instances", "*"}, replaceInstance},
    {"GET", {"configuration"}, unnamed<showConfiguration>},
    {"PUT", {"configuration"}, unnamed<setConfiguration>},
    {"GET", {"status"}, unnamed<showStatus>},
}};

bool matches(const Route &route, const std::vector<std::string> &path)
{
    std::size_t size = 0;
    while (size < route.path.size() && !route.path[size].empty())
        ++size;
    if (path.size() != size + 1 || path.front() != "v1")
        return false;
    for (std::size_t i = 0; i < size; ++i) {
        if (route.path[i] != "*" && route.path[i] != path[i + 1])
            return false;
    }
    return true;
}

Answer wrongMethod(const std::string &method, const std::string &allowed)
{
    Answer answer
        = failureAnswer(405, "method-not-allowed", "the path does not take " + method, "Use one of: " + allowed + '.');
    answer.headers.emplace_back("Allow", allowed);
    return answer;
}

} // namespace

OperatorApi::OperatorApi(const Cellstate::CellState &state, const ClusterView &view)
    : state_(&state)
    , view_(&view)
{
}

Handling OperatorApi::handle(const Request &request) const
{
    constexpr std::size_t nameSegment = 2;
    const auto target = Target::parse(request.target);
    if (!target)
        return invalidRequest("the target is not percent-encoded UTF-8");
    std::string allowed;
    for (const Route &route : routes) {
        if (!matches(route, target->path))
            continue;
        if (route.method == request.method) {
            const Context context{*state_, *view_, request, *target};
            return route.handle(context, target->path.size() > nameSegment ? target->path[nameSegment] : std::string());
        }
        allowed.append(allowed.empty() ? "" : ", ").append(route.method);
    }
    if (!allowed.empty())
        return wrongMethod(request.method, allowed);
    return failureAnswer(404, "not-found", "there is no such path", "See docs/OPERATIONS.md for the paths.");
}

} // namespace Pistachio::Operatorapi
