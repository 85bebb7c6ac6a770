#include "controlnode/controlnode.h"

#include "controlnode/datalock.h"
#include "controlnode/decisions.h"
#include "controlnode/network.h"
#include "logging/logger.h"
#include "metrics/registry.h"
#include "settings/controlsettings.h"
#include "storage/posixfilesystem.h"

#include <thread>
#include <utility>

namespace Pistachio::Controlnode
{

namespace
{

constexpr std::size_t eventCapacity = 8192;

Result<std::string> readToken(const std::string &path)
{
    Storage::PosixFileSystem files;
    BOOST_OUTCOME_TRY(auto token, files.read(path));
    const auto end = token.find_last_not_of(" \t\r\n");
    if (end == std::string::npos)
        return failure(ErrorCode::InvalidArgument, "the operator token file is empty: " + path);
    token.erase(end + 1);
    return token;
}

} // namespace

class ControlNode::Private
{
public:
    Private(Settings::ControlSettings controlSettings, std::string token,
            std::unique_ptr<Storage::FileSystem> fileSystem)
        : settings(std::move(controlSettings))
        , files(std::move(fileSystem))
        , logger("pistachio-control", settings.instance.value(), settings.log.level, settings.log.file,
                 Logging::Logger::defaultQueueCapacity, settings.log.linesPerSecond)
        , events(eventCapacity)
        , network(settings, std::move(token), events, metrics)
        , decisions(settings, *files, events, network, logger, metrics)
    {
    }

    Settings::ControlSettings settings;
    std::unique_ptr<Storage::FileSystem> files;
    DataLock lock;
    Logging::Logger logger;
    Metrics::Registry metrics;
    EventRing events;
    Network network;
    Decisions decisions;
};

Result<std::unique_ptr<ControlNode>> ControlNode::open(const Settings::ControlSettings &settings,
                                                       std::unique_ptr<Storage::FileSystem> fileSystem, StartMode mode)
{
    BOOST_OUTCOME_TRY(auto token, readToken(settings.operatorTokenFile));
    auto state = std::make_unique<Private>(settings, std::move(token), std::move(fileSystem));
    BOOST_OUTCOME_TRYV(state->lock.take(settings.dataFolder));
    BOOST_OUTCOME_TRYV(claimDataFolder(*state->files, settings, mode));
    BOOST_OUTCOME_TRYV(state->decisions.open());
    BOOST_OUTCOME_TRYV(state->network.listen());
    const auto ports = state->network.ports();
    state->logger.write(
        Logging::LogLevel::Info, "listening",
        {{"internal_port", ports.internal}, {"operator_port", ports.operators}, {"worker_port", ports.worker}});
    return std::unique_ptr<ControlNode>(new ControlNode(std::move(state)));
}

ControlNode::ControlNode(std::unique_ptr<Private> state)
    : d_(std::move(state))
{
}

ControlNode::~ControlNode() = default;

ListenPorts ControlNode::ports() const
{
    return d_->network.ports();
}

int ControlNode::run()
{
    int exitCode = 0;
    std::thread decisionThread([this, &exitCode] {
        exitCode = d_->decisions.run();
        // A failed replica ends the process; after a planned stop the network has already ended.
        d_->network.abort();
    });
    d_->network.run();
    // A full ring empties quickly, since nothing fills it any more.
    while (!d_->events.tryPush(StopRequested{}))
        std::this_thread::yield();
    decisionThread.join();
    d_->logger.write(Logging::LogLevel::Info, "stopped", {{"exit_code", exitCode}});
    return exitCode;
}

} // namespace Pistachio::Controlnode
