#include "jobnode/orderwire.h"

#include <jobs.pb.h>

#include <array>
#include <cstddef>
#include <utility>

namespace Pistachio::Jobnode
{

using Jobs::OrderOutcome;
using Jobs::RunEnd;

namespace
{

constexpr std::array<std::pair<OrderOutcome, Wire::JobOrderOutcome>, 11> outcomes{{
    {OrderOutcome::Done, Wire::JOB_ORDER_DONE},
    {OrderOutcome::StaleFencingToken, Wire::JOB_ORDER_STALE_FENCING_TOKEN},
    {OrderOutcome::StaleRun, Wire::JOB_ORDER_STALE_RUN},
    {OrderOutcome::LeaseTooShort, Wire::JOB_ORDER_LEASE_TOO_SHORT},
    {OrderOutcome::InsufficientCapacity, Wire::JOB_ORDER_INSUFFICIENT_CAPACITY},
    {OrderOutcome::TicketRejected, Wire::JOB_ORDER_TICKET_REJECTED},
    {OrderOutcome::Invalid, Wire::JOB_ORDER_INVALID},
    {OrderOutcome::Refused, Wire::JOB_ORDER_REFUSED},
    {OrderOutcome::IncarnationMismatch, Wire::JOB_ORDER_INCARNATION_MISMATCH},
    {OrderOutcome::Unanswered, Wire::JOB_ORDER_UNANSWERED},
    {OrderOutcome::NotSent, Wire::JOB_ORDER_NOT_SENT},
}};

constexpr std::array<std::pair<RunEnd, Wire::JobRunEnd>, 6> runEnds{{
    {RunEnd::Done, Wire::JOB_RUN_END_DONE},
    {RunEnd::Failed, Wire::JOB_RUN_END_FAILED},
    {RunEnd::Stopped, Wire::JOB_RUN_END_STOPPED},
    {RunEnd::LeaseExpired, Wire::JOB_RUN_END_LAPSED},
    {RunEnd::GangMemberEnded, Wire::JOB_RUN_END_BROKEN},
    {RunEnd::GangIncomplete, Wire::JOB_RUN_END_ALONE},
}};

Wire::JobOrderOutcome toWire(OrderOutcome outcome)
{
    for (const auto &[value, wire] : outcomes) {
        if (value == outcome)
            return wire;
    }
    return Wire::JOB_ORDER_UNANSWERED;
}

/// An outcome that a later version has added may mean anything.
OrderOutcome fromWire(Wire::JobOrderOutcome outcome)
{
    for (const auto &[value, wire] : outcomes) {
        if (wire == outcome)
            return value;
    }
    return OrderOutcome::Unanswered;
}

Wire::JobRunEnd toWire(RunEnd end)
{
    for (const auto &[value, wire] : runEnds) {
        if (value == end)
            return wire;
    }
    return Wire::JOB_RUN_END_UNSPECIFIED;
}

/// \return nothing for an end that this version doesn't know.
std::optional<RunEnd> fromWire(Wire::JobRunEnd end)
{
    for (const auto &[value, wire] : runEnds) {
        if (wire == end)
            return value;
    }
    return std::nullopt;
}

template<class Order> void fillMinion(Wire::JobOrder &message, const Order &order)
{
    message.set_minion(order.minion.id);
    message.set_minion_born_unix_ms(order.minion.bornUnixMs);
    message.set_address(order.address);
    message.set_fence_incarnation(order.fence.incarnation);
}

Jobs::MinionIncarnation minionOf(const Wire::JobOrder &message)
{
    return {message.minion(), message.minion_born_unix_ms()};
}

Jobs::MinionFence fenceOf(const Wire::JobOrder &message, std::uint64_t fencingToken)
{
    return {fencingToken, message.fence_incarnation()};
}

} // namespace

void fill(Wire::JobOrder &message, const Jobs::StartOrder &order)
{
    fillMinion(message, order);
    auto &start = *message.mutable_start();
    Jobs::fill(*start.mutable_task(), order.task);
    start.set_run(order.run);
    start.set_payload(order.payload);
    start.set_checkpoint(order.checkpoint);
    start.set_ticket(order.ticket);
    start.set_lease_expires_at_ms(order.leaseExpiresAtMs);
}

void fill(Wire::JobOrder &message, const Jobs::StopOrder &order)
{
    fillMinion(message, order);
    auto &stop = *message.mutable_stop();
    Jobs::fill(*stop.mutable_task(), order.task);
    stop.set_run(order.run);
}

void fill(Wire::JobOrder &message, const Jobs::ThrottleOrder &order)
{
    fillMinion(message, order);
    auto &throttle = *message.mutable_throttle();
    Jobs::fill(*throttle.mutable_task(), order.task);
    throttle.set_run(order.run);
    throttle.set_percent(order.percent);
}

void fill(Wire::JobOrder &message, const Jobs::LeaseOrder &order)
{
    fillMinion(message, order);
    auto &renewal = *message.mutable_renewal();
    if (order.leaseExpiresAtMs)
        renewal.set_lease_expires_at_ms(*order.leaseExpiresAtMs);
    renewal.set_acknowledged_end(order.acknowledgedEnd);
    renewal.set_wait_us(order.wait.count());
}

Jobs::StartOrder toStartOrder(const Wire::JobOrder &message, std::uint64_t fencingToken)
{
    const auto &start = message.start();
    Jobs::StartOrder order;
    order.minion = minionOf(message);
    order.address = message.address();
    order.task = Jobs::toTaskName(start.task());
    order.run = start.run();
    order.payload = start.payload();
    order.checkpoint = start.checkpoint();
    order.ticket = start.ticket();
    order.leaseExpiresAtMs = start.lease_expires_at_ms();
    order.fence = fenceOf(message, fencingToken);
    return order;
}

Jobs::StopOrder toStopOrder(const Wire::JobOrder &message, std::uint64_t fencingToken)
{
    const auto &stop = message.stop();
    return {minionOf(message), message.address(), Jobs::toTaskName(stop.task()), stop.run(),
            fenceOf(message, fencingToken)};
}

Jobs::ThrottleOrder toThrottleOrder(const Wire::JobOrder &message, std::uint64_t fencingToken)
{
    const auto &throttle = message.throttle();
    return {minionOf(message), message.address(),  Jobs::toTaskName(throttle.task()),
            throttle.run(),    throttle.percent(), fenceOf(message, fencingToken)};
}

Jobs::LeaseOrder toLeaseOrder(const Wire::JobOrder &message, std::uint64_t fencingToken)
{
    const auto &renewal = message.renewal();
    Jobs::LeaseOrder order;
    order.minion = minionOf(message);
    order.address = message.address();
    if (renewal.has_lease_expires_at_ms())
        order.leaseExpiresAtMs = renewal.lease_expires_at_ms();
    order.acknowledgedEnd = renewal.acknowledged_end();
    order.wait = Duration(renewal.wait_us());
    order.fence = fenceOf(message, fencingToken);
    return order;
}

void fill(Wire::JobOrderAnswer &message, const Jobs::OrderAnswer &answer)
{
    message.set_outcome(toWire(answer.outcome));
    if (answer.clockMs)
        message.set_clock_ms(*answer.clockMs);
    message.set_may_reach_later_incarnation(answer.mayReachLaterIncarnation);
}

void fill(Wire::JobOrderAnswer &message, const Jobs::LeaseAnswer &answer)
{
    message.set_outcome(toWire(answer.outcome));
    if (answer.clockMs)
        message.set_clock_ms(*answer.clockMs);
    auto &lists = *message.mutable_lists();
    lists.set_born_unix_ms(answer.bornUnixMs);
    for (const auto &active : answer.active) {
        auto &row = *lists.add_active();
        Jobs::fill(*row.mutable_task(), active.task);
        row.set_run(active.run);
        row.set_checkpoint(active.checkpoint);
        row.set_percent(active.percent);
        row.set_measurement(active.measurement);
        row.set_lacks_progress(!active.hasProgress);
    }
    lists.set_lacks_active(!answer.isActiveComplete);
    for (const auto &ended : answer.ended) {
        auto &row = *lists.add_ended();
        row.set_number(ended.number);
        Jobs::fill(*row.mutable_task(), ended.task);
        row.set_run(ended.run);
        row.set_how(toWire(ended.end));
        row.set_checkpoint(ended.checkpoint);
    }
    lists.set_lacks_ended(!answer.areEndsComplete);
    lists.set_has_more_ends(answer.hasMoreEnds);
}

Jobs::OrderAnswer toOrderAnswer(const Wire::JobOrderAnswer &message)
{
    Jobs::OrderAnswer answer;
    answer.outcome = fromWire(message.outcome());
    if (message.has_clock_ms())
        answer.clockMs = message.clock_ms();
    answer.mayReachLaterIncarnation = message.may_reach_later_incarnation();
    return answer;
}

Jobs::LeaseAnswer toLeaseAnswer(const Wire::JobOrderAnswer &message)
{
    const auto &lists = message.lists();
    Jobs::LeaseAnswer answer;
    answer.outcome = fromWire(message.outcome());
    if (message.has_clock_ms())
        answer.clockMs = message.clock_ms();
    answer.bornUnixMs = lists.born_unix_ms();
    answer.active.reserve(static_cast<std::size_t>(lists.active_size()));
    for (const auto &row : lists.active())
        answer.active.push_back({Jobs::toTaskName(row.task()), row.run(), row.checkpoint(), row.percent(),
                                 row.measurement(), !row.lacks_progress()});
    answer.isActiveComplete = !lists.lacks_active();
    answer.areEndsComplete = !lists.lacks_ended();
    answer.ended.reserve(static_cast<std::size_t>(lists.ended_size()));
    for (const auto &row : lists.ended()) {
        const auto how = fromWire(row.how());
        if (how)
            answer.ended.push_back({row.number(), Jobs::toTaskName(row.task()), row.run(), *how, row.checkpoint()});
        else
            answer.areEndsComplete = false;
    }
    answer.hasMoreEnds = lists.has_more_ends();
    return answer;
}

} // namespace Pistachio::Jobnode
