// A minion as the users' protocol page describes it: fences, leases on its own clock, numbered ends, refused old runs.
#pragma once

#include "record.h"

#include <condition_variable>
#include <memory>
#include <nlohmann/json.hpp>

namespace bed
{

using nlohmann::json;

struct MinionKind {
    std::string service;
    std::vector<std::string> labels;
    int cpu = 16000;
    int memMb = 32768;
};

/// A run that a minion began, and how it ended.
struct RunEvent {
    double beganAt = 0;
    double endedAt = -1;
    double notedAt = -1; ///< when an ackCursor that reaches the end arrived
    std::string minion;
    std::int64_t born = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    std::uint64_t number = 0;
    std::string spec;
};

/// All runs of all minions.
class RunLedger
{
public:
    /// The members of one run of a gang: they work from the moment when all are there, and end together.
    struct Gang {
        std::set<std::string> tasks;
        Clock::time_point wholeAt{};
    };

    std::mutex mutex;
    std::vector<std::shared_ptr<RunEvent>> runs;
    std::map<std::string, Gang> gangs; ///< by step and run

    /// \return the gang of a task's run; to be used under the mutex.
    Gang &gangOf(const std::string &task, std::uint64_t run)
    {
        return gangs[task.substr(0, task.rfind('.')) + '/' + std::to_string(run)];
    }

    /// \return the runs of a job, as they are now.
    std::vector<RunEvent> of(const std::string &job)
    {
        const std::lock_guard lock(mutex);
        std::vector<RunEvent> result;
        for (const auto &run : runs) {
            if (run->task.rfind(job + '.', 0) == 0)
                result.push_back(*run);
        }
        return result;
    }
    std::vector<RunEvent> all()
    {
        const std::lock_guard lock(mutex);
        std::vector<RunEvent> result;
        for (const auto &run : runs)
            result.push_back(*run);
        return result;
    }
};

class Minion
{
public:
    Minion(Record &record, RunLedger &ledger, std::string id, Address address, MinionKind kind,
           std::vector<Address> controls)
        : record_(record)
        , ledger_(ledger)
        , id_(std::move(id))
        , address_(std::move(address))
        , kind_(std::move(kind))
        , controls_(std::move(controls))
    {
    }
    ~Minion() { crash(); }

    /// Begins a life. \param firstReport how long after its start it reports for the first time
    bool start(milliseconds firstReport = milliseconds(0))
    {
        {
            const std::lock_guard lock(mutex_);
            begun_ = Clock::now();
            born_
                = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            fence_ = 0;
            leaseUntil_ = 0;
            lastEnd_ = 0;
            sequence_ = 0;
            runs_.clear();
            ended_.clear();
            highestEnded_.clear();
            wasListed_.clear();
            hasStopped_ = false;
            isUp_ = true;
        }
        if (!server_.start(address_, [this](const HttpRequest &request) { return handle(request); }))
            return false;
        ticker_ = std::thread([this] { tick(); });
        reporter_ = std::thread([this, firstReport] { report(firstReport); });
        record_.line("minion " + id_ + " starts, born " + std::to_string(born_));
        return true;
    }

    /// All that runs is gone, connections break and nothing is sent any more.
    void crash()
    {
        {
            const std::lock_guard lock(mutex_);
            if (!isUp_)
                return;
            isUp_ = false;
            for (auto &[task, run] : runs_) {
                const std::lock_guard ledgerLock(ledger_.mutex);
                run.event->endedAt = record_.seconds();
                run.event->how = "crashed";
            }
            runs_.clear();
        }
        changed_.notify_all();
        record_.line("minion " + id_ + " crashes");
        server_.stop();
        ticker_.join();
        reporter_.join();
    }

    /// The next start order finds the minion crashing: it is neither carried out nor answered.
    void crashAtNextStart(bool isWanted = true) { crashesAtStart_ = isWanted; }
    /// \return whether that has happened; the minion then takes no more requests.
    bool hasStopped() const { return hasStopped_; }

    /// From the next start on that it carries out, nothing leaves it any more; it works on.
    void fallSilentAtNextStart(bool isWanted = true) { fallsSilentAtStart_ = isWanted; }
    [[nodiscard]] bool isSilent() const { return isSilent_; }
    void endSilence() { isSilent_ = false; }

    /// \return where it was told to send its reports, which is the leader of a small fleet.
    Address reportAddress()
    {
        const std::lock_guard lock(mutex_);
        return reportAddress_;
    }

    const std::string &id() const { return id_; }
    const Address &address() const { return address_; }
    std::int64_t born() const { return born_; }
    const MinionKind &kind() const { return kind_; }

    /// \return the cores in thousandths that runs use which count against the capacity.
    int cpuInUse(const std::function<int(const std::string &task)> &cpuOf)
    {
        const std::lock_guard lock(mutex_);
        int sum = 0;
        for (const auto &[task, run] : runs_)
            sum += cpuOf(task);
        return sum;
    }

private:
    struct Run {
        std::uint64_t run = 0;
        Clock::time_point began;
        Clock::time_point endsAt;
        bool lasts = false;
        bool isOfGang = false;
        std::shared_ptr<RunEvent> event;
    };
    struct Ended {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::shared_ptr<RunEvent> event;
    };

    std::int64_t clock() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - begun_).count() + 1000;
    }

    HttpResponse answer(int status, json body) const
    {
        body["clockMs"] = clock();
        return {status, body.dump()};
    }

    HttpResponse handle(const HttpRequest &request)
    {
        auto response = isSilent_ ? HttpResponse() : carryOut(request);
        while (isSilent_ && isUp_)
            std::this_thread::sleep_for(milliseconds(10));
        return response;
    }

    HttpResponse carryOut(const HttpRequest &request)
    {
        const auto named = request.headers.find("expected-instance");
        std::unique_lock lock(mutex_);
        if (!isUp_ || hasStopped_)
            return {0, {}};
        if (named != request.headers.end() && named->second != id_)
            return answer(421, json::object());
        const auto body = json::parse(request.body, nullptr, false);
        if (body.is_discarded())
            return answer(400, json::object());
        if (request.path == "/pistachioworks/run-start" && crashesAtStart_.exchange(false)) {
            record_.line("minion " + id_ + " gets a start of " + body.value("task", "") + " as it crashes");
            hasStopped_ = true;
            return {0, {}};
        }
        const auto fence = body.value("fencingToken", std::uint64_t{0});
        if (fence < fence_)
            return answer(409, {{"reason", "fence"}});
        fence_ = fence;
        if (request.path == "/pistachioworks/run-start")
            return startRun(body);
        if (request.path == "/pistachioworks/run-stop")
            return stopRun(body);
        if (request.path == "/pistachioworks/hold")
            return hold(body, lock);
        if (request.path == "/pistachioworks/pace")
            return answer(200, json::object());
        return answer(404, json::object());
    }

    void extendLease(std::int64_t expiresAtMs)
    {
        constexpr std::int64_t holdMaxMs = 6000;
        leaseUntil_ = std::max(leaseUntil_, std::min(expiresAtMs, clock() + holdMaxMs));
    }

    HttpResponse startRun(const json &body)
    {
        const auto task = body.value("task", std::string());
        const auto run = body.value("runId", std::uint64_t{0});
        const auto expires = body.value("expiresAtMs", std::int64_t{0});
        const auto found = runs_.find(task);
        extendLease(expires);
        if (found != runs_.end() && found->second.run == run)
            return answer(200, json::object());
        if (expires <= clock())
            return answer(409, {{"reason", "late"}});
        if (found != runs_.end() || run <= highestEnded_[task])
            return answer(409, {{"reason", "old"}});
        const auto spec = body.value("taskSpec", std::string());
        Run entry;
        entry.run = run;
        entry.began = Clock::now();
        entry.lasts = spec.rfind("lasts", 0) == 0;
        entry.endsAt = entry.began
            + milliseconds(entry.lasts ? 3600000 : std::max(1, std::atoi(spec.substr(spec.find('=') + 1).c_str())));
        entry.event = std::make_shared<RunEvent>();
        entry.event->beganAt = record_.seconds();
        entry.event->minion = id_;
        entry.event->born = born_;
        entry.event->task = task;
        entry.event->run = run;
        entry.event->spec = spec;
        {
            const std::lock_guard ledgerLock(ledger_.mutex);
            ledger_.runs.push_back(entry.event);
            entry.isOfGang = spec.rfind("gang=", 0) == 0; // gang=MILLISECONDS/MEMBERS
            if (entry.isOfGang) {
                auto &gang = ledger_.gangOf(task, run);
                gang.tasks.insert(task);
                if (gang.tasks.size() == std::strtoul(spec.substr(spec.find('/') + 1).c_str(), nullptr, 10))
                    gang.wholeAt = Clock::now();
            }
        }
        runs_[task] = entry;
        if (fallsSilentAtStart_.exchange(false))
            isSilent_ = true;
        record_.line("minion " + id_ + " (born " + std::to_string(born_) + ") begins " + task + " run "
                     + std::to_string(run));
        return answer(200, json::object());
    }

    HttpResponse stopRun(const json &body)
    {
        const auto task = body.value("task", std::string());
        const auto run = body.value("runId", std::uint64_t{0});
        const auto found = runs_.find(task);
        if (found != runs_.end() && found->second.run <= run)
            end(task, "stopped");
        highestEnded_[task] = std::max(highestEnded_[task], run);
        record_.line("minion " + id_ + " is told to stop " + task + " run " + std::to_string(run));
        return answer(200, json::object());
    }

    HttpResponse hold(const json &body, std::unique_lock<std::mutex> &lock)
    {
        const auto cursor = body.value("ackCursor", std::uint64_t{0});
        if (body.contains("expiresAtMs"))
            extendLease(body["expiresAtMs"].get<std::int64_t>());
        std::erase_if(ended_, [&](const Ended &item) {
            if (item.number > cursor)
                return false;
            const std::lock_guard ledgerLock(ledger_.mutex);
            item.event->notedAt = record_.seconds();
            if (!wasListed_.count(item.number))
                record_.line("minion " + id_ + " (born " + std::to_string(born_) + ") forgets end "
                             + std::to_string(item.number) + " of " + item.task
                             + ", which it never listed, by ackCursor " + std::to_string(cursor));
            return true;
        });
        const auto until = Clock::now() + milliseconds(body.value("waitMs", 0));
        const auto life = born_;
        changed_.wait_until(lock, until, [&] { return !isUp_ || born_ != life || !ended_.empty(); });
        if (!isUp_ || born_ != life || hasStopped_)
            return {0, {}};
        json active = json::array();
        for (const auto &[task, run] : runs_) {
            const auto whole = std::max<std::int64_t>(1, (run.endsAt - run.began).count());
            const auto percent
                = run.lasts ? 100 : std::min<std::int64_t>(99, 100 * (Clock::now() - run.began).count() / whole);
            active.push_back({task, run.run, "", percent, 0});
        }
        json ends = json::array();
        for (const auto &item : ended_) {
            ends.push_back({item.number, item.task, item.run, item.how, ""});
            wasListed_.insert(item.number);
        }
        return answer(200, {{"born", born_}, {"active", active}, {"endedRuns", ends}});
    }

    void end(const std::string &task, const std::string &how)
    {
        const auto run = runs_.at(task);
        runs_.erase(task);
        highestEnded_[task] = std::max(highestEnded_[task], run.run);
        ended_.push_back({++lastEnd_, task, run.run, how, run.event});
        {
            const std::lock_guard ledgerLock(ledger_.mutex);
            run.event->endedAt = record_.seconds();
            run.event->how = how;
            run.event->number = lastEnd_;
        }
        record_.line("minion " + id_ + " (born " + std::to_string(born_) + ") ends " + task + " run "
                     + std::to_string(run.run) + ' ' + how + " as end " + std::to_string(lastEnd_));
        changed_.notify_all();
    }

    /// \return when a run ends by itself: a member of a gang that is not whole waits for the others for a while.
    Clock::time_point endOf(const std::string &task, const Run &run)
    {
        constexpr milliseconds gangTimeout(3000);
        if (!run.isOfGang)
            return run.endsAt;
        const std::lock_guard ledgerLock(ledger_.mutex);
        const auto wholeAt = ledger_.gangOf(task, run.run).wholeAt;
        return wholeAt == Clock::time_point{} ? run.began + gangTimeout : wholeAt + (run.endsAt - run.began);
    }

    bool isAlone(const std::string &task)
    {
        const auto &run = runs_.at(task);
        const std::lock_guard ledgerLock(ledger_.mutex);
        return run.isOfGang && ledger_.gangOf(task, run.run).wholeAt == Clock::time_point{};
    }

    void tick()
    {
        for (;;) {
            std::this_thread::sleep_for(milliseconds(5));
            const std::lock_guard lock(mutex_);
            if (!isUp_)
                return;
            if (hasStopped_)
                continue;
            const bool isOver = clock() >= leaseUntil_;
            std::vector<std::string> over;
            for (const auto &[task, run] : runs_) {
                if (isOver || Clock::now() >= endOf(task, run))
                    over.push_back(task);
            }
            for (const auto &task : over)
                end(task, isOver ? "lapsed" : isAlone(task) ? "alone" : "done");
        }
    }

    void report(milliseconds first)
    {
        constexpr milliseconds heartbeat(1500);
        auto next = Clock::now() + first;
        std::size_t control = std::hash<std::string>{}(id_) % controls_.size();
        Address given;
        for (;;) {
            while (Clock::now() < next) {
                std::this_thread::sleep_for(milliseconds(10));
                const std::lock_guard lock(mutex_);
                if (!isUp_)
                    return;
            }
            json body;
            {
                const std::lock_guard lock(mutex_);
                if (!isUp_)
                    return;
                if (hasStopped_ || isSilent_)
                    continue;
                body = reportBody();
            }
            const auto to = given.port != 0 ? given : controls_[control % controls_.size()];
            const auto response = call(to, "POST", "/pistachioworks/instances/" + id_ + "/heartbeat", {}, body.dump(),
                                       milliseconds(1000));
            if (response.status != 200) {
                given = {};
                ++control;
                std::this_thread::sleep_for(milliseconds(50));
                continue;
            }
            const auto reply = json::parse(response.body, nullptr, false);
            if (reply.is_object() && reply.contains("heartbeatAddress"))
                given = parseAddress(reply["heartbeatAddress"].get<std::string>());
            {
                const std::lock_guard lock(mutex_);
                reportAddress_ = given;
            }
            next = Clock::now() + heartbeat;
        }
    }

public:
    /// \return the body of its next status report.
    json reportBody()
    {
        return {{"service", kind_.service},
                {"address", address_.text()},
                {"zone", "svea-a"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"coldLeftMs", 0},
                {"capacity", {{"cpu", kind_.cpu}, {"memMb", kind_.memMb}, {"gpu", 0}}},
                {"labels", kind_.labels},
                {"clockMs", clock()},
                {"born", born_},
                {"sequence", ++sequence_}};
    }

private:
    Record &record_;
    RunLedger &ledger_;
    const std::string id_;
    const Address address_;
    const MinionKind kind_;
    const std::vector<Address> controls_;
    HttpServer server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    Clock::time_point begun_;
    std::int64_t born_ = 0;
    std::uint64_t fence_ = 0;
    std::int64_t leaseUntil_ = 0;
    std::uint64_t lastEnd_ = 0;
    std::uint64_t sequence_ = 0;
    std::map<std::string, Run> runs_;
    std::vector<Ended> ended_;
    std::set<std::uint64_t> wasListed_;
    std::map<std::string, std::uint64_t> highestEnded_;
    std::atomic<bool> isUp_ = false;
    std::atomic<bool> crashesAtStart_ = false;
    std::atomic<bool> hasStopped_ = false;
    std::atomic<bool> fallsSilentAtStart_ = false;
    std::atomic<bool> isSilent_ = false;
    Address reportAddress_;
    std::thread ticker_;
    std::thread reporter_;
};

} // namespace bed
