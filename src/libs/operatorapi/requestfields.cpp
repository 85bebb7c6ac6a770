#include "operatorapi/requestfields.h"

#include "cell.pb.h"
#include "cellstate/cellstate.h"
#include "operatorapi/answers.h"
#include "operatorapi/clusterview.h"
#include "operatorapi/proposalfailure.h"
#include "sheet/identifierfault.h"
#include "sheet/utf8.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Pistachio::Operatorapi::Internal
{

namespace
{

using nlohmann::json;

constexpr std::size_t maximumAuthorBytes = 100;

bool isAuthor(std::string_view text)
{
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; };
    return !text.empty() && text.size() <= maximumAuthorBytes && !Sheet::firstInvalidUtf8(text)
        && std::ranges::none_of(text, isControl);
}

Answer acceptedAnswer(const Wire::CellResult &result, const ClusterView &view, std::optional<Subject> subject,
                      std::string_view requestId)
{
    if (result.code() != Wire::CELL_RESULT_ACCEPTED)
        return refusalAnswer(result);
    json body{{"result", "accepted"},
              {"message", result.message()},
              {"differences", result.differences()},
              {"notes", result.notes()},
              {"repeated_request", result.repeated_request()}};
    if (!requestId.empty())
        body["request_id"] = requestId;
    if (subject) {
        body["version"] = result.version();
        addSpread(view, *subject, result.version(), body);
    }
    return jsonAnswer(200, body);
}

Answer dryRunAnswer(const Wire::CellResult &result)
{
    if (result.code() != Wire::CELL_RESULT_ACCEPTED)
        return refusalAnswer(result);
    return jsonAnswer(200,
                      {{"result", "would be accepted"},
                       {"dry_run", true},
                       {"differences", result.differences()},
                       {"notes", result.notes()}});
}

} // namespace

bool Context::isDryRun() const
{
    return target.value("dry_run") == "true";
}

Field<ChangeHeaders> changeHeaders(const Context &context)
{
    ChangeHeaders headers{std::string(headerValue(context.request.headers, "Request-Id")),
                          std::string(headerValue(context.request.headers, "Author"))};
    const bool needsId = !context.isDryRun() || !headers.requestId.empty();
    if (const std::string fault = Sheet::identifierFault(headers.requestId); needsId && !fault.empty())
        return invalidRequest("the header Request-Id " + fault);
    if (!isAuthor(headers.author))
        return invalidRequest("the header Author must hold 1 to " + std::to_string(maximumAuthorBytes)
                              + " bytes of UTF-8 without control characters");
    return headers;
}

Field<VersionedChange> versionedChange(const Context &context)
{
    auto headers = changeHeaders(context);
    if (const auto *refusal = std::get_if<Answer>(&headers))
        return *refusal;
    const std::string_view text = headerValue(context.request.headers, "Expect-Version");
    std::uint64_t version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return invalidRequest("the header Expect-Version must hold the version that the change was made for");
    return VersionedChange{std::move(std::get<ChangeHeaders>(headers)), version};
}

Field<json> jsonBody(const Context &context, const std::vector<std::string_view> &keys)
{
    json body = json::parse(context.request.body, nullptr, false);
    if (!body.is_object())
        return invalidRequest("the body must be a JSON object");
    for (const auto &[key, value] : body.items()) {
        if (std::ranges::find(keys, key) == keys.end())
            return invalidRequest("the body has the unknown key '" + key + "'");
    }
    return body;
}

Answer invalidRequest(std::string_view message)
{
    return failureAnswer(400, "invalid-request", message, "Correct the request; nothing was changed.");
}

void addSpread(const ClusterView &view, Subject subject, std::uint64_t version, json &body)
{
    std::size_t instances = 0;
    std::size_t inForce = 0;
    for (const InstanceView &instance : view.instances()) {
        if (subject == Subject::Sheet && instance.role == "entry")
            continue;
        const std::uint64_t there = subject == Subject::Sheet ? instance.sheetVersion : instance.configurationVersion;
        ++instances;
        inForce += there >= version ? 1 : 0;
    }
    body["in_force_instances"] = inForce;
    body["instances"] = instances;
}

Handling proposal(const Context &context, const ChangeHeaders &headers, Wire::CellCommand command,
                  std::optional<Subject> subject)
{
    command.set_author(headers.author);
    command.set_proposed_unix_ms(context.request.nowUnixMs);
    if (context.isDryRun())
        return dryRunAnswer(context.state.preview(command));
    command.set_request_id(headers.requestId);
    const ClusterView &view = context.view;
    return CellProposal{std::make_shared<const Wire::CellCommand>(std::move(command)),
                        [&view, subject, id = headers.requestId](const Wire::CellResult &result) {
                            return acceptedAnswer(result, view, subject, id);
                        },
                        [&view, id = headers.requestId](const Error &error) {
                            return proposalFailure(error, id, view.status().leaderAddress);
                        }};
}

} // namespace Pistachio::Operatorapi::Internal
