#include "entrynode/decisions.h"

#include "logging/logger.h"
#include "routing/balancers.h"
#include "routing/router.h"
#include "routing/slotpolicies.h"
#include "transport/eventloop.h"

#include <chrono>
#include <type_traits>

namespace Pistachio::Entrynode
{

namespace
{

/// Bounds how long orders wait while events keep arriving.
constexpr int mostEventsPerRound = 64;

template<class... Functions> struct Overloaded : Functions... {
    using Functions::operator()...;
};
template<class... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

std::string join(const std::vector<std::string> &parts)
{
    std::string result;
    for (const std::string &part : parts)
        result += (result.empty() ? "" : ",") + part;
    return result;
}

} // namespace

Decisions::Decisions(const Routing::RouterSettings &settings, std::uint64_t seed, EventRing &events, OrderRing &orders,
                     std::function<void()> wake, Logging::Logger &logger)
    : router_(std::make_unique<Routing::Router>(settings, std::make_unique<Routing::TwoChoicesByShare>(),
                                                std::make_unique<Routing::FixedShares>(), seed))
    , events_(events)
    , orders_(orders)
    , wake_(std::move(wake))
    , logger_(logger)
    , thread_([this] { run(); })
{
}

Decisions::~Decisions()
{
    stopping_ = true;
    events_.close();
    thread_.join();
}

void Decisions::run()
{
    while (std::optional<Event> event = events_.pop()) {
        for (int count = 0; event && count < mostEventsPerRound; ++count) {
            apply(Transport::EventLoop::now(), *event);
            event = count + 1 < mostEventsPerRound ? events_.tryPop() : std::nullopt;
        }
        router_->tick(Transport::EventLoop::now());
        publish();
    }
}

void Decisions::apply(TimePoint now, const Event &event)
{
    std::visit(Overloaded{[](std::monostate) {}, [](Tick) {}, [this](Drain) { router_->drain(); },
                          [this, now](const Routing::Request &request) { router_->requestArrived(now, request); },
                          [this, now](const Routing::ClaimResult &result) { router_->claimAnswered(now, result); },
                          [this, now](const Routing::AttemptResult &result) { router_->attemptFinished(now, result); },
                          [this, now](const Routing::MinionAnnouncement &announcement) {
                              router_->minionAnnounced(now, announcement);
                          },
                          [this, now](const MinionLeft &left) { router_->minionLeft(now, left.minion); },
                          [this, now](const EntriesChanged &changed) { router_->entriesChanged(now, changed.entries); },
                          [this, now](const Routing::PeerReport &report) { router_->peerReported(now, report); }},
               event);
}

void Decisions::publish()
{
    for (Routing::Command &command : router_->takeCommands()) {
        std::visit(
            [this](auto &content) {
                if constexpr (std::is_same_v<std::decay_t<decltype(content)>, Routing::DecisionRecord>)
                    log(content);
                else
                    push(std::move(content));
            },
            command);
    }
    push(Status{router_->nextTick(), router_->openRequests(), router_->queuedRequests(), router_->usableMinions(),
                router_->loads()});
    wake_();
}

void Decisions::push(const Order &order)
{
    // The network thread never waits for this one, so a full ring empties soon; an order must not be lost.
    while (!orders_.tryPush(order) && !stopping_) {
        wake_();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void Decisions::log(const Routing::DecisionRecord &record)
{
    logger_.write(Logging::LogLevel::Info, "routing-decision",
                  {{"request", record.request.value()},
                   {"caller", record.caller.value()},
                   {"service", record.service.value()},
                   {"attempt", record.attempt.value()},
                   {"attempt_number", record.attemptNumber},
                   {"chosen", record.chosen},
                   {"candidates", join(record.candidates)},
                   {"reason", record.reason},
                   {"outcome", record.outcome}});
}

} // namespace Pistachio::Entrynode
