#include "cluster.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <thread>
#include <utility>

namespace Pistachio::EndToEnd
{

using namespace Transport;

namespace
{

const std::string token = "end-to-end-token";

std::string name(int index)
{
    return "control-" + std::to_string(index + 1);
}

std::string address(std::uint16_t port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

} // namespace

Cluster::Cluster(int controls)
    : controls_(static_cast<std::size_t>(controls))
    , voters_(controls)
    , client_(loop_, {})
{
    auto pattern = (std::filesystem::temp_directory_path() / "pistachio-endtoend-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    std::ofstream(folder_ + "/token") << token << '\n';
    for (auto &control : controls_)
        reservePorts(control);
    for (int index = 0; index < controls; ++index) {
        writeSettings(index);
        startControl(index);
    }
}

Cluster::~Cluster()
{
    minion_.reset();
    entry_.reset();
    workers_.clear();
    controls_.clear();
    for (const int descriptor : reserved_)
        ::close(descriptor);
    // Kept after a failure that unwinds the stack, as the logs tell what happened.
    if (std::uncaught_exceptions() == 0)
        std::filesystem::remove_all(folder_);
}

// The instances must know each other's ports before they start. A socket that is bound but does not listen keeps a port
// from being given to others and still lets the instance listen there.
std::uint16_t Cluster::reservePort()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in loopback{};
    loopback.sin_family = AF_INET;
    loopback.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)::bind(descriptor, reinterpret_cast<sockaddr *>(&loopback), sizeof(loopback));
    socklen_t size = sizeof(loopback);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&loopback), &size);
    reserved_.push_back(descriptor);
    return ntohs(loopback.sin_port);
}

void Cluster::reservePorts(Control &control)
{
    control.internal = reservePort();
    control.operators = reservePort();
    control.worker = reservePort();
}

std::string Cluster::addControl()
{
    const int index = size();
    auto &control = controls_.emplace_back();
    reservePorts(control);
    writeSettings(index);
    startControl(index);
    const auto quoted = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + '"'; };
    return R"({"id": ")" + name(index) + R"(", "zone": "svealand", "internal": )" + quoted(control.internal)
        + R"(, "operator": )" + quoted(control.operators) + R"(, "worker": )" + quoted(control.worker) + '}';
}

void Cluster::writeSettings(int index)
{
    auto &control = controls_[static_cast<std::size_t>(index)];
    control.settings = folder_ + '/' + name(index) + ".toml";
    std::ofstream file(control.settings);
    file << "instance = \"" << name(index) << "\"\nzone = \"svealand\"\ndata_folder = \"" << folder_ << '/'
         << name(index) << "\"\noperator_token_file = \"" << folder_
         << "/token\"\n[listen]\ninternal = " << address(control.internal)
         << "operator = " << address(control.operators) << "worker = " << address(control.worker);
    std::string voters;
    for (int other = 0; other < size(); ++other) {
        const auto &peer = controls_[static_cast<std::size_t>(other)];
        file << "[[instance_address]]\nid = \"" << name(other)
             << "\"\nzone = \"svealand\"\ninternal = " << address(peer.internal)
             << "operator = " << address(peer.operators) << "worker = " << address(peer.worker);
        if (other < voters_)
            voters += (other > 0 ? ", \"" : "\"") + name(other) + '"';
    }
    const auto learner = index < voters_ ? std::string() : '"' + name(index) + '"';
    for (const auto *group : {"cell", "zone:svealand"})
        file << "[[group]]\nname = \"" << group << "\"\nvoters = [" << voters << "]\nlearners = [" << learner << "]\n";
}

void Cluster::startControl(int index)
{
    auto &control = controls_[static_cast<std::size_t>(index)];
    std::vector<std::string> arguments{"--settings=" + control.settings};
    // Only the first start of an initial voter; later ones prove that it keeps its identity, added ones that they join.
    if (!std::exchange(control.hasStarted, true) && index < voters_)
        arguments.emplace_back("--bootstrap");
    control.process = std::make_unique<Process>(PISTACHIO_CONTROL, arguments, control.settings + ".log");
}

void Cluster::startWorker(const std::string &worker, std::vector<std::string> arguments)
{
    std::string ports;
    for (const auto &control : controls_)
        ports += (ports.empty() ? "127.0.0.1:" : ",127.0.0.1:") + std::to_string(control.worker);
    arguments.insert(arguments.end(),
                     {"--worker=" + worker, "--zone=svealand", "--control=" + ports, "--journal=" + journalPath()});
    workers_[worker] = std::make_unique<Process>(STANDIN_WORKER, arguments, folder_ + '/' + worker + ".log");
}

void Cluster::killWorker(const std::string &worker)
{
    workers_.at(worker)->kill();
    deaths_[worker] = EventLoop::now().time_since_epoch().count();
}

void Cluster::startEntryAndMinion()
{
    callers_ = reservePort();
    const auto minions = reservePort();
    const auto settings = folder_ + "/entry-1.toml";
    std::ofstream file(settings);
    file << "instance = \"entry-1\"\nzone = \"svealand\"\n[listen]\ncallers = " << address(callers_)
         << "minions = " << address(minions) << "internal = " << address(reservePort());
    for (int index = 0; index < size(); ++index) {
        file << "[[control]]\nid = \"" << name(index)
             << "\"\nzone = \"svealand\"\ninternal = " << address(controls_[static_cast<std::size_t>(index)].internal);
    }
    file.close();
    entry_ = std::make_unique<Process>(PISTACHIO_ENTRY, std::vector<std::string>{"--settings=" + settings},
                                       folder_ + "/entry-1.log");
    minion_ = std::make_unique<Process>(
        STANDIN_MINION,
        std::vector<std::string>{"--service=ordering", "--entries=127.0.0.1:" + std::to_string(minions)}, minionLog());
}

CallResult Cluster::request(Request request)
{
    return send(callers_, std::move(request), std::chrono::milliseconds(8000));
}

CallResult Cluster::call(int index, Request request, std::chrono::milliseconds limit)
{
    request.headers.push_back({"Authorization", "Bearer " + token});
    return send(controls_[static_cast<std::size_t>(index)].operators, std::move(request), limit);
}

CallResult Cluster::send(std::uint16_t port, Request request, std::chrono::milliseconds limit)
{
    std::optional<CallResult> result;
    client_.call({"127.0.0.1", port}, std::move(request), limit,
                 [&result](CallResult answer) { result = std::move(answer); });
    while (!result)
        loop_.runFor(std::chrono::milliseconds(2));
    return *result;
}

std::string Cluster::get(const std::string &target)
{
    constexpr std::chrono::milliseconds limit(1500);
    for (int index = 0; index < size(); ++index) {
        auto result = call(index, {"GET", target, {}, {}}, limit);
        if (result && result.value().status == 200)
            return result.value().body;
    }
    return {};
}

int Cluster::leader(const std::string &group)
{
    constexpr std::chrono::milliseconds limit(500);
    const std::string metric = group == "cell" ? "cell_is_leader 1" : "zone_is_leader{zone=\"svealand\"} 1";
    for (int index = 0; index < size(); ++index) {
        const auto result = call(index, {"GET", "/v1/metrics", {}, {}}, limit);
        if (result && result.value().body.find(metric) != std::string::npos)
            return index;
    }
    return -1;
}

bool Cluster::waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return condition();
}

} // namespace Pistachio::EndToEnd
