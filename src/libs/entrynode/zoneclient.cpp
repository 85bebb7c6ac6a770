#include "entrynode/zoneclient.h"

#include "settings/entrysettings.h"
#include "transport/eventloop.h"
#include "transport/http2client.h"

#include <entry.pb.h>
#include <zone.pb.h>

namespace Pistachio::Entrynode
{

using namespace Transport;

namespace
{

constexpr Duration pollTimeout = 6s; ///< twice the long poll
constexpr Duration outcomeTimeout = 3s;

/// \return the decoded answer, or why there is none.
Result<Wire::ZoneResult> toZoneResult(const CallResult &answer)
{
    if (!answer) {
        const CallError &error = answer.error();
        return failure(error.written ? ErrorCode::Unknown : ErrorCode::Unavailable, error.error.message);
    }
    Wire::ZoneResult result;
    if (answer.value().status != 200)
        return failure(ErrorCode::Unavailable, "control answered " + std::to_string(answer.value().status));
    if (!result.ParseFromString(answer.value().body))
        return failure(ErrorCode::Unknown, "control's answer can't be decoded");
    return result;
}

} // namespace

struct ZoneClient::Instance {
    Instance(EventLoop &loop, const Settings::Address &address, std::uint64_t seed)
        : client(loop, {address.ip, address.port}, {}, seed)
    {
    }
    Http2Client client;
};

ZoneClient::ZoneClient(EventLoop &loop, const Settings::EntrySettings &settings)
    : ownZone_(settings.zone)
{
    std::uint64_t seed = std::hash<InstanceId>{}(settings.instance);
    for (const auto &control : settings.controls)
        zones_[control.zone].instances.push_back(std::make_unique<Instance>(loop, control.internal, ++seed));
}

ZoneClient::~ZoneClient()
{
    // The clients fail their calls when they are destroyed; nobody waits for them any more.
    closing_ = true;
    zones_.clear();
}

void ZoneClient::propose(const ZoneId &zone, const Wire::ZoneCommand &command, Duration timeout,
                         const ProposeDone &done)
{
    call(zone, "/zone/propose", command.SerializeAsString(), timeout, [done](const CallResult &answer) {
        Result<Wire::ZoneResult> result = toZoneResult(answer);
        if (result && result.value().code() == Wire::ZONE_RESULT_IN_DOUBT)
            result = failure(ErrorCode::Unknown, result.value().message());
        done(std::move(result));
    });
}

void ZoneClient::askOutcome(const ZoneId &zone, const std::string &key, const ProposeDone &done)
{
    Wire::OutcomeQuery query;
    query.set_key(key);
    call(zone, "/zone/outcome", query.SerializeAsString(), outcomeTimeout,
         [done](const CallResult &answer) { done(toZoneResult(answer)); });
}

void ZoneClient::poll(const ZoneId &zone, const Wire::ConfigurationPoll &poll, const PollDone &done)
{
    call(zone, "/zone/subscribe", poll.SerializeAsString(), pollTimeout, [done](const CallResult &answer) {
        Wire::ConfigurationPush push;
        if (!answer)
            done(answer.error().error);
        else if (answer.value().status != 200 || !push.ParseFromString(answer.value().body))
            done(failure(ErrorCode::Unavailable, "control answered " + std::to_string(answer.value().status)));
        else
            done(std::move(push));
    });
}

void ZoneClient::call(const ZoneId &zone, std::string path, std::string body, Duration timeout,
                      std::function<void(CallResult)> done)
{
    // Control instances hand requests on to the zone named in the header, so those of the own zone can stand in.
    const ZoneId &asked = zones_.contains(zone) ? zone : ownZone_;
    const auto known = zones_.find(asked);
    if (known == zones_.end()) {
        done(CallError{failure(ErrorCode::Unavailable, "no control instance of zone " + asked.value() + " is set"),
                       false});
        return;
    }
    Request request{"POST", std::move(path), {{"pistachio-zone", zone.value()}}, std::move(body)};
    post(asked, std::move(request), EventLoop::now() + timeout, known->second.instances.size(), std::move(done));
}

void ZoneClient::post(const ZoneId &zone, Request request, TimePoint deadline, std::size_t tries,
                      std::function<void(CallResult)> done)
{
    Zone &known = zones_.at(zone);
    Instance &instance = *known.instances[known.current % known.instances.size()];
    const Duration remaining = std::max<Duration>(deadline - EventLoop::now(), 1ms);
    Request copy = request;
    instance.client.call(
        std::move(copy), remaining,
        [this, zone, request = std::move(request), deadline, tries, done = std::move(done)](CallResult answer) mutable {
            if (closing_)
                return;
            const bool failed = !answer || answer.value().status != 200;
            if (failed)
                ++zones_.at(zone).current;
            // Only what was not written may be sent again: the first one may still take effect.
            const bool mayRepeat = !answer && !answer.error().written && tries > 1;
            if (mayRepeat && EventLoop::now() < deadline)
                post(zone, std::move(request), deadline, tries - 1, std::move(done));
            else
                done(std::move(answer));
        });
}

} // namespace Pistachio::Entrynode
