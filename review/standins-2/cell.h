// A small deployment on loopback: control instances and entries as processes, with settings from the project's
// templates, an operator and callers.
#pragma once

#include "minion.h"

#include <cstdlib>
#include <dirent.h>
#include <fstream>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

namespace bed
{

inline std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// Fills in a template of settings as the users' page on deployment describes it.
inline std::string render(std::string text, const std::map<std::string, std::string> &values)
{
    for (std::size_t open = 0; (open = text.find("{{")) != std::string::npos;) {
        const auto close = text.find("}}", open);
        auto name = text.substr(open + 2, close - open - 2);
        if (name[0] == '#') {
            name.erase(0, 1);
            const auto endTag = "{{/" + name + "}}";
            const auto end = text.find(endTag, close);
            const auto inner = values.count(name) ? text.substr(close + 2, end - close - 2) : std::string();
            text.replace(open, end + endTag.size() - open, inner);
        } else {
            const auto found = values.find(name);
            text.replace(open, close + 2 - open, found == values.end() ? std::string() : found->second);
        }
    }
    return text;
}

class Process
{
public:
    ~Process() { kill(SIGKILL); }

    bool start(const std::vector<std::string> &words, const std::string &log)
    {
        std::vector<char *> arguments;
        for (const auto &word : words)
            arguments.push_back(const_cast<char *>(word.c_str()));
        arguments.push_back(nullptr);
        const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
        char home[] = "HOME=/tmp";
        char lang[] = "LANG=C.UTF-8";
        char *environment[] = {const_cast<char *>(path.c_str()), home, lang, nullptr};
        pid_ = ::fork();
        if (pid_ == 0) {
            // It doesn't outlive the case, whatever ends that.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execve(arguments[0], arguments.data(), environment);
            ::_exit(127);
        }
        return pid_ > 0;
    }

    /// Sends a signal; after SIGKILL waits for the end.
    void kill(int signal)
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, signal);
        if (signal == SIGKILL) {
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    /// \return whether it has ended by itself, or by a signal that it didn't handle.
    bool hasEnded(int *status = nullptr)
    {
        int value = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &value, WNOHANG) != pid_)
            return false;
        pid_ = -1;
        if (status)
            *status = value;
        return true;
    }

private:
    pid_t pid_ = -1;
};

class Cell
{
public:
    static constexpr int controlPort = 8144;
    static constexpr int frontPort = 8149;
    static constexpr int readyPort = 8141;
    static constexpr int minionPort = 8080;

    Cell(Record &record, int controls, int entries)
        : record_(record)
    {
        char name[] = "/tmp/review-2-XXXXXX";
        folder_ = ::mkdtemp(name);
        std::random_device random;
        do {
            subnet_ = "127." + std::to_string(20 + random() % 200) + '.' + std::to_string(random() % 250) + '.';
        } while (!isFree(subnet_ + "11"));
        for (int i = 0; i < controls; ++i)
            controls_.push_back({subnet_ + std::to_string(11 + i), controlPort});
        for (int i = 0; i < entries; ++i)
            entries_.push_back({subnet_ + std::to_string(31 + i), frontPort});
        processes_.resize(static_cast<std::size_t>(controls + entries));
    }

    ~Cell()
    {
        processes_.clear();
        if (!std::getenv("KEEP"))
            removeFolder(folder_);
    }

    bool open()
    {
        for (std::size_t i = 0; i < controls_.size(); ++i)
            if (!startControl(i, true))
                return false;
        for (std::size_t i = 0; i < entries_.size(); ++i)
            if (!startEntry(i))
                return false;
        return true;
    }

    bool startControl(std::size_t index, bool bootstrap)
    {
        const auto name = "core-" + std::to_string(index + 1);
        auto values = common(name, controls_[index].ip);
        values["dataDir"] = folder_ + '/' + name;
        values["bootstrap"] = bootstrap ? "true" : "false";
        values["listen.control"] = controls_[index].text();
        ::mkdir(values["dataDir"].c_str(), 0700);
        return startProgram(processes_[index], name, "target/bin/pistachio-jobcontrol", "platform/control.toml",
                            values);
    }

    bool startEntry(std::size_t index)
    {
        const auto name = "frontend-" + std::to_string(index + 1);
        auto values = common(name, entries_[index].ip);
        values["listen.front"] = entries_[index].text();
        values["listen.ready"] = Address{entries_[index].ip, readyPort}.text();
        return startProgram(processes_[controls_.size() + index], name, "target/bin/pistachio-jobentry",
                            "platform/entry.toml", values);
    }

    const std::vector<Address> &controls() const { return controls_; }
    const std::vector<Address> &entries() const { return entries_; }
    Process &control(std::size_t index) { return *processes_[index]; }
    Process &entry(std::size_t index) { return *processes_[controls_.size() + index]; }
    Address minionAddress(int number) const { return {subnet_ + std::to_string(101 + number), minionPort}; }
    const std::string &folder() const { return folder_; }

    /// The operator sends a configuration until it gets a clear answer.
    /// \return the status, or 0 if none came within ten seconds
    int replaceConfiguration(const std::string &body)
    {
        for (int attempt = 0; attempt < 40; ++attempt) {
            const auto response = call(controls_[static_cast<std::size_t>(attempt) % controls_.size()], "POST",
                                       "/pistachioworks/config/replace", {}, body, milliseconds(1000));
            record_.line("operator sends " + body.substr(0, 160) + (body.size() > 160 ? "..." : "") + " -> "
                         + std::to_string(response.status));
            if (response.status == 200 || (response.status >= 400 && response.status < 500))
                return response.status;
            std::this_thread::sleep_for(milliseconds(250));
        }
        return 0;
    }

    HttpResponse readConfiguration()
    {
        HttpResponse response;
        for (int attempt = 0; attempt < 20 && response.status != 200; ++attempt) {
            response = call(controls_[static_cast<std::size_t>(attempt) % controls_.size()], "GET",
                            "/pistachioworks/config/read", {}, {}, milliseconds(1000));
            if (response.status != 200)
                std::this_thread::sleep_for(milliseconds(250));
        }
        record_.line("operator reads the configuration -> " + std::to_string(response.status) + ' ' + response.body);
        return response;
    }

    /// One request of a caller.
    HttpResponse request(const std::string &method, const std::string &path, const std::string &body,
                         bool isRecorded = true)
    {
        const auto &entry = entries_[nextEntry_++ % entries_.size()];
        auto response = call(entry, method, path, {{"Host", host}, {"Deadline-Ms", "3000"}}, body, milliseconds(3000));
        if (isRecorded)
            record_.line("caller, at " + entry.ip + ": " + method + ' ' + path + ' ' + body + " -> "
                         + std::to_string(response.status) + ' ' + response.body);
        return response;
    }

    /// Hands a job in, again after answers that are not clear.
    bool submit(const std::string &path, const json &job)
    {
        for (int attempt = 0; attempt < 20; ++attempt) {
            if (request("POST", path, job.dump()).status == 200)
                return true;
            std::this_thread::sleep_for(milliseconds(300));
        }
        return false;
    }

    std::string stateOf(const std::string &path)
    {
        const auto response = request("GET", path, {});
        const auto body = json::parse(response.body, nullptr, false);
        return response.status == 200 && body.is_object() ? body.value("state", "?") : std::to_string(response.status);
    }

    /// \return a new job id.
    std::string newId()
    {
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random_()));
        return text;
    }

    static constexpr const char *host = "review.example";

private:
    static bool isFree(const std::string &ip)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto where = toSockaddr({ip, controlPort});
        const bool result = ::bind(fd, reinterpret_cast<const sockaddr *>(&where), sizeof where) == 0;
        ::close(fd);
        return result;
    }

    std::map<std::string, std::string> common(const std::string &name, const std::string &ip) const
    {
        std::string seeds;
        for (const auto &control : controls_)
            seeds += (seeds.empty() ? "[\"" : ",\"") + control.text() + '"';
        return {{"nodeName", name},
                {"ip", ip},
                {"zone", "svea-a"},
                {"region", "svealand"},
                {"internalPorts.0", "7380"},
                {"seeds|json", seeds + ']'},
                {"recommendation", subnet_ + "9:8142"},
                {"cloudApi.address", subnet_ + "10:8142"},
                {"limits.memoryMb", "256"},
                {"limits.maxFds", "4096"},
                {"faultTolerance.machines", "1"},
                {"heartbeatMs", "1500"},
                {"bounds.catchUpS", "4"},
                {"bounds.holdMaxMs", "6000"},
                {"bounds.stopTimeoutMs", "400"},
                {"bounds.drainMs", "2500"},
                {"bounds.gangTimeoutMs", "3000"},
                {"bounds.remotePenalty", "1.5"},
                {"bounds.status_s", "120"},
                {"bounds.graceS", "6"}};
    }

    bool startProgram(std::unique_ptr<Process> &process, const std::string &name, const std::string &program,
                      const std::string &settingsTemplate, const std::map<std::string, std::string> &values)
    {
        const auto path = folder_ + '/' + name + ".toml";
        const auto text = readFile(settingsTemplate);
        if (text.empty() || ::access(program.c_str(), X_OK) != 0)
            return false;
        std::ofstream(path) << render(text, values);
        process = std::make_unique<Process>();
        record_.line("starts " + name + ": " + program + " --settings=" + name + ".toml");
        return process->start({program, "--settings=" + path}, folder_ + '/' + name + ".log");
    }

    static void removeFolder(const std::string &path)
    {
        if (auto *folder = ::opendir(path.c_str())) {
            while (const auto *entry = ::readdir(folder)) {
                const std::string name = entry->d_name;
                if (name == "." || name == "..")
                    continue;
                if (::unlink((path + '/' + name).c_str()) != 0)
                    removeFolder(path + '/' + name);
            }
            ::closedir(folder);
        }
        ::rmdir(path.c_str());
    }

    Record &record_;
    std::string folder_;
    std::string subnet_;
    std::vector<Address> controls_;
    std::vector<Address> entries_;
    std::vector<std::unique_ptr<Process>> processes_;
    std::atomic<std::size_t> nextEntry_ = 0;
    std::mt19937_64 random_{std::random_device{}()};
};

using Minions = std::vector<std::unique_ptr<Minion>>;

/// Starts minions of one service, of 16 cores each. \return whether all listen.
inline bool startMinions(Minions &minions, Record &record, RunLedger &ledger, const Cell &cell, int count,
                         const std::string &service)
{
    for (int i = 0; i < count; ++i) {
        minions.push_back(std::make_unique<Minion>(record, ledger, "i-" + std::to_string(7000 + i),
                                                   cell.minionAddress(i), MinionKind{service, {"a", "r1-1"}},
                                                   cell.controls()));
        if (!minions.back()->start())
            return false;
    }
    return true;
}

/// \return a configuration with one service and queues of the given paths.
inline json configuration(int version, const std::string &service, const std::vector<std::string> &paths)
{
    json routes = json::array();
    for (const auto &path : paths)
        routes.push_back({{"name", "r-" + path.substr(1, path.size() - 2)},
                          {"host", Cell::host},
                          {"pathPrefix", path},
                          {"kind", "non_idempotent"},
                          {"timeoutMs", 3000},
                          {"targetLatencyMs", 1200},
                          {"priority", 1},
                          {"service", service},
                          {"maxAttempts", 4},
                          {"slackFactor", 2.2}});
    return {
        {"version", version},
        {"routes", routes},
        {"services",
         {{{"name", service},
           {"healthPath", "/healthz"},
           {"maxConnections", 64},
           {"protocol", "h1"},
           {"tls", false},
           {"preconditions", false},
           {"standby", false}}}},
        {"limits",
         {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
}

} // namespace bed
