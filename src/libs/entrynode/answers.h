#pragma once

#include "routing/commands.h"
#include "transport/message.h"

#include <string_view>

namespace Pistachio::Wire
{
class RequestRecord;
class StoredAnswer;
} // namespace Pistachio::Wire

namespace Pistachio::Entrynode
{

/// \return `response` as it is passed on to the caller.
Transport::Response passedOn(Transport::Response response, const Routing::RequestId &request);

/// \param command an answer without content of a minion
/// \return the status and text that tell the caller what became of its request.
Transport::Response explained(const Routing::AnswerCommand &command);

/// \return the answer to a resend of a request that has run.
Transport::Response storedAnswer(const Wire::StoredAnswer &answer, const Routing::RequestId &request);

/// \return a 4xx for a request that can't be accepted.
Transport::Response rejected(int status, std::string_view message);

/// \return `not run` for a request that the process can't take on now.
Transport::Response notNow(std::string_view reason);

/// \param record of a key
/// \return the answer to an outcome query.
Transport::Response outcomeOf(const Wire::RequestRecord &record);

/// \param response a complete answer of a minion
/// \param stored gets what is kept for resends: content up to 64 KiB, above that its digest
void store(const Transport::Response &response, Wire::StoredAnswer &stored);

} // namespace Pistachio::Entrynode
