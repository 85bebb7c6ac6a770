#pragma once

#include "controlnode/clusterreports.h"
#include "controlnode/zonerouter.h"
#include "operatorapi/operatorapi.h"
#include "storage/grouphost.h"
#include "transport/message.h"

namespace Pistachio::Controlnode
{

/// Operators' requests: answered by the cell leader; other instances forward to it.
class OperatorRequests
{
public:
    OperatorRequests(const Cellstate::CellState &state, Storage::GroupHost &cell, ClusterReports &reports,
                     ZoneRouter &zones, const Directory &directory, PeerCalls &calls);

    /// \param request the request, its token already checked
    /// \param forwarded whether another instance handed it over; it is then not forwarded again
    void serve(TimePoint now, Transport::Request request, bool forwarded, const Transport::Responder &responder);

private:
    void forward(TimePoint now, Transport::Request request, const Transport::Responder &responder);
    void answer(const Transport::Request &request, bool stale, const Transport::Responder &responder);
    void carryOut(const Operatorapi::CellProposal &proposal, const Transport::Responder &responder);
    void carryOut(const Operatorapi::ZoneProposal &proposal, const Transport::Responder &responder);

    Operatorapi::OperatorApi api_;
    Storage::GroupHost &cell_;
    ClusterReports &reports_;
    ZoneRouter &zones_;
    const Directory &directory_;
    PeerCalls &calls_;
};

} // namespace Pistachio::Controlnode
