#include "controlnode/configurationfeed.h"

#include <cell.pb.h>
#include <entry.pb.h>

#include <optional>
#include <utility>

namespace Pistachio::Controlnode
{

namespace
{
constexpr Duration pollInterval = 3s;
constexpr Duration silenceLimit = 12s; ///< then claims of the entry become unknown
} // namespace

struct ConfigurationFeed::Entry {
    Wire::EntryInstance self;
    std::uint64_t version = 0;
    TimePoint lastPoll;
    bool leaving = false;
    bool silent = false;
    std::uint64_t seenView = 0;
    std::optional<Transport::Responder> waiting;
};

ConfigurationFeed::ConfigurationFeed() = default;
ConfigurationFeed::~ConfigurationFeed() = default;

void ConfigurationFeed::start(TimePoint now, const std::vector<std::string> &claiming)
{
    for (const auto &id : claiming) {
        auto &entry = entries_[id];
        if (!entry)
            entry = std::make_unique<Entry>();
        entry->lastPoll = now;
    }
}

void ConfigurationFeed::stop(const Transport::Response &answer)
{
    const auto entries = std::exchange(entries_, {});
    for (const auto &[id, entry] : entries) {
        if (entry->waiting)
            entry->waiting->respond(answer);
    }
}

void ConfigurationFeed::poll(TimePoint now, const Wire::ConfigurationPoll &poll, const Transport::Responder &responder)
{
    auto &entry = entries_[poll.entry()];
    if (!entry)
        entry = std::make_unique<Entry>();
    if (entry->waiting)
        entry->waiting->respond({409, {}, "replaced by a newer poll\n"});
    const bool wasListed = isLive(*entry, now) && entry->self.SerializeAsString() == poll.self().SerializeAsString();
    entry->self = poll.self();
    entry->version = poll.version_in_force();
    entry->lastPoll = now;
    entry->leaving = poll.leaving();
    entry->silent = false;
    entry->waiting = responder;
    if (wasListed != isLive(*entry, now))
        ++viewRevision_;
}

void ConfigurationFeed::answer(TimePoint now, const Content &content)
{
    const bool mayPush = content.configuration && content.configuration->version() >= content.floor;
    for (auto &[id, entry] : entries_) {
        if (!entry->waiting)
            continue;
        const bool hasNews = mayPush && content.configuration->version() > entry->version;
        if (!hasNews && entry->seenView == viewRevision_ && !entry->leaving && now - entry->lastPoll < pollInterval)
            continue;
        Wire::ConfigurationPush push;
        push.set_floor(content.floor);
        if (hasNews)
            *push.mutable_configuration() = *content.configuration;
        fillView(now, push);
        entry->seenView = viewRevision_;
        entry->waiting->respond({200, {}, push.SerializeAsString()});
        entry->waiting.reset();
    }
}

void ConfigurationFeed::fillView(TimePoint now, Wire::ConfigurationPush &push) const
{
    for (const auto &[id, entry] : entries_) {
        if (isLive(*entry, now))
            *push.add_entries() = entry->self;
    }
}

bool ConfigurationFeed::isLive(const Entry &entry, TimePoint now) const
{
    return !entry.leaving && !entry.silent && !entry.self.id().empty() && now - entry.lastPoll < silenceLimit;
}

std::vector<std::string> ConfigurationFeed::takeSilent(TimePoint now)
{
    std::vector<std::string> result;
    for (auto &[id, entry] : entries_) {
        if (entry->silent || now - entry->lastPoll < silenceLimit)
            continue;
        entry->silent = true;
        ++viewRevision_;
        result.push_back(id);
    }
    return result;
}

std::vector<ConfigurationFeed::EntryVersion> ConfigurationFeed::versions() const
{
    std::vector<EntryVersion> result;
    for (const auto &[id, entry] : entries_)
        result.push_back({id, entry->version, !entry->silent});
    return result;
}

} // namespace Pistachio::Controlnode
