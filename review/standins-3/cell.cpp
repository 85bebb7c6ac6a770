#include "cell.h"

#include <csignal>
#include <cstdio>
#include <filesystem>

namespace Review
{

using Transport::EventLoop;

namespace
{
constexpr std::uint16_t internalPort = 7100;
constexpr std::uint16_t metricsPort = 9100;
constexpr std::uint16_t controlPort = 7200;
constexpr std::uint16_t callerPort = 7300;
constexpr std::uint16_t readyPort = 7301;
constexpr Duration step = std::chrono::milliseconds(5);
} // namespace

Cell::Cell(EventLoop &loop, std::string network, std::string folder, const std::string &recordPath)
    : loop_(loop)
    , network_(std::move(network))
    , folder_(std::move(folder))
    , record_(recordPath)
    , begun_(EventLoop::now())
    , client_(std::make_unique<Transport::HttpClient>(loop, Transport::HttpClientLimits()))
    , processes_(controls + entries)
    , hasStarted_(controls + entries)
{
}

std::string Cell::nameOf(std::size_t index) const
{
    return index < controls ? "core-" + std::to_string(index) : "front-" + std::to_string(index - controls);
}

std::string Cell::address(std::size_t host, std::uint16_t port) const
{
    return network_ + ".9." + std::to_string(host) + ':' + std::to_string(port);
}

Transport::Endpoint Cell::control(std::size_t index) const
{
    return {network_ + ".2." + std::to_string(index + 1), controlPort};
}

Transport::Endpoint Cell::entry(std::size_t index) const
{
    return {network_ + ".2." + std::to_string(controls + index + 1), callerPort};
}

std::vector<Transport::Endpoint> Cell::controlList() const
{
    std::vector<Transport::Endpoint> list;
    for (std::size_t index = 0; index < controls; ++index)
        list.push_back(control(index));
    return list;
}

/// As platform/control.toml and platform/entry.toml, filled in for a small deployment.
void Cell::writeSettings(std::size_t index)
{
    const bool isControl = index < controls;
    const auto ip = network_ + ".2." + std::to_string(index + 1);
    std::ofstream file(folder_ + '/' + nameOf(index) + ".toml");
    file << "instance = \"" << nameOf(index) << "\"\nip = \"" << ip << "\"\nzone = \"zone-" << index % controls
         << "\"\nregion = \"region-" << index % controls << "\"\n";
    if (isControl)
        file << "data_folder = \"" << folder_ << '/' << nameOf(index)
             << "-data\"\nbootstrap = " << (hasStarted_[index] ? "false" : "true") << '\n';
    file << "internal_port = " << internalPort << "\nmetrics_port = " << metricsPort << "\nseeds = [";
    for (std::size_t seed = 0; seed < controls; ++seed)
        file << (seed > 0 ? ", " : "") << '"' << control(seed).toString() << '"';
    file << "]\n[listen]\n";
    if (isControl)
        file << "control = \"" << control(index).toString() << "\"\n";
    else
        file << "callers = \"" << ip << ':' << callerPort << "\"\nready = \"" << ip << ':' << readyPort << "\"\n";
    file << "[services]\nadvice = \"" << address(250, 7400) << "\"\n";
    if (isControl)
        file << "machines = \"" << address(251, 7400) << "\"\n";
    file << "[limits]\nmax_memory_mb = 260\nmax_descriptors = 4096\n";
    if (isControl)
        file << "tolerated_losses = 1\ncatch_up_s = 4\nlongest_lease_ms = 6000\nstop_timeout_ms = 400\n"
             << "minion_drain_ms = 2500\ngang_timeout_ms = 3000\nremote_penalty = 1.5\nreport_interval_ms = 1500\n"
             << "finished_readable_s = 120\n";
    file << "stop_grace_s = 6\ndrain_timeout_ms = " << (isControl ? 1000 : 5000)
         << "\n[log]\nlevel = \"info\"\nlines_per_second = 1000\nfile = \"-\"\n";
}

void Cell::start(std::size_t index)
{
    writeSettings(index);
    hasStarted_[index] = true;
    const std::string program = index < controls ? "target/bin/pistachio-jobcontrol" : "target/bin/pistachio-jobentry";
    processes_[index] = std::make_unique<EndToEnd::Process>(
        program, std::vector<std::string>{"--settings=" + folder_ + '/' + nameOf(index) + ".toml"},
        folder_ + '/' + nameOf(index) + ".log");
    record("start " + nameOf(index));
}

void Cell::startAll()
{
    for (std::size_t index = 0; index < processes_.size(); ++index)
        start(index);
}

void Cell::kill(std::size_t index)
{
    record("kill " + nameOf(index));
    processes_[index].reset();
}

void Cell::signal(std::size_t index, int number)
{
    record("signal " + std::to_string(number) + " to " + nameOf(index));
    processes_[index]->signal(number);
}

void Cell::wipe(std::size_t index)
{
    record("the disk of " + nameOf(index) + " is lost");
    std::filesystem::remove_all(folder_ + '/' + nameOf(index) + "-data");
}

bool Cell::isRunning(std::size_t index)
{
    return processes_[index] && processes_[index]->isRunning();
}

void Cell::pass(Duration span)
{
    const auto until = EventLoop::now() + span;
    while (EventLoop::now() < until)
        loop_.runFor(step);
}

bool Cell::waitFor(Duration limit, const std::function<bool()> &condition)
{
    const auto until = EventLoop::now() + limit;
    while (!condition()) {
        if (EventLoop::now() >= until)
            return false;
        loop_.runFor(step);
    }
    return true;
}

void Cell::callLater(const Transport::Endpoint &endpoint, const std::string &method, const std::string &target,
                     const std::string &host, const std::string &body, Duration limit,
                     const std::function<void(const Answer &)> &answered)
{
    Transport::Request request;
    request.method = method;
    request.target = target;
    request.headers = {{"Content-Type", "application/json"}, {"Deadline-Ms", std::to_string(limit / 1ms)}};
    if (!host.empty())
        request.headers.push_back({"Host", host});
    request.body = body;
    client_->call(endpoint, std::move(request), limit + 500ms, [answered](const Transport::CallResult &result) {
        answered(result ? Answer{result.value().status, result.value().body} : Answer());
    });
}

Answer Cell::call(const Transport::Endpoint &endpoint, const std::string &method, const std::string &target,
                  const std::string &host, const std::string &body, Duration limit)
{
    bool isOver = false;
    Answer answer;
    callLater(endpoint, method, target, host, body, limit, [&](const Answer &result) {
        answer = result;
        isOver = true;
    });
    waitFor(limit + 2s, [&isOver] { return isOver; });
    record(method + ' ' + target + " at " + endpoint.toString() + " -> " + std::to_string(answer.status) + ' '
           + answer.body.substr(0, 200));
    return answer;
}

void Cell::record(const std::string &text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f s  ", std::chrono::duration<double>(EventLoop::now() - begun_).count());
    record_ << time << text << std::endl;
}

} // namespace Review
