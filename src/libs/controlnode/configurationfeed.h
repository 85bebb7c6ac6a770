#pragma once

#include "core/identifier.h"
#include "core/time.h"
#include "transport/message.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Pistachio::Wire
{
class Configuration;
class ConfigurationPoll;
class ConfigurationPush;
class EntryInstance;
} // namespace Pistachio::Wire

namespace Pistachio::Controlnode
{

/// The entries of a zone at its leader: their long polls, the version in force at each, and which of them are alive.
class ConfigurationFeed
{
public:
    ConfigurationFeed();
    ~ConfigurationFeed();
    ConfigurationFeed(const ConfigurationFeed &) = delete;
    ConfigurationFeed &operator=(const ConfigurationFeed &) = delete;

    /// What entries may be told. A configuration below the floor is not handed out: it may have been replaced.
    struct Content {
        std::uint64_t floor = 0;
        const Wire::Configuration *configuration = nullptr;
    };

    /// Counts silence from the start of the leadership; \p claiming are the entries that hold claims.
    void start(TimePoint now, const std::vector<std::string> &claiming);

    /// Answers and forgets everything.
    void stop(const Transport::Response &answer);

    void poll(TimePoint now, const Wire::ConfigurationPoll &poll, const Transport::Responder &responder);

    /// Answers the polls that have news or have waited long enough.
    void answer(TimePoint now, const Content &content);

    /// \return the entries that fell silent since the last call.
    std::vector<std::string> takeSilent(TimePoint now);

    struct EntryVersion {
        std::string entry;
        std::uint64_t version = 0;
        bool reachable = false;
    };
    [[nodiscard]] std::vector<EntryVersion> versions() const;

private:
    struct Entry;

    [[nodiscard]] bool isLive(const Entry &entry, TimePoint now) const;
    void fillView(TimePoint now, Wire::ConfigurationPush &push) const;

    std::map<std::string, std::unique_ptr<Entry>> entries_;
    std::uint64_t viewRevision_ = 1;
};

} // namespace Pistachio::Controlnode
