#pragma once
// The project's own programs as processes on loopback, with the settings of a small deployment, and those who talk to
// them: the operator and consumers.

#include "http.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Review
{

using json = nlohmann::json;

/// What was sent, answered and run, a line each, with milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);
    [[nodiscard]] std::int64_t elapsedMs() const { return nowMs() - begun_; }

private:
    std::mutex mutex_;
    std::ofstream file_;
    const std::int64_t begun_;
};

/// One control instance or entry.
struct Instance {
    std::string name;
    std::string ip; ///< where others reach it
    std::string bindIp; ///< where it listens, if a proxy stands before it
    bool isControl = false;
    pid_t pid = -1;
    bool hasStarted = false;
    std::string dataFolder;
};

struct Answer {
    int status = 0; ///< 0: none
    json body;
};

class Cell
{
public:
    /// \param proxied whether each instance listens at an address of its own behind the one that others use
    Cell(Record &record, int controls, int entries, bool proxied = false);
    ~Cell();

    void start(std::size_t index);
    void startAll();
    void signal(std::size_t index, int number);
    /// SIGKILL; waits for the end.
    void kill(std::size_t index);

    /// Sends the desired state until it is acknowledged.
    bool configure(const json &document, std::int64_t limitMs);

    /// A consumer's call to an entry, with its time budget.
    Answer consumer(std::size_t entry, const std::string &method, const std::string &path, const json &body,
                    std::int64_t deadlineMs = 3000);
    /// Sends a job as a consumer does: the same again after no answer, a 502 or a 504, at another entry.
    /// \return the last status.
    int submit(const std::string &path, const json &job, int attempts = 5);

    [[nodiscard]] std::vector<std::string> controlIps() const;
    [[nodiscard]] std::uint16_t controlPort() const { return controlPort_; }
    [[nodiscard]] std::uint16_t internalPort() const { return internalPort_; }
    [[nodiscard]] std::size_t controls() const { return controls_; }
    Instance &instance(std::size_t index) { return instances_[index]; }
    [[nodiscard]] std::size_t size() const { return instances_.size(); }
    /// \return a loopback address of this run, in the given part of its network.
    [[nodiscard]] std::string address(int part, int number) const;
    [[nodiscard]] const std::string &folder() const { return folder_; }

    static constexpr const char *host = "jobs.example";

private:
    void writeSettings(const Instance &instance) const;

    Record &record_;
    std::size_t controls_;
    std::string folder_;
    std::string network_;
    std::string advice_;
    std::uint16_t controlPort_ = 0;
    std::uint16_t internalPort_ = 0;
    std::uint16_t callerPort_ = 0;
    std::uint16_t readyPort_ = 0;
    std::uint16_t metricsPort_ = 0;
    std::vector<Instance> instances_;
};

/// \return a route as the pages write it.
json route(const std::string &name, const std::string &prefix, const std::string &service, int maxAttempts);
/// \return a desired state as the pages write it.
json desiredState(int version, const std::vector<json> &routes, const std::vector<std::string> &services);
/// \return a job of one step as the pages write it.
json oneStepJob(const std::string &id, int count, int cpu, int memMb, int estimateMs);
/// \return an id of 16 hexadecimal digits.
std::string newJobId();

/// Proxies before all instances of a cell that is proxied: those of the control instances first.
/// \param affected callers whose bytes can be held back
/// \return nothing if a port can't be used.
std::vector<std::unique_ptr<Proxy>> proxiesOf(Cell &cell, const std::set<std::string> &affected);

/// Exit codes of a case.
enum Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Plays a case for 115 s at most; its processes end with it.
/// \param play gets the folder of the case
/// \return the exit code.
int runCase(int argc, char **argv, int (*play)(const std::string &folder));

/// \return whether TROUBLE isn't 0.
bool hasTrouble();

} // namespace Review
