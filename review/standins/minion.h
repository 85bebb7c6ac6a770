#pragma once
// A minion as the users' PROTOCOL page describes it, and a watch over the runs of all minions.

#include "cell.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

/// Follows all runs, and says when TWICE is broken as RULES has it.
class RunWatch
{
public:
    explicit RunWatch(Record &record)
        : record_(record)
    {
    }

    void began(const std::string &minion, const std::string &task, std::uint64_t run);
    /// \param how as listed; empty when the minion's life has ended
    void ended(const std::string &minion, const std::string &task, std::uint64_t run, const std::string &how);
    /// The end of a run was taken note of: ackCursor has reached it, and no lease has lapsed in between.
    void noted(const std::string &task, std::uint64_t run, const std::string &how);

    [[nodiscard]] std::vector<std::string> violations();
    [[nodiscard]] bool hasBegun(const std::string &job);
    [[nodiscard]] std::size_t starts();
    [[nodiscard]] std::map<std::string, int> endCounts();

private:
    struct Start {
        std::uint64_t run;
        std::string minion;
        std::int64_t at;
    };
    void broken(const std::string &text);

    Record &record_;
    std::mutex mutex_;
    std::map<std::string, std::vector<Start>> starts_; ///< by task
    std::map<std::string, std::map<std::uint64_t, std::string>> running_; ///< by task: run and minion
    std::map<std::string, std::map<std::uint64_t, std::int64_t>> done_; ///< by task: run and when it ended done
    std::map<std::string, int> endCounts_;
    std::vector<std::string> violations_;
    std::set<std::string> reported_; ///< a line for each task is enough
};

class Minion
{
public:
    struct Options {
        std::string id;
        std::string service = "huvo11a";
        std::string ip; ///< where it says that it can be called
        std::string bindIp; ///< where it listens, if a proxy stands before it
        std::int64_t cpu = 16000;
        std::int64_t memMb = 32768;
        std::vector<std::string> labels{"a", "r1-1"};
        std::int64_t linkMs = 0; ///< one way, of the link to the control instances
        std::int64_t stopMs = 100; ///< how long a stop takes
        std::int64_t heartbeatMs = 1500;
        std::function<std::int64_t(const std::string &task, std::uint64_t run)> workMs;
    };

    Minion(Cell &cell, Record &record, RunWatch &watch, Options options);
    ~Minion();

    /// Begins a life under its id.
    bool start();
    /// The process ends at once.
    void crash();
    /// Lets the next start that arrives go unheard; crash() is to follow then.
    void failAtNextStart() { failsAtStart_ = true; }
    [[nodiscard]] bool hasFailedAtStart() const { return hasFailed_; }
    /// Reports that it drains, until that is confirmed.
    void drain();
    /// Deregisters as a minion that is about to end.
    /// \return whether it was confirmed.
    bool deregister(std::int64_t limitMs);
    [[nodiscard]] std::size_t active();
    [[nodiscard]] std::size_t unacknowledged();
    /// \return the index of the control instance that it calls.
    [[nodiscard]] std::size_t control() const { return control_ % cell_.controls(); }
    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] const std::string &id() const { return options_.id; }

private:
    struct Work {
        std::uint64_t run = 0;
        std::int64_t beganAt = 0;
        std::int64_t endsAt = 0;
        std::string how = "done";
    };
    struct End {
        std::uint64_t number;
        std::string task;
        std::uint64_t run;
        std::string how;
        std::int64_t at;
    };

    HttpResponse handle(const HttpRequest &request);
    HttpResponse answer(int status, const char *reason = nullptr);
    HttpResponse hold(const json &body, std::unique_lock<std::mutex> &lock);
    HttpResponse runStart(const json &body);
    HttpResponse runStop(const json &body);
    void extend(const json &body);
    void finish(const std::string &task, const std::string &how);
    [[nodiscard]] std::int64_t clock() const { return nowMs() - bornAt_ + 1000; }
    void tick();
    void report();
    bool sendReport(std::size_t control);
    HttpResponse callControl(std::size_t control, const std::string &call, const json &body, std::int64_t limitMs);

    Cell &cell_;
    Record &record_;
    RunWatch &watch_;
    const Options options_;
    std::uint16_t port_;
    HttpServer server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::thread ticker_;
    std::thread reporter_;
    std::mutex channelMutex_;
    HttpChannel channel_; ///< to a control instance; kept open between status reports
    std::atomic<bool> isUp_ = false;
    std::atomic<bool> isReporting_ = true;
    std::atomic<bool> failsAtStart_ = false;
    std::atomic<bool> hasFailed_ = false;
    std::atomic<bool> isDraining_ = false;
    std::atomic<bool> drainConfirmed_ = false;
    std::atomic<std::size_t> control_ = 0; ///< where the next report goes
    std::int64_t bornAt_ = 0;
    std::int64_t bornUnixMs_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t fence_ = 0;
    std::int64_t leaseUntil_ = 0;
    std::int64_t lapsedAt_ = -1;
    bool isLapsed_ = true;
    std::uint64_t lastEnd_ = 0;
    std::map<std::string, Work> active_;
    std::map<std::string, std::uint64_t> highest_; ///< the highest run stopped or ended, by task
    std::vector<End> ended_;
};

/// Starts minions of the service huvo11a at part 4 of the cell's network.
/// \param options those that they share
/// \return nothing if one couldn't start.
std::vector<std::unique_ptr<Minion>> startMinions(Cell &cell, Record &record, RunWatch &watch, int count,
                                                  Minion::Options options);

} // namespace Review
