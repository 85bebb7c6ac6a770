#pragma once

#include "core/time.h"
#include "jobs/orders.h"
#include "transport/eventloop.h"
#include "transport/message.h"

#include <functional>
#include <string_view>

namespace Pistachio::Jobnode
{

/// Answers a batch of minions' reports that another instance has taken.
/// \param body an encoded JobMinionReports
/// \param report handles one report and tells whether what it says is stored
/// \param responder gets the outcome of each report, at the latest after a short time
void answerReportBatch(Transport::EventLoop &loop, std::string_view body,
                       const std::function<void(const Jobs::MinionReport &, std::function<void(bool)>)> &report,
                       const Transport::Responder &responder);

} // namespace Pistachio::Jobnode
