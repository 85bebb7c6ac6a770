#include "minion.h"

#include <algorithm>
#include <chrono>

namespace Review
{

namespace
{
constexpr std::size_t endsAtATime = 500; ///< PROTOCOL: "The others are returned again (500 at a time)"
constexpr std::int64_t holdMaxMs = 6000;
constexpr std::int64_t longestWaitMs = 2000;
} // namespace

void RunWatch::broken(const std::string &text)
{
    violations_.push_back(text);
    record_.line("BROKEN " + text);
}

void RunWatch::began(const std::string &minion, const std::string &task, std::uint64_t run)
{
    const std::lock_guard lock(mutex_);
    record_.line("run " + task + " #" + std::to_string(run) + " begins on " + minion);
    auto &others = running_[task];
    for (const auto &[other, where] : others) {
        if (reported_.insert(task).second)
            broken("TWICE: " + task + " #" + std::to_string(run) + " begins on " + minion + " while #"
                   + std::to_string(other) + " runs on " + where);
    }
    others[run] = minion;
    starts_[task].push_back({run, minion, nowMs()});
}

void RunWatch::ended(const std::string &minion, const std::string &task, std::uint64_t run, const std::string &how)
{
    const std::lock_guard lock(mutex_);
    record_.line("run " + task + " #" + std::to_string(run) + " ends on " + minion + ": "
                 + (how.empty() ? "with it" : how));
    const auto found = running_[task].find(run);
    if (found != running_[task].end() && found->second == minion)
        running_[task].erase(found);
    ++endCounts_[how.empty() ? "with the minion" : how];
    if (how == "done")
        done_[task].emplace(run, nowMs());
}

void RunWatch::noted(const std::string &task, std::uint64_t run, const std::string &how)
{
    const std::lock_guard lock(mutex_);
    if (how != "done" || !done_[task].contains(run))
        return;
    const auto doneAt = done_[task][run];
    for (const auto &start : starts_[task]) {
        if (start.at > doneAt && reported_.insert(task).second)
            broken("TWICE: " + task + " #" + std::to_string(start.run) + " began on " + start.minion + " "
                   + std::to_string(start.at - doneAt) + " ms after #" + std::to_string(run)
                   + " had ended done, and that end is taken note of");
    }
}

std::vector<std::string> RunWatch::violations()
{
    const std::lock_guard lock(mutex_);
    return violations_;
}

bool RunWatch::hasBegun(const std::string &job)
{
    const std::lock_guard lock(mutex_);
    const auto found = starts_.lower_bound(job + '.');
    return found != starts_.end() && found->first.starts_with(job + '.');
}

std::size_t RunWatch::starts()
{
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto &[task, list] : starts_)
        count += list.size();
    return count;
}

std::map<std::string, int> RunWatch::endCounts()
{
    const std::lock_guard lock(mutex_);
    return endCounts_;
}

Minion::Minion(Cell &cell, Record &record, RunWatch &watch, Options options)
    : cell_(cell)
    , record_(record)
    , watch_(watch)
    , options_(std::move(options))
    , port_(freePort({options_.ip, options_.bindIp.empty() ? options_.ip : options_.bindIp}))
    , server_([this](const HttpRequest &request) { return handle(request); })
{
}

Minion::~Minion()
{
    crash();
}

bool Minion::start()
{
    {
        const std::lock_guard lock(mutex_);
        bornAt_ = nowMs();
        bornUnixMs_
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                  .count();
        sequence_ = 0;
        fence_ = 0;
        leaseUntil_ = 0;
        isLapsed_ = true;
        lapsedAt_ = -1;
        lastEnd_ = 0;
        active_.clear();
        highest_.clear();
        ended_.clear();
        failsAtStart_ = false;
        hasFailed_ = false;
        isDraining_ = false;
        drainConfirmed_ = false;
        isReporting_ = true;
        isUp_ = true;
    }
    if (!server_.listen(options_.bindIp.empty() ? options_.ip : options_.bindIp, port_))
        return false;
    record_.line(options_.id + " starts a life, born " + std::to_string(bornUnixMs_));
    ticker_ = std::thread([this] { tick(); });
    reporter_ = std::thread([this] { report(); });
    return true;
}

void Minion::crash()
{
    if (!isUp_.exchange(false))
        return;
    changed_.notify_all();
    server_.close();
    ticker_.join();
    reporter_.join();
    const std::lock_guard lock(mutex_);
    record_.line(options_.id + " is gone, with " + std::to_string(active_.size()) + " runs");
    for (const auto &[task, work] : active_)
        watch_.ended(options_.id, task, work.run, "");
    active_.clear();
}

HttpResponse Minion::handle(const HttpRequest &request)
{
    sleepMs(options_.linkMs);
    if (!isUp_)
        return {};
    if (request.target == "/pistachioworks/run-start" && failsAtStart_.exchange(false)) {
        hasFailed_ = true;
        return {};
    }
    const auto expected = request.headers.find("expected-instance");
    HttpResponse response;
    const auto body = json::parse(request.body, nullptr, false);
    std::unique_lock lock(mutex_);
    if (expected != request.headers.end() && expected->second != options_.id)
        response = answer(421);
    else if (body.is_discarded())
        response = answer(400);
    else if (body.value("fencingToken", std::uint64_t{0}) < fence_)
        response = answer(409, "fence");
    else {
        fence_ = body.value("fencingToken", std::uint64_t{0});
        if (request.target == "/pistachioworks/hold")
            response = hold(body, lock);
        else if (request.target == "/pistachioworks/run-start")
            response = runStart(body);
        else if (request.target == "/pistachioworks/run-stop")
            response = runStop(body);
        else if (request.target == "/pistachioworks/pace")
            response = answer(200);
        else
            response = answer(404);
    }
    lock.unlock();
    sleepMs(options_.linkMs);
    return isUp_ ? response : HttpResponse();
}

HttpResponse Minion::answer(int status, const char *reason)
{
    json body{{"clockMs", clock()}};
    if (reason != nullptr)
        body["reason"] = reason;
    return {status, body.dump()};
}

void Minion::extend(const json &body)
{
    if (!body.contains("expiresAtMs"))
        return;
    const auto until = std::min(body["expiresAtMs"].get<std::int64_t>(), clock() + holdMaxMs);
    leaseUntil_ = std::max(leaseUntil_, until);
    if (leaseUntil_ > clock())
        isLapsed_ = false;
}

HttpResponse Minion::runStart(const json &body)
{
    const auto task = body.value("task", std::string());
    const auto run = body.value("runId", std::uint64_t{0});
    const auto found = active_.find(task);
    if (found != active_.end() && found->second.run == run)
        return answer(200);
    if (body.value("expiresAtMs", std::int64_t{0}) <= clock())
        return answer(409, "late");
    extend(body);
    const auto highest = highest_.find(task);
    if (found != active_.end() || (highest != highest_.end() && run <= highest->second))
        return answer(409, "old");
    active_[task] = {run, nowMs(), nowMs() + options_.workMs(task, run), "done"};
    watch_.began(options_.id, task, run);
    return answer(200);
}

HttpResponse Minion::runStop(const json &body)
{
    const auto task = body.value("task", std::string());
    const auto run = body.value("runId", std::uint64_t{0});
    const auto found = active_.find(task);
    if (found != active_.end() && found->second.run <= run) {
        if (found->second.how != "stopped" && found->second.endsAt > nowMs() + options_.stopMs) {
            found->second.how = "stopped";
            found->second.endsAt = nowMs() + options_.stopMs;
        }
    }
    highest_[task] = std::max(highest_[task], run);
    return answer(200);
}

HttpResponse Minion::hold(const json &body, std::unique_lock<std::mutex> &lock)
{
    extend(body);
    const auto cursor = body.value("ackCursor", std::uint64_t{0});
    for (const auto &end : ended_) {
        // A lapse between the end and this moment stands for good.
        if (end.number <= cursor && !(lapsedAt_ >= end.at))
            watch_.noted(end.task, end.run, end.how);
    }
    std::erase_if(ended_, [cursor](const End &end) { return end.number <= cursor; });
    const auto wait = std::clamp<std::int64_t>(body.value("waitMs", std::int64_t{0}), 0, longestWaitMs);
    if (wait > 0 && ended_.empty())
        changed_.wait_for(lock, std::chrono::milliseconds(wait), [this] { return !ended_.empty() || !isUp_; });
    json answer{{"clockMs", clock()}, {"born", bornUnixMs_}, {"active", json::array()}, {"endedRuns", json::array()}};
    for (const auto &[task, work] : active_)
        answer["active"].push_back(
            {task, work.run, "",
             100 * (nowMs() - work.beganAt) / std::max<std::int64_t>(1, work.endsAt - work.beganAt + 1), 0});
    for (std::size_t index = 0; index < std::min(endsAtATime, ended_.size()); ++index) {
        const auto &end = ended_[index];
        answer["endedRuns"].push_back({end.number, end.task, end.run, end.how, ""});
    }
    if (ended_.size() > endsAtATime)
        record_.line(options_.id + " lists " + std::to_string(endsAtATime) + " of " + std::to_string(ended_.size())
                     + " ends");
    return {200, answer.dump()};
}

void Minion::finish(const std::string &task, const std::string &how)
{
    const auto work = active_.at(task);
    active_.erase(task);
    highest_[task] = std::max(highest_[task], work.run);
    ended_.push_back({++lastEnd_, task, work.run, how, nowMs()});
    watch_.ended(options_.id, task, work.run, how);
    changed_.notify_all();
}

void Minion::tick()
{
    while (isUp_) {
        sleepMs(2);
        const std::lock_guard lock(mutex_);
        if (!isUp_)
            return;
        if (!isLapsed_ && clock() >= leaseUntil_) {
            isLapsed_ = true;
            lapsedAt_ = nowMs();
            record_.line(options_.id + ": its lease has lapsed");
        }
        std::vector<std::string> over;
        for (const auto &[task, work] : active_) {
            if (isLapsed_ || nowMs() >= work.endsAt)
                over.push_back(task);
        }
        for (const auto &task : over)
            finish(task, isLapsed_ ? "lapsed" : active_.at(task).how);
    }
}

HttpResponse Minion::callControl(std::size_t control, const std::string &call, const json &body, std::int64_t limitMs)
{
    const std::lock_guard lock(channelMutex_);
    const auto ips = cell_.controlIps();
    sleepMs(options_.linkMs);
    auto answer = channel_.call(ips[control % ips.size()], cell_.controlPort(),
                                {"POST",
                                 "/pistachioworks/instances/" + options_.id + '/' + call,
                                 {{"Content-Type", "application/json"}},
                                 body.is_null() ? std::string() : body.dump()},
                                limitMs, options_.ip);
    sleepMs(options_.linkMs);
    return answer;
}

bool Minion::sendReport(std::size_t control)
{
    json body;
    {
        const std::lock_guard lock(mutex_);
        body = {{"service", options_.service},
                {"address", options_.ip + ':' + std::to_string(port_)},
                {"zone", "svea-a"},
                {"version", "v1"},
                {"slots", 8},
                {"state", isDraining_ ? "draining" : "ready"},
                {"coldLeftMs", 0},
                {"capacity", {{"cpu", options_.cpu}, {"memMb", options_.memMb}, {"gpu", 0}}},
                {"labels", options_.labels},
                {"clockMs", clock()},
                {"born", bornUnixMs_},
                {"sequence", ++sequence_}};
    }
    const bool wasDraining = body["state"] == "draining";
    const auto answer = callControl(control, "heartbeat", body, 1000);
    if (answer.status == 200 && wasDraining)
        drainConfirmed_ = true;
    return answer.status == 200;
}

void Minion::report()
{
    std::int64_t next = nowMs();
    bool toldDraining = false;
    while (isUp_) {
        if (nowMs() < next && !(isDraining_ && !toldDraining)) {
            sleepMs(2);
            continue;
        }
        toldDraining = isDraining_;
        next = nowMs() + options_.heartbeatMs;
        for (int attempt = 0; attempt < 3 && isUp_ && isReporting_; ++attempt) {
            if (sendReport(control_))
                break;
            ++control_;
        }
    }
}

void Minion::drain()
{
    isDraining_ = true;
    const auto until = nowMs() + 4000;
    while (!drainConfirmed_ && nowMs() < until)
        sleepMs(5);
    record_.line(options_.id + " drains, " + (drainConfirmed_ ? "confirmed" : "not confirmed"));
}

bool Minion::deregister(std::int64_t limitMs)
{
    isReporting_ = false;
    record_.line(options_.id + " deregisters, with " + std::to_string(active()) + " runs at work");
    const auto answer = callControl(control_, "deregister", nullptr, limitMs);
    record_.line(options_.id + (answer.status == 200 ? " has the confirmation" : " has no confirmation"));
    return answer.status == 200;
}

std::size_t Minion::active()
{
    const std::lock_guard lock(mutex_);
    return active_.size();
}

std::size_t Minion::unacknowledged()
{
    const std::lock_guard lock(mutex_);
    return ended_.size();
}

std::vector<std::unique_ptr<Minion>> startMinions(Cell &cell, Record &record, RunWatch &watch, int count,
                                                  Minion::Options options)
{
    std::vector<std::unique_ptr<Minion>> minions;
    for (int number = 1; number <= count; ++number) {
        options.id = "i-" + std::to_string(number);
        options.ip = cell.address(4, number);
        minions.push_back(std::make_unique<Minion>(cell, record, watch, options));
        if (!minions.back()->start())
            return {};
    }
    return minions;
}

} // namespace Review
