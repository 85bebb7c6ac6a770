// What the scheduler asks of the process.

#include "jobnode/jobcontrolprivate.h"

namespace Pistachio::Jobnode
{

using Internal::momentNow;
using Logging::LogLevel;
using Transport::EventLoop;

void JobControl::propose(Wire::JobCommand command, std::function<void(bool applied)> ended)
{
    auto text = command.SerializeAsString();
    d_->group->propose(
        EventLoop::now(), std::move(text),
        [this, command = std::move(command), ended = std::move(ended)](const Result<std::string> &result) {
            if (result) {
                if (ended)
                    ended(true);
                return;
            }
            // Told later, since the scheduler may be in the middle of a round. After Unknown the leadership is gone,
            // and what was applied is read from the store again.
            const bool isKnown = result.error().code != ErrorCode::Unknown;
            d_->runtime.loop().post([this, command, ended, isKnown] {
                if (isKnown)
                    d_->scheduler.proposalFailed(momentNow(), command);
                if (ended)
                    ended(false);
            });
        });
    changed();
}

void JobControl::start(const Jobs::StartOrder &order)
{
    d_->runtime.metrics().add("start_orders_total");
    d_->minions.start(order, [this, order](const Jobs::OrderAnswer &answer) {
        d_->runtime.metrics().add("start_answers_total{outcome=\"" + toString(answer.outcome) + "\"}");
        d_->scheduler.startAnswered(momentNow(), order, answer);
        changed();
    });
}

void JobControl::stop(const Jobs::StopOrder &order)
{
    d_->runtime.metrics().add("stop_orders_total");
    d_->minions.stop(order, [this, order](const Jobs::OrderAnswer &answer) {
        d_->scheduler.stopAnswered(momentNow(), order, answer);
        changed();
    });
}

void JobControl::renewLease(const Jobs::LeaseOrder &order)
{
    d_->runtime.metrics().add("hold_orders_total");
    d_->minions.renewLease(order, [this, order](const Jobs::LeaseAnswer &answer) {
        d_->scheduler.leaseAnswered(momentNow(), order, answer);
        changed();
    });
}

void JobControl::throttle(const Jobs::ThrottleOrder &order)
{
    d_->runtime.metrics().add("pace_orders_total");
    d_->minions.throttle(order, [this, order](const Jobs::OrderAnswer &answer) {
        d_->scheduler.throttleAnswered(momentNow(), order, answer);
    });
}

std::size_t JobControl::idleAdviceClients() const
{
    return d_->advisers.idle(EventLoop::now());
}

void JobControl::askAdvice(const Jobs::AdviceRequest &request)
{
    d_->runtime.metrics().add("advice_requests_total");
    d_->advisers.ask(EventLoop::now(), request,
                     [this, request](bool answered, const std::vector<Jobs::ApprovedMinion> &approved) {
                         d_->scheduler.adviceAnswered(momentNow(), request, answered, approved);
                         changed();
                     });
}

void JobControl::logDecision(LogLevel level, std::string_view event, std::initializer_list<Logging::LogField> fields)
{
    d_->runtime.logger().write(level, event, fields);
}

} // namespace Pistachio::Jobnode
