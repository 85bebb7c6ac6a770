#pragma once

#include "jobs/orders.h"

#include <cstdint>
#include <string>

/// \file
/// Orders for minions and their answers as control instances exchange them.

namespace Pistachio::Wire
{
class JobOrder;
class JobOrderAnswer;
} // namespace Pistachio::Wire

namespace Pistachio::Jobnode
{

void fill(Wire::JobOrder &message, const Jobs::StartOrder &order);
void fill(Wire::JobOrder &message, const Jobs::StopOrder &order);
void fill(Wire::JobOrder &message, const Jobs::ThrottleOrder &order);
void fill(Wire::JobOrder &message, const Jobs::LeaseOrder &order);

/// \param message holds an order of the kind that the function names
/// \param fencingToken of the batch
[[nodiscard]] Jobs::StartOrder toStartOrder(const Wire::JobOrder &message, std::uint64_t fencingToken);
[[nodiscard]] Jobs::StopOrder toStopOrder(const Wire::JobOrder &message, std::uint64_t fencingToken);
[[nodiscard]] Jobs::ThrottleOrder toThrottleOrder(const Wire::JobOrder &message, std::uint64_t fencingToken);
[[nodiscard]] Jobs::LeaseOrder toLeaseOrder(const Wire::JobOrder &message, std::uint64_t fencingToken);

void fill(Wire::JobOrderAnswer &message, const Jobs::OrderAnswer &answer);
void fill(Wire::JobOrderAnswer &message, const Jobs::LeaseAnswer &answer);

[[nodiscard]] Jobs::OrderAnswer toOrderAnswer(const Wire::JobOrderAnswer &message);
[[nodiscard]] Jobs::LeaseAnswer toLeaseAnswer(const Wire::JobOrderAnswer &message);

} // namespace Pistachio::Jobnode
