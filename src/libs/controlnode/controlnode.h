#pragma once

#include "controlnode/identity.h"
#include "core/result.h"

#include <cstdint>
#include <memory>

namespace Pistachio::Settings
{
struct ControlSettings;
}

namespace Pistachio::Storage
{
class FileSystem;
}

/// The process `pistachio-control`: replicated groups, scheduler and operators' requests on top of the transport.
namespace Pistachio::Controlnode
{

/// The ports the system chose or the settings named.
struct ListenPorts {
    std::uint16_t internal = 0;
    std::uint16_t operators = 0;
    std::uint16_t worker = 0;
};

/// One control instance. It hosts the groups of the settings that name it, on one thread for each duty: network,
/// decisions and logging.
class ControlNode
{
public:
    /// Opens the files and the ports.
    /// \param settings checked settings
    /// \param fileSystem holds the groups' files
    /// \param mode whether this is the first start of the cell
    /// \return the node, or what can't be opened.
    static Result<std::unique_ptr<ControlNode>> open(const Settings::ControlSettings &settings,
                                                     std::unique_ptr<Storage::FileSystem> fileSystem, StartMode mode);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// Serves until SIGTERM or SIGINT, then finishes the requests in flight.
    /// \return the process's exit code; not 0 when a replica failed for good.
    int run();

    [[nodiscard]] ListenPorts ports() const;

private:
    class Private;
    explicit ControlNode(std::unique_ptr<Private> state);

    std::unique_ptr<Private> d_;
};

} // namespace Pistachio::Controlnode
