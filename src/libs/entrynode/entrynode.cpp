#include "entrynode/entrynode.h"

#include "entrynode/decisions.h"
#include "entrynode/network.h"
#include "logging/logger.h"
#include "metrics/registry.h"
#include "routing/routersettings.h"
#include "settings/entrysettings.h"

#include <random>

namespace Pistachio::Entrynode
{

namespace
{

/// Events and orders that wait for the other thread; far above what one round of either thread leaves behind.
constexpr std::size_t ringCapacity = 8192;

std::uint64_t randomNumber()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::string hexadecimal(std::uint64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned shift = 64; shift > 0; shift -= 4)
        text += digits[(number >> (shift - 4)) & 0xfU];
    return text;
}

} // namespace

class EntryNode::Private
{
public:
    explicit Private(const Settings::EntrySettings &entrySettings)
        : settings(entrySettings)
        , bootId(hexadecimal(randomNumber()))
        , logger("pistachio-entry", settings.instance.value(), settings.log.level, settings.log.file,
                 Logging::Logger::defaultQueueCapacity, settings.log.linesPerSecond)
        , events(ringCapacity)
        , orders(ringCapacity)
        , network(settings, bootId, events, orders, metrics, logger)
    {
    }

    const Settings::EntrySettings settings;
    const std::string bootId;
    Logging::Logger logger;
    Metrics::Registry metrics;
    EventRing events;
    OrderRing orders;
    Network network;
};

EntryNode::EntryNode(std::unique_ptr<Private> d)
    : d_(std::move(d))
{
}

EntryNode::~EntryNode() = default;

Result<std::unique_ptr<EntryNode>> EntryNode::open(const Settings::EntrySettings &settings)
{
    auto d = std::make_unique<Private>(settings);
    BOOST_OUTCOME_TRY(d->network.listen());
    const ListenPorts ports = d->network.ports();
    d->logger.write(Logging::LogLevel::Info, "listening",
                    {{"callers", ports.callers}, {"minions", ports.minions}, {"internal", ports.internal}});
    return std::unique_ptr<EntryNode>(new EntryNode(std::move(d)));
}

ListenPorts EntryNode::ports() const
{
    return d_->network.ports();
}

int EntryNode::run()
{
    Routing::RouterSettings router;
    router.self = {d_->settings.instance, d_->settings.zone, d_->settings.region};
    router.attemptPrefix = d_->settings.instance.value() + '-' + d_->bootId;
    router.maxQueued = d_->settings.limits.maxQueuedRequests;
    Decisions decisions(
        router, randomNumber(), d_->events, d_->orders, [this] { d_->network.wake(); }, d_->logger);
    return d_->network.run() ? 0 : 1;
}

} // namespace Pistachio::Entrynode
