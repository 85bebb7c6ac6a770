#include "operatorapi/handlers.h"

#include "cell.pb.h"
#include "cellstate/cellstate.h"
#include "operatorapi/answers.h"
#include "operatorapi/configurationjson.h"
#include "operatorapi/requestfields.h"

#include <nlohmann/json.hpp>

namespace Pistachio::Operatorapi::Internal
{

using nlohmann::json;

Handling showConfiguration(const Context &context)
{
    json body = toJson(context.state.configuration());
    addSpread(context.view, Subject::Configuration, context.state.configuration().version(), body);
    return jsonAnswer(200, body);
}

Handling setConfiguration(const Context &context)
{
    const auto fields = versionedChange(context);
    if (const auto *refusal = std::get_if<Answer>(&fields))
        return *refusal;
    const auto &change = std::get<VersionedChange>(fields);
    // What GET answers can be edited and sent back: the keys that only the cell sets are ignored.
    const auto body = jsonBody(context,
                               {"zones", "quotas", "services", "packing_weight_percent", "version", "author",
                                "accepted_at", "in_force_instances", "instances"});
    if (const auto *refusal = std::get_if<Answer>(&body))
        return *refusal;
    const auto configuration = configurationFrom(std::get<json>(body));
    if (configuration.has_error())
        return invalidRequest(configuration.error().message);
    Wire::CellCommand command;
    command.mutable_set_configuration()->set_expected_version(change.expectedVersion);
    *command.mutable_set_configuration()->mutable_configuration() = configuration.value();
    return proposal(context, change.headers, std::move(command), Subject::Configuration);
}

} // namespace Pistachio::Operatorapi::Internal
