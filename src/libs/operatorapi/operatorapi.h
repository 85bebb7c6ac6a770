#pragma once

#include "core/error.h"
#include "core/identifier.h"
#include "operatorapi/httpmessage.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace Pistachio::Wire
{
class CellCommand;
class CellResult;
class ZoneCommand;
class ZoneResult;
} // namespace Pistachio::Wire

namespace Pistachio::Cellstate
{
class CellState;
}

/// Operators' HTTP requests as commands, and results as JSON answers.
namespace Pistachio::Operatorapi
{

class ClusterView;

/// A change for the cell log. The caller proposes the command and answers with one of the two functions.
struct CellProposal {
    std::shared_ptr<const Wire::CellCommand> command;
    std::function<Answer(const Wire::CellResult &)> answer; ///< uses the view and state at the time of the call
    std::function<Answer(const Error &)> failed; ///< the proposal had no result: NotLeader, Unavailable or Unknown
};

/// A change for the log of one zone.
struct ZoneProposal {
    ZoneId zone;
    std::shared_ptr<const Wire::ZoneCommand> command;
    std::function<Answer(const Wire::ZoneResult &)> answer;
    std::function<Answer(const Error &)> failed;
};

using Handling = std::variant<Answer, CellProposal, ZoneProposal>;

/// Handles the requests of the operator port, except /v1/metrics, /healthz and /readyz. It does not check the token;
/// see isAuthorized().
class OperatorApi
{
public:
    /// \param state read by every call; must outlive this object and the functions it returned
    /// \param view read by every call; must outlive this object and the functions it returned
    OperatorApi(const Cellstate::CellState &state, const ClusterView &view);

    /// \param request the request, its token already checked
    /// \return the answer, or the change to propose first.
    [[nodiscard]] Handling handle(const Request &request) const;

private:
    const Cellstate::CellState *state_;
    const ClusterView *view_;
};

} // namespace Pistachio::Operatorapi
