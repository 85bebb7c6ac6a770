#pragma once

#include "transport/message.h"

namespace Pistachio::Jobnode
{

class AdviceClient;

/// Answers another instance's request to ask for advice, 400 when it can't be read.
void answerAdviceRequest(AdviceClient &advice, const Transport::Request &request,
                         const Transport::Responder &responder);

} // namespace Pistachio::Jobnode
