#include "cell.h"

#include "calm.h"
#include "storage/segment.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <span>
#include <utility>

namespace Pistachio::Soak
{

using Transport::EventLoop;

namespace
{

constexpr Duration stopLimit = 6s; ///< the platform kills a process this long after SIGTERM
constexpr std::size_t garbageBytes = 700;
constexpr Duration seedLag = 3s; ///< the platform's seedLagS, of the operator's list
constexpr std::size_t firstSuccessorAddress = 51;

/// \return the path of a program that was built with this one.
std::string besideThis(std::string_view program)
{
    return std::filesystem::read_symlink("/proc/self/exe").replace_filename(program).string();
}

} // namespace

Cell::Cell(EventLoop &loop, const CellSize &size, std::string folder, const std::string &network, Report report)
    : size_(size)
    , folder_(std::move(folder))
    , network_(network)
    , report_(std::move(report))
    , advice_(network + ".1.1:" + std::to_string(advicePort))
    , proxy_(loop)
{
    for (std::size_t index = 0; index < size.controls + size.entries; ++index) {
        const bool isControl = index < size.controls;
        Instance instance;
        instance.name = (isControl ? "control-" : "entry-") + std::to_string(isControl ? index : index - size.controls);
        if (isControl)
            instance.dataFolder = folder_ + '/' + instance.name;
        add(instance, index + 1);
        instances_.push_back(std::move(instance));
    }
    lists_.emplace_back(TimePoint::min(), controlIps());
}

void Cell::add(Instance &instance, std::size_t address)
{
    instance.ip = network_ + ".2." + std::to_string(address);
    instance.localIp = network_ + ".3." + std::to_string(address);
    std::vector<std::uint16_t> ports{internalPort};
    if (!instance.dataFolder.empty())
        ports.push_back(controlPort);
    proxy_.add(instance.name, instance.ip, instance.localIp, ports);
}

void Cell::writeSettings(const Instance &instance) const
{
    std::ofstream file(folder_ + '/' + instance.name + ".toml");
    file << "instance = \"" << instance.name << "\"\nip = \"" << instance.ip << "\"\nbind_ip = \"" << instance.localIp
         << "\"\nzone = \"z\"\ninternal_port = " << internalPort << "\nseeds = [";
    const char *comma = "";
    for (const auto &seed : controls()) {
        file << comma << '"' << seed.toString() << '"';
        comma = ", ";
    }
    file << "]\n";
    const auto address
        = [&instance](std::uint16_t port) { return '"' + instance.localIp + ':' + std::to_string(port) + "\"\n"; };
    if (instance.dataFolder.empty()) {
        file << "[listen]\ncallers = " << address(callerPort) << "ready = " << address(0) << "[services]\nadvice = \""
             << advice_ << "\"\n[limits]\ndrain_timeout_ms = 5000\n";
    } else {
        file << "data_folder = \"" << instance.dataFolder
             << "\"\nbootstrap = " << (instance.hasStarted ? "false" : "true")
             << "\n[listen]\ncontrol = " << address(controlPort) << "[services]\nadvice = \"" << advice_
             << "\"\n[limits]\ntolerated_losses = 1\nlongest_lease_ms = 6000\ndrain_timeout_ms = 1000\n";
    }
    file << "[log]\nlevel = \"info\"\nfile = \"-\"\n";
}

void Cell::start(std::size_t index)
{
    auto &instance = instances_[index];
    if (instance.isLost)
        return;
    if (instance.process) {
        instance.startsAgain = instance.stoppedAt != TimePoint::min();
        return;
    }
    writeSettings(instance);
    instance.wholeFrom = instance.hasStarted ? EventLoop::now() + catchUpTime : TimePoint::min();
    instance.hasStarted = true;
    instance.startsAgain = false;
    const auto program = besideThis(instance.dataFolder.empty() ? "pistachio-jobentry" : "pistachio-jobcontrol");
    const auto path = folder_ + '/' + instance.name;
    instance.process = std::make_unique<EndToEnd::Process>(
        program, std::vector<std::string>{"--settings=" + path + ".toml"}, path + ".log");
    instance.isFrozen = false;
    instance.stoppedAt = TimePoint::min();
    setListening(instance, true);
}

void Cell::setListening(const Instance &instance, bool isListening)
{
    if (const auto result = proxy_.setListening(instance.name, isListening); !result)
        report_("the proxy of " + instance.name + " failed: " + result.error().message);
}

void Cell::kill(std::size_t index)
{
    auto &instance = instances_[index];
    instance.troubledAt = EventLoop::now();
    instance.process.reset();
    instance.startsAgain = false;
    setListening(instance, false);
}

void Cell::stop(std::size_t index)
{
    terminate(instances_[index]);
}

void Cell::terminate(Instance &instance)
{
    if (!instance.process || instance.stoppedAt != TimePoint::min())
        return;
    instance.stoppedAt = EventLoop::now();
    instance.process->signal(SIGTERM);
}

void Cell::freeze(std::size_t index)
{
    auto &instance = instances_[index];
    if (!instance.process)
        return;
    instance.troubledAt = EventLoop::now();
    instance.isFrozen = true;
    instance.process->signal(SIGSTOP);
}

void Cell::thaw(std::size_t index)
{
    auto &instance = instances_[index];
    if (!instance.isFrozen)
        return;
    instance.troubledAt = EventLoop::now();
    instance.isFrozen = false;
    instance.wholeFrom = EventLoop::now() + catchUpTime;
    if (instance.process)
        instance.process->signal(SIGCONT);
}

void Cell::reload(std::size_t index)
{
    if (instances_[index].process)
        instances_[index].process->signal(SIGHUP);
}

void Cell::wipe(std::size_t index)
{
    kill(index);
    std::filesystem::remove_all(instances_[index].dataFolder);
}

void Cell::lose(std::size_t index)
{
    wipe(index);
    instances_[index].isLost = true;
}

void Cell::damageTail(std::size_t index)
{
    kill(index);
    std::filesystem::path last;
    const auto &folder = instances_[index].dataFolder;
    if (!std::filesystem::exists(folder))
        return;
    for (const auto &item : std::filesystem::recursive_directory_iterator(folder)) {
        if (item.is_regular_file() && item.path().filename().string().starts_with(Storage::Internal::segmentPrefix)
            && item.path() > last)
            last = item.path();
    }
    if (!last.empty())
        std::ofstream(last, std::ios::app | std::ios::binary) << std::string(garbageBytes, '\x5a');
}

void Cell::startSuccessor(std::size_t index)
{
    thaw(index);
    auto &current = instances_[index];
    Instance successor;
    successor.name = "control-" + std::to_string(index) + "-successor-" + std::to_string(successors_);
    successor.dataFolder = folder_ + '/' + successor.name;
    successor.hasStarted = true;
    add(successor, firstSuccessorAddress + successors_++);
    if (current.process)
        predecessors_.emplace_back(index, std::move(current));
    current = std::move(successor);
    lists_.emplace_back(EventLoop::now(), controlIps());
    start(index);
}

void Cell::stopPredecessors(std::size_t index)
{
    for (auto &[successor, instance] : predecessors_) {
        if (successor == index)
            terminate(instance);
    }
}

void Cell::heal()
{
    proxy_.heal();
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        thaw(index);
        start(index);
    }
}

void Cell::watch()
{
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        if (collect(instances_[index]) && instances_[index].startsAgain)
            start(index);
    }
    std::erase_if(predecessors_, [this](auto &item) { return collect(item.second); });
}

/// \return whether the process is gone now.
bool Cell::collect(Instance &instance)
{
    if (!instance.process)
        return false;
    const auto now = EventLoop::now();
    const bool isStopping = instance.stoppedAt != TimePoint::min();
    if (instance.process->isRunning()) {
        if (!isStopping || now < std::max(instance.stoppedAt, instance.troubledAt) + stopLimit || instance.isFrozen)
            return false;
        report_(instance.name + " did not stop in time after SIGTERM");
    } else {
        const auto code = instance.process->wait(std::chrono::milliseconds(0));
        if (!isStopping)
            report_(instance.name + " ended by itself, exit code " + std::to_string(code.value_or(-1)));
        else if (code != 0)
            report_(instance.name + " stopped with exit code " + std::to_string(code.value_or(-1)));
    }
    instance.process.reset();
    setListening(instance, false);
    return true;
}

bool Cell::isComplete() const
{
    return predecessors_.empty() && std::all_of(instances_.begin(), instances_.end(), [](const Instance &instance) {
               return instance.process != nullptr && instance.stoppedAt == TimePoint::min();
           });
}

bool Cell::isWhole(const Instance &instance, TimePoint now)
{
    return instance.process != nullptr && !instance.isFrozen && instance.stoppedAt == TimePoint::min()
        && now >= instance.wholeFrom;
}

bool Cell::hasMajority() const
{
    const auto now = EventLoop::now();
    const auto controls = std::span(instances_).first(size_.controls);
    return std::any_of(controls.begin(), controls.end(), [&](const Instance &one) {
        const auto reached = std::count_if(controls.begin(), controls.end(), [&](const Instance &other) {
            return isWhole(other, now) && proxy_.isOpen(one.name, other.name);
        });
        return isWhole(one, now) && static_cast<std::size_t>(reached) * 2 > size_.controls;
    });
}

bool Cell::isRunning(std::size_t index) const
{
    return instances_[index].process != nullptr;
}

bool Cell::wasOnlyStopped(std::size_t index, TimePoint since) const
{
    const auto &instance = instances_[index];
    return instance.stoppedAt > since && instance.troubledAt < since;
}

std::vector<Transport::Endpoint> Cell::controls() const
{
    const auto newest = EventLoop::now() - seedLag;
    const auto list
        = std::find_if(lists_.rbegin(), lists_.rend(), [&](const auto &item) { return item.first <= newest; });
    std::vector<Transport::Endpoint> endpoints;
    for (const auto &ip : list->second)
        endpoints.push_back({ip, controlPort});
    return endpoints;
}

std::vector<std::string> Cell::controlIps() const
{
    std::vector<std::string> ips;
    for (const auto &instance : std::span(instances_).first(size_.controls))
        ips.push_back(instance.ip);
    return ips;
}

std::vector<Transport::Endpoint> Cell::entries() const
{
    std::vector<Transport::Endpoint> endpoints;
    for (std::size_t index = size_.controls; index < instances_.size(); ++index)
        endpoints.push_back({instances_[index].localIp, callerPort});
    return endpoints;
}

} // namespace Pistachio::Soak
