#include "operatorapi/handlers.h"

#include "cell.pb.h"
#include "cellstate/cellstate.h"
#include "operatorapi/answers.h"
#include "operatorapi/clusterview.h"
#include "operatorapi/proposalfailure.h"
#include "operatorapi/requestfields.h"
#include "zone.pb.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace Pistachio::Operatorapi::Internal
{

namespace
{

using nlohmann::json;

constexpr std::int64_t bytesPerMebibyte = std::int64_t{1} << 20;

json resourcesJson(const Resources &resources)
{
    return {{"cores", static_cast<double>(resources.milliCores) / 1000},
            {"memory_mb", resources.memoryBytes / bytesPerMebibyte},
            {"accelerators", resources.accelerators}};
}

json workerJson(const WorkerView &worker)
{
    return {{"worker", worker.id.value()},
            {"zone", worker.zone.value()},
            {"rack", worker.rack},
            {"capacity", resourcesJson(worker.capacity)},
            {"allocated", resourcesJson(worker.allocated)},
            {"tasks", worker.tasks},
            {"state", worker.state},
            {"reason", worker.reason}};
}

json instanceJson(const InstanceView &instance)
{
    return {{"id", instance.id.value()},
            {"zone", instance.zone.value()},
            {"role", instance.role},
            {"operator", instance.operatorAddress},
            {"reachable", instance.isReachable},
            {"sheet_version", instance.sheetVersion},
            {"configuration_version", instance.configurationVersion}};
}

json recordJson(const Cellstate::InstanceRecord &record)
{
    return {{"id", record.id.value()},
            {"zone", record.zone.value()},
            {"role", record.retired ? "retired" : "added"},
            {"operator", record.operatorAddress},
            {"reachable", false},
            {"replaces", record.replaces.value()}};
}

json zoneJson(const ZoneStatus &zone)
{
    return {{"zone", zone.zone.value()}, {"leader", zone.leader.value()},      {"reachable", zone.isReachable},
            {"workers", zone.workers},   {"running_tasks", zone.runningTasks}, {"waiting_tasks", zone.waitingTasks}};
}

bool isKnownInstance(const Context &context, const InstanceId &id)
{
    const auto views = context.view.instances();
    return std::ranges::find(views, id, &InstanceView::id) != views.end() || context.state.instances().contains(id);
}

Handling setDrain(const Context &context, const std::string &worker, bool isDraining)
{
    const std::string requestId(headerValue(context.request.headers, "Request-Id"));
    const auto workers = context.view.workers();
    const auto found = std::ranges::find(workers, WorkerId(worker), &WorkerView::id);
    if (found == workers.end())
        return failureAnswer(404, "not-found", "worker '" + worker + "' is not known",
                             "GET /v1/workers lists the workers of the zones that can be reached.");
    Wire::ZoneCommand command;
    command.set_proposed_unix_ms(context.request.nowUnixMs);
    command.mutable_set_drain()->set_worker(worker);
    command.mutable_set_drain()->set_draining(isDraining);
    const ClusterView &view = context.view;
    return ZoneProposal{
        found->zone, std::make_shared<const Wire::ZoneCommand>(std::move(command)),
        [worker, isDraining, requestId](const Wire::ZoneResult &result) {
            if (result.code() != Wire::ZONE_RESULT_ACCEPTED)
                return refusalAnswer(result, requestId);
            return jsonAnswer(200, {{"result", "accepted"}, {"worker", worker}, {"draining", isDraining}});
        },
        [&view, requestId](const Error &error) {
            return proposalFailure(error, requestId, view.status().leaderAddress);
        }};
}

Handling proposeInstance(const Context &context, const std::string &replaces)
{
    const auto headers = changeHeaders(context);
    if (const auto *refusal = std::get_if<Answer>(&headers))
        return *refusal;
    const auto body = jsonBody(context, {"id", "zone", "internal", "operator", "worker"});
    if (const auto *refusal = std::get_if<Answer>(&body))
        return *refusal;
    std::map<std::string, std::string> values;
    for (const char *key : {"id", "zone", "internal", "operator", "worker"}) {
        const json value = std::get<json>(body).value(key, json());
        if (!value.is_string())
            return invalidRequest(std::string(key) + " must be a string");
        values[key] = value.get<std::string>();
    }
    if (isKnownInstance(context, InstanceId(values["id"]))
        && !context.state.instances().contains(InstanceId(values["id"])))
        return failureAnswer(409, "instance-exists", "instance '" + values["id"] + "' is already part of the cell",
                             "Give the new instance an id that was never used.");
    Wire::CellCommand command;
    Wire::Instance &instance = *command.mutable_add_instance()->mutable_instance();
    instance.set_id(values["id"]);
    instance.set_zone(values["zone"]);
    instance.set_internal_address(values["internal"]);
    instance.set_operator_address(values["operator"]);
    instance.set_worker_address(values["worker"]);
    instance.set_replaces(replaces);
    return proposal(context, std::get<ChangeHeaders>(headers), std::move(command), std::nullopt);
}

} // namespace

Handling listWorkers(const Context &context)
{
    const std::string zone = context.target.value("zone");
    const std::string state = context.target.value("state");
    json workers = json::array();
    for (const WorkerView &worker : context.view.workers()) {
        if ((zone.empty() || worker.zone.value() == zone) && (state.empty() || worker.state == state))
            workers.push_back(workerJson(worker));
    }
    return jsonAnswer(200, {{"workers", std::move(workers)}});
}

Handling drainWorker(const Context &context, const std::string &worker)
{
    return setDrain(context, worker, true);
}

Handling resumeWorker(const Context &context, const std::string &worker)
{
    return setDrain(context, worker, false);
}

Handling listInstances(const Context &context)
{
    json instances = json::array();
    std::set<InstanceId> seen;
    for (const InstanceView &instance : context.view.instances()) {
        instances.push_back(instanceJson(instance));
        seen.insert(instance.id);
    }
    for (const auto &[id, record] : context.state.instances()) {
        if (!seen.contains(id))
            instances.push_back(recordJson(record));
    }
    return jsonAnswer(200, {{"instances", std::move(instances)}});
}

Handling addInstance(const Context &context)
{
    return proposeInstance(context, {});
}

Handling replaceInstance(const Context &context, const std::string &instance)
{
    if (!isKnownInstance(context, InstanceId(instance)))
        return failureAnswer(404, "not-found", "instance '" + instance + "' is not known",
                             "GET /v1/instances lists the instances.");
    return proposeInstance(context, instance);
}

Handling showStatus(const Context &context)
{
    const StatusView status = context.view.status();
    json zones = json::array();
    for (const ZoneStatus &zone : status.zones)
        zones.push_back(zoneJson(zone));
    json sheet{{"version", context.state.sheetVersion()}};
    addSpread(context.view, Subject::Sheet, context.state.sheetVersion(), sheet);
    json configuration{{"version", context.state.configuration().version()}};
    addSpread(context.view, Subject::Configuration, context.state.configuration().version(), configuration);
    std::map<std::string, std::size_t> bookings{{"active", 0}, {"ended", 0}, {"cancelled", 0}};
    for (const auto &[id, record] : context.state.bookings())
        ++bookings[std::string(Cellstate::toString(record.state))];
    return jsonAnswer(200,
                      {{"answered_by", status.answeredBy.value()},
                       {"leader", status.cellLeader.value()},
                       {"leader_address", status.leaderAddress},
                       {"term", status.term},
                       {"applied_index", status.appliedIndex},
                       {"sheet", std::move(sheet)},
                       {"configuration", std::move(configuration)},
                       {"bookings", bookings},
                       {"zones", std::move(zones)}});
}

} // namespace Pistachio::Operatorapi::Internal
