#pragma once

#include "core/result.h"

#include <cstdint>
#include <memory>

namespace Pistachio::Settings
{
struct EntrySettings;
}

/// The process `pistachio-entry`: joins the decisions of `routing` to callers, minions, control and other entries.
namespace Pistachio::Entrynode
{

/// The ports the system chose or the settings named.
struct ListenPorts {
    std::uint16_t callers = 0;
    std::uint16_t minions = 0;
    std::uint16_t internal = 0;
};

/// One entry with its threads: network, decisions, logging.
class EntryNode
{
public:
    /// Opens the ports.
    /// \param settings checked settings of the entry
    /// \return the node, or why a port can't be used.
    static Result<std::unique_ptr<EntryNode>> open(const Settings::EntrySettings &settings);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    [[nodiscard]] ListenPorts ports() const;

    /// Serves until SIGTERM or SIGINT, then turns unready and finishes what is in flight.
    /// \return the process's exit code: 0 when nothing had to be cut off.
    int run();

private:
    class Private;
    explicit EntryNode(std::unique_ptr<Private> d);
    std::unique_ptr<Private> d_;
};

} // namespace Pistachio::Entrynode
