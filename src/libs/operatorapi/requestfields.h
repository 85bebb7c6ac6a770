#pragma once

#include "operatorapi/httpmessage.h"
#include "operatorapi/operatorapi.h"
#include "operatorapi/target.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Pistachio::Cellstate
{
class CellState;
}

namespace Pistachio::Operatorapi::Internal
{

/// What the handlers of the single requests work with.
struct Context {
    const Cellstate::CellState &state;
    const ClusterView &view;
    const Request &request;
    const Target &target;

    [[nodiscard]] bool isDryRun() const;
};

/// A value of a request, or the answer that refuses the request.
template<class T> using Field = std::variant<T, Answer>;

/// The headers of every change.
struct ChangeHeaders {
    std::string requestId; ///< may be empty in a dry run
    std::string author;
};

/// \return the headers Request-Id and Author.
Field<ChangeHeaders> changeHeaders(const Context &context);

/// The headers of a change to a version that the operator has seen.
struct VersionedChange {
    ChangeHeaders headers;
    std::uint64_t expectedVersion = 0;
};

/// \return the headers Request-Id, Author and Expect-Version.
Field<VersionedChange> versionedChange(const Context &context);

/// \param context the request
/// \param keys the keys that the body may have
/// \return the body as a JSON object.
Field<nlohmann::json> jsonBody(const Context &context, const std::vector<std::string_view> &keys);

/// \param message what is wrong with the request
/// \return a refusal with status 400.
Answer invalidRequest(std::string_view message);

/// Which versions the instances have in force.
enum class Subject : std::uint8_t {
    Sheet, ///< counted over the control instances
    Configuration, ///< counted over control and entry instances
};

/// Adds in_force_instances and instances to \p body.
void addSpread(const ClusterView &view, Subject subject, std::uint64_t version, nlohmann::json &body);

/// Completes \p command and makes a proposal of it, or answers a dry run.
/// \param context the request; its state and view must outlive the proposal
/// \param headers the headers of the change
/// \param command the command with its change
/// \param subject what the version in the answer belongs to; nothing when it has none
Handling proposal(const Context &context, const ChangeHeaders &headers, Wire::CellCommand command,
                  std::optional<Subject> subject);

} // namespace Pistachio::Operatorapi::Internal
