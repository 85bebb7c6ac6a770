#include "limitedcell.h"

#include "crowd.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace Pistachio::ClientLimits
{

namespace
{

constexpr int maxMemoryMb = 64;
constexpr int maxDescriptors = 256;

/// \return an address of 127/8 that tests running at the same time don't use.
std::string address(int last)
{
    const int id = ::getpid();
    return "127." + std::to_string(64 + id % 128) + '.' + std::to_string(id / 128 % 250) + '.' + std::to_string(last);
}

std::string post(const std::string &target, const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

LimitedCell::LimitedCell()
    : controlIp_(address(1))
    , entryIp_(address(2))
    , folder_(std::filesystem::temp_directory_path() / ("clientlimits-" + std::to_string(::getpid())))
{
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    start(Program::Control);
    start(Program::Entry);
}

LimitedCell::~LimitedCell()
{
    entry_.reset();
    control_.reset();
    std::filesystem::remove_all(folder_);
}

void LimitedCell::start(Program program)
{
    const bool isControl = program == Program::Control;
    const std::string name = isControl ? "control" : "entry";
    const auto path = (folder_ / name).string();
    std::ofstream file(path + ".toml");
    file << "instance = \"" << name << "\"\nip = \"" << (isControl ? controlIp_ : entryIp_)
         << "\"\nzone = \"z\"\ninternal_port = " << internal(program).port << "\nmetrics_port = " << metrics().port
         << "\nseeds = [\"" << control().toString() << "\"]\n";
    if (isControl)
        file << "data_folder = \"" << path << "\"\nbootstrap = true\n[listen]\ncontrol = \"" << control().toString()
             << "\"\n";
    else
        file << "[listen]\ncallers = \"" << callers().toString() << "\"\nready = \"" << ready().toString() << "\"\n";
    file << "[services]\nadvice = \"" << controlIp_ << ":9\"\n[limits]\nmax_descriptors = " << maxDescriptors
         << "\nmax_memory_mb = " << maxMemoryMb << "\n[log]\nlevel = \"info\"\nfile = \"-\"\n";
    file.close();
    (isControl ? control_ : entry_)
        = std::make_unique<EndToEnd::Process>(isControl ? PISTACHIO_JOBCONTROL : PISTACHIO_JOBENTRY,
                                              std::vector<std::string>{"--settings=" + path + ".toml"}, path + ".log");
}

std::string LimitedCell::submitJob()
{
    const auto number = std::to_string(++jobs_);
    const auto configured = ordinaryRequest(
        control(),
        post("/pistachioworks/config/replace",
             "{\"version\":" + number
                 + ",\"routes\":[{\"name\":\"queue\",\"host\":\"jobs.example\",\"pathPrefix\":\"/q/\","
                   "\"kind\":\"non_idempotent\",\"service\":\"s\",\"timeoutMs\":3000,\"priority\":0,\"maxAttempts\":4,"
                   "\"slackFactor\":2.0,\"targetLatencyMs\":800}],\"services\":[{\"name\":\"s\",\"healthPath\":\"/\","
                   "\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"preconditions\":false}],"
                   "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                   "\"idleTimeoutMs\":15000}}"));
    if (!configured.starts_with("HTTP/1.1 200"))
        return "control answered: " + configured;
    const auto submitted = ordinaryRequest(callers(),
                                           post("/q/000000000000000" + number,
                                                "{\"taskSpec\":\"x\",\"jobSteps\":[{\"count\":1,\"cpu\":100,\"memMb\":"
                                                "64,\"estimateMs\":400}]}"));
    return submitted.starts_with("HTTP/1.1 200") ? std::string() : "the entry answered: " + submitted;
}

std::string LimitedCell::reportMinion(const Transport::Endpoint &control, const Transport::Endpoint &address)
{
    const auto answer = ordinaryRequest(
        control,
        post("/pistachioworks/instances/minion-" + std::to_string(address.port) + "/heartbeat",
             "{\"born\":1,\"address\":\"" + address.toString()
                 + "\",\"service\":\"s\",\"zone\":\"z\",\"sequence\":1,\"state\":\"ready\",\"capacity\":"
                   "{\"cpu\":4000,\"memMb\":4096,\"gpu\":0}}"));
    return answer.starts_with("HTTP/1.1 200") ? std::string() : "control answered: " + answer;
}

bool LimitedCell::isRunning(Program program)
{
    return (program == Program::Control ? control_ : entry_)->isRunning();
}

std::size_t LimitedCell::statusKb(Program program, const std::string &field) const
{
    std::ifstream file("/proc/" + std::to_string((program == Program::Control ? control_ : entry_)->id()) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(field + ':'))
            return std::stoul(line.substr(field.size() + 1));
    }
    return 0;
}

std::size_t LimitedCell::openDescriptors(Program program) const
{
    std::error_code error;
    const std::filesystem::directory_iterator list(
        "/proc/" + std::to_string((program == Program::Control ? control_ : entry_)->id()) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(list), end(list)));
}

} // namespace Pistachio::ClientLimits
