#include "jobnode/advicerequests.h"

#include "jobnode/adviceclient.h"

#include <jobs.pb.h>

#include <algorithm>
#include <chrono>

namespace Pistachio::Jobnode
{

void answerAdviceRequest(AdviceClient &advice, const Transport::Request &request, const Transport::Responder &responder)
{
    Wire::JobAdviceCall call;
    if (!call.ParseFromString(request.body)) {
        responder.respond({400, {}, "not a request for advice"});
        return;
    }
    Jobs::AdviceRequest asked;
    asked.step = {call.job(), call.occurrence(), call.step()};
    asked.minions = {call.minions().begin(), call.minions().end()};
    asked.limit = std::max<Duration>(asked.limit, std::chrono::milliseconds(call.limit_ms()));
    advice.ask(asked, [responder](bool answered, const std::vector<Jobs::ApprovedMinion> &approved) {
        Wire::JobAdviceReply reply;
        reply.set_answered(answered);
        for (const auto &row : approved) {
            auto &ticket = *reply.add_approved();
            ticket.set_minion(row.minion);
            ticket.set_ticket(row.ticket);
        }
        responder.respond({200, {{"Content-Type", "application/x-protobuf"}}, reply.SerializeAsString()});
    });
}

} // namespace Pistachio::Jobnode
