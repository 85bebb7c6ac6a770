#include "cell.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <sstream>
#include <thread>

namespace Review
{

namespace
{

constexpr std::int64_t longestPlayMs = 115'000;

std::mt19937_64 &randomSource()
{
    static std::mt19937_64 source(std::random_device{}());
    return source;
}

} // namespace

Record::Record(const std::string &path)
    : file_(path)
    , begun_(nowMs())
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    file_ << elapsedMs() << " ms  " << text << '\n' << std::flush;
}

Cell::Cell(Record &record, int controls, int entries, bool proxied)
    : record_(record)
    , controls_(static_cast<std::size_t>(controls))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    network_ = "127." + std::to_string(20 + randomSource()() % 200);
    std::vector<std::string> ips;
    for (int index = 0; index < controls + entries; ++index) {
        Instance instance;
        instance.isControl = index < controls;
        instance.name = (instance.isControl ? "core-" : "frontend-")
            + std::to_string(instance.isControl ? index + 1 : index - controls + 1);
        instance.ip = address(2, index + 1);
        instance.bindIp = proxied ? address(3, index + 1) : std::string();
        if (instance.isControl)
            instance.dataFolder = folder_ + "/data-" + instance.name;
        ips.push_back(instance.ip);
        if (proxied)
            ips.push_back(instance.bindIp);
        instances_.push_back(instance);
    }
    for (auto *port : {&controlPort_, &internalPort_, &callerPort_, &readyPort_, &metricsPort_})
        *port = freePort(ips);
    advice_ = address(9, 1) + ":9";
}

Cell::~Cell()
{
    for (auto &instance : instances_) {
        if (instance.pid > 0) {
            ::kill(instance.pid, SIGCONT);
            ::kill(instance.pid, SIGKILL);
            ::waitpid(instance.pid, nullptr, 0);
        }
    }
    if (std::getenv("KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

std::string Cell::address(int part, int number) const
{
    return network_ + '.' + std::to_string(part) + '.' + std::to_string(number);
}

std::vector<std::string> Cell::controlIps() const
{
    std::vector<std::string> ips;
    for (std::size_t index = 0; index < controls_; ++index)
        ips.push_back(instances_[index].ip);
    return ips;
}

// The templates in platform/, filled in with the values that DEPLOY shows.
void Cell::writeSettings(const Instance &instance) const
{
    const std::string &local = instance.bindIp.empty() ? instance.ip : instance.bindIp;
    const auto at = [&local](std::uint16_t port) { return '"' + local + ':' + std::to_string(port) + "\"\n"; };
    std::ofstream file(folder_ + '/' + instance.name + ".toml");
    file << "instance = \"" << instance.name << "\"\nip = \"" << instance.ip << "\"\n";
    if (!instance.bindIp.empty())
        file << "bind_ip = \"" << instance.bindIp << "\"\n";
    file << "zone = \"svea-a\"\nregion = \"svealand\"\n";
    if (instance.isControl)
        file << "data_folder = \"" << instance.dataFolder
             << "\"\nbootstrap = " << (instance.hasStarted ? "false" : "true") << '\n';
    file << "internal_port = " << internalPort_ << "\nmetrics_port = " << metricsPort_ << "\nseeds = [";
    for (std::size_t index = 0; index < controls_; ++index)
        file << (index == 0 ? "" : ", ") << '"' << instances_[index].ip << ':' << controlPort_ << '"';
    file << "]\n[listen]\n";
    if (instance.isControl)
        file << "control = " << at(controlPort_);
    else
        file << "callers = " << at(callerPort_) << "ready = " << at(readyPort_);
    file << "[services]\nadvice = \"" << advice_ << "\"\n[limits]\n";
    if (instance.isControl)
        file << "max_descriptors = 4096\ntolerated_losses = 1\ncatch_up_s = 4\nlongest_lease_ms = 6000\n"
                "stop_timeout_ms = 400\nminion_drain_ms = 2500\ngang_timeout_ms = 3000\nreport_interval_ms = 1500\n"
                "finished_readable_s = 120\nstop_grace_s = 6\ndrain_timeout_ms = 1000\n";
    else
        file << "max_descriptors = 4100\nstop_grace_s = 6\ndrain_timeout_ms = 5000\n";
    file << "[log]\nlevel = \"info\"\nlines_per_second = 1000\nfile = \"-\"\n";
}

void Cell::start(std::size_t index)
{
    auto &instance = instances_[index];
    if (instance.pid > 0)
        return;
    writeSettings(instance);
    instance.hasStarted = true;
    const std::string program
        = instance.isControl ? "target/bin/pistachio-jobcontrol" : "target/bin/pistachio-jobentry";
    const std::string settings = "--settings=" + folder_ + '/' + instance.name + ".toml";
    const std::string log = folder_ + '/' + instance.name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl(program.c_str(), program.c_str(), settings.c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }
    instance.pid = pid;
    record_.line(instance.name + " starts");
}

void Cell::startAll()
{
    for (std::size_t index = 0; index < instances_.size(); ++index)
        start(index);
}

void Cell::signal(std::size_t index, int number)
{
    record_.line(instances_[index].name + " gets signal " + std::to_string(number));
    ::kill(instances_[index].pid, number);
}

void Cell::kill(std::size_t index)
{
    auto &instance = instances_[index];
    if (instance.pid <= 0)
        return;
    signal(index, SIGKILL);
    ::waitpid(instance.pid, nullptr, 0);
    instance.pid = -1;
}

bool Cell::configure(const json &document, std::int64_t limitMs)
{
    const auto until = nowMs() + limitMs;
    for (std::size_t turn = 0; nowMs() < until; ++turn) {
        const auto &ip = instances_[turn % controls_].ip;
        const auto answer = httpCall(
            ip, controlPort_,
            {"POST", "/pistachioworks/config/replace", {{"Content-Type", "application/json"}}, document.dump()}, 1000);
        record_.line("operator sends version " + document["version"].dump() + " to " + instances_[turn % controls_].name
                     + ": " + std::to_string(answer.status));
        if (answer.status == 200)
            return true;
        sleepMs(100);
    }
    return false;
}

Answer Cell::consumer(std::size_t entry, const std::string &method, const std::string &path, const json &body,
                      std::int64_t deadlineMs)
{
    const auto &instance = instances_[controls_ + entry];
    const std::string &ip = instance.bindIp.empty() ? instance.ip : instance.bindIp;
    HttpRequest request{
        method,
        path,
        {{"Host", host}, {"Content-Type", "application/json"}, {"Deadline-Ms", std::to_string(deadlineMs)}},
        body.is_null() ? std::string() : body.dump()};
    const auto response = httpCall(ip, callerPort_, request, deadlineMs + 300);
    return {response.status, json::parse(response.body, nullptr, false)};
}

int Cell::submit(const std::string &path, const json &job, int attempts)
{
    int status = 0;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const auto entry = static_cast<std::size_t>(attempt) % (instances_.size() - controls_);
        status = consumer(entry, "POST", path, job).status;
        record_.line("POST " + path + " at " + instances_[controls_ + entry].name + ": " + std::to_string(status));
        if (status == 200 || status == 404 || status == 400)
            return status;
        sleepMs(200);
    }
    return status;
}

json route(const std::string &name, const std::string &prefix, const std::string &service, int maxAttempts)
{
    return {{"name", name},
            {"host", Cell::host},
            {"pathPrefix", prefix},
            {"kind", "non_idempotent"},
            {"timeoutMs", 3000},
            {"targetLatencyMs", 400},
            {"priority", 0},
            {"service", service},
            {"maxAttempts", maxAttempts},
            {"slackFactor", 1.5}};
}

json desiredState(int version, const std::vector<json> &routes, const std::vector<std::string> &services)
{
    json list = json::array();
    for (const auto &service : services)
        list.push_back({{"name", service},
                        {"healthPath", "/healthz"},
                        {"maxConnections", 64},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"preconditions", false},
                        {"standby", false}});
    return {
        {"version", version},
        {"routes", routes},
        {"services", list},
        {"limits",
         {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
}

json oneStepJob(const std::string &id, int count, int cpu, int memMb, int estimateMs)
{
    return {{"taskSpec", "name " + id},
            {"jobSteps", {{{"count", count}, {"cpu", cpu}, {"memMb", memMb}, {"estimateMs", estimateMs}}}}};
}

std::vector<std::unique_ptr<Proxy>> proxiesOf(Cell &cell, const std::set<std::string> &affected)
{
    std::vector<std::unique_ptr<Proxy>> proxies;
    for (std::size_t index = 0; index < cell.size(); ++index) {
        const auto &instance = cell.instance(index);
        for (const auto port : {cell.internalPort(), cell.controlPort()}) {
            if (port == cell.controlPort() && !instance.isControl)
                continue;
            auto proxy = std::make_unique<Proxy>();
            proxy->setHeldCallers(affected);
            if (!proxy->listen(instance.ip, port, instance.bindIp, port))
                return {};
            proxies.push_back(std::move(proxy));
        }
    }
    return proxies;
}

std::string newJobId()
{
    std::ostringstream text;
    text << std::hex;
    for (int digit = 0; digit < 16; ++digit)
        text << randomSource()() % 16;
    return text.str();
}

int runCase(int argc, char **argv, int (*play)(const std::string &folder))
{
    if (argc != 2)
        return CouldNotRun;
    // The programs get a signal when this process ends, however it ends; see Cell::start().
    std::thread([] {
        sleepMs(longestPlayMs);
        std::puts("could not run: it took too long");
        std::_Exit(CouldNotRun);
    }).detach();
    const int verdict = play(argv[1]);
    std::puts(verdict == Held ? "the rule held" : verdict == Broken ? "the rule was broken" : "could not run");
    return verdict;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace Review
