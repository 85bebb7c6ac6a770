#include "workload.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <functional>
#include <utility>

namespace Pistachio::Soak
{

using nlohmann::json;
using Answer = Standin::CallerClient::Answer;
using Outcome = Standin::CallerClient::Outcome;
using Transport::EventLoop;

namespace
{

constexpr const char *host = "jobs.example";
constexpr std::array<const char *, 3> queues{"/plain/", "/advised/", "/later/"};
constexpr std::size_t advisedQueue = 1;
constexpr Duration submitInterval = 250ms;
constexpr Duration readInterval = 150ms;
constexpr Duration configurationInterval = 900ms;
constexpr Duration repeatInterval = 400ms;
constexpr std::size_t patience = 3; ///< refusals until a caller gives up
constexpr std::uint64_t cancelShare = 12; ///< one job of so many is cancelled
constexpr std::uint64_t gangShare = 3; ///< one last step of so many is a gang
constexpr std::uint64_t lateRepeatShare = 8; ///< one accepted job of so many arrives once more
constexpr Duration lateRepeat = 2s;
constexpr std::uint64_t longRunningShare = 7; ///< one job of so many is long-running, the first one too
constexpr Duration shortestLife = 8s; ///< of a long-running job
constexpr std::uint64_t lifeSpreadMs = 40'000;
constexpr std::uint64_t endingShare = 2; ///< one run of so many of a long-running task ends by itself
constexpr Duration shortestRun = 700ms;
constexpr std::uint64_t runSpreadMs = 5000;
constexpr Duration endless = 1h;

std::string newId(RandomSource &random)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%08llx%08llx", static_cast<unsigned long long>(random.below(1ULL << 32)),
                  static_cast<unsigned long long>(random.below(1ULL << 32)));
    return text.data();
}

json encode(const Ledger::Job &job, bool isCheckpointing)
{
    json steps = json::array();
    for (const auto &step : job.steps) {
        json item{{"count", step.tasks}, {"cpu", step.milliCores}, {"memMb", 64}, {"estimateMs", 400}};
        if (step.waitsForFirst)
            item["dependsOn"] = {0};
        if (step.isGang)
            item["gang"] = true;
        if (step.isLongRunning)
            item["longRunning"] = true;
        if (isCheckpointing)
            item["checkpointing"] = true;
        steps.push_back(item);
    }
    return {{"taskSpec", job.payload}, {"jobSteps", steps}};
}

Ledger::Job newJob(RandomSource &random, std::uint64_t number)
{
    constexpr std::uint64_t mostTasks = 4;
    constexpr std::uint64_t largestTask = 3000;
    Ledger::Job job;
    job.payload = "payload " + std::to_string(number);
    for (std::uint64_t left = 1 + random.below(2); left > 0; --left)
        job.steps.push_back({static_cast<std::uint32_t>(1 + random.below(mostTasks)),
                             static_cast<std::int64_t>(200 + random.below(largestTask)), !job.steps.empty(), false});
    auto &last = job.steps.back();
    last.isGang = last.tasks > 1 && random.below(gangShare) == 0;
    return job;
}

Ledger::Job newLongRunningJob(RandomSource &random, std::uint64_t number)
{
    constexpr std::uint64_t mostTasks = 3;
    constexpr std::uint64_t largestTask = 1200;
    Ledger::Job job;
    job.payload = "payload " + std::to_string(number);
    Ledger::Step step;
    step.tasks = static_cast<std::uint32_t>(1 + random.below(mostTasks));
    step.milliCores = static_cast<std::int64_t>(200 + random.below(largestTask));
    step.isLongRunning = true;
    job.steps = {step};
    return job;
}

} // namespace

Workload::Workload(EventLoop &loop, Cell &cell, Ledger &ledger, std::uint64_t seed, std::size_t unusedKeys,
                   Ledger::Report report)
    : loop_(loop)
    , cell_(cell)
    , ledger_(ledger)
    , report_(std::move(report))
    , random_(seed)
    , keys_(seed, unusedKeys, report_)
    , caller_(loop, host)
    , operator_(loop)
{
}

void Workload::start()
{
    changeConfiguration();
    readConfiguration();
    submitOne();
    readUnfinished();
}

void Workload::finish()
{
    isFinished_ = true;
    cancelTimers_.clear();
}

void Workload::cancelLongRunning()
{
    for (const auto &id : ledger_.longRunningJobs()) {
        if (!ledger_.jobs().at(id).isCancelling)
            cancel(id);
    }
}

void Workload::planCancel(const std::string &id)
{
    const bool isLongRunning = ledger_.jobs().at(id).isLongRunning();
    if (random_.below(cancelShare) == 0 || (isLongRunning && isFinished_))
        cancel(id);
    else if (isLongRunning)
        cancelLater(id);
}

void Workload::cancelLater(const std::string &id)
{
    const auto life = shortestLife + std::chrono::milliseconds(random_.below(lifeSpreadMs));
    cancelTimers_[id] = loop_.callAfter(life, [this, id] {
        if (!ledger_.jobs().at(id).isCancelling)
            cancel(id);
    });
}

std::optional<SimulatedMinion::LongRunningRun> Workload::longRunningRun(const Jobs::TaskName &task,
                                                                        std::uint64_t run) const
{
    using Jobs::RunEnd;
    constexpr std::array ends{RunEnd::Failed, RunEnd::LeaseExpired, RunEnd::Stopped};
    const auto job = ledger_.jobs().find(task.step.job);
    if (job == ledger_.jobs().end() || !job->second.isLongRunning())
        return std::nullopt;
    RandomSource random(std::hash<std::string>{}(task.toString()) + run);
    if (random.below(endingShare) != 0)
        return SimulatedMinion::LongRunningRun{endless, RunEnd::Failed};
    const auto length = shortestRun + std::chrono::milliseconds(random.below(runSpreadMs));
    return SimulatedMinion::LongRunningRun{length, ends[random.below(ends.size())]};
}

bool Workload::needsTicket(const std::string &job) const
{
    const auto found = paths_.find(job);
    return found != paths_.end() && found->second.starts_with(queues[advisedQueue]);
}

std::uint32_t Workload::gangSize(const Jobs::StepName &step) const
{
    const auto job = ledger_.jobs().find(step.job);
    if (job == ledger_.jobs().end() || step.step >= job->second.steps.size())
        return 0;
    const auto &spec = job->second.steps[step.step];
    return spec.isGang ? spec.tasks : 0;
}

std::size_t Workload::pickEntry()
{
    return random_.below(cell_.entries().size());
}

void Workload::submitOne()
{
    submitTimer_ = loop_.callAfter(submitInterval, [this] { submitOne(); });
    if (isFinished_ || ledger_.newestAcknowledged() == 0)
        return;
    const auto id = newId(random_);
    const bool isLongRunning = jobs_ % longRunningShare == 0;
    ++jobs_;
    auto job = isLongRunning ? newLongRunningJob(random_, jobs_) : newJob(random_, jobs_);
    Submission submission;
    // Advice may leave a long-running task no minion with room, which the ledger doesn't know.
    submission.path = queues[isLongRunning ? 0 : random_.below(queues.size())] + id;
    submission.body = encode(job, random_.below(2) == 0).dump();
    paths_[id] = submission.path;
    teams_[id] = keys_.randomTeam();
    submission.wrongKey = keys_.wrongKey(teams_[id]);
    ledger_.sent(id, std::move(job));
    requests_[id] = std::move(submission);
    attempt(id);
}

void Workload::attempt(const std::string &id)
{
    const auto &submission = requests_.at(id);
    const auto entry = pickEntry();
    const auto key = submission.wrongKey.value_or(keys_.keyOf(teams_.at(id)));
    caller_.submit(cell_.entries()[entry], submission.path, key, submission.body,
                   [this, id, entry, key, sentAt = EventLoop::now()](const Answer &answer) {
                       checkCut(entry, sentAt, answer);
                       keys_.answered(key, sentAt, answer.outcome);
                       submitted(id, answer);
                   });
}

void Workload::submitted(const std::string &id, const Answer &answer)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        if (answer.outcome == Outcome::NoQueue || answer.outcome == Outcome::Invalid
            || answer.outcome == Outcome::Unauthenticated)
            report_("the repeated job " + id + " was not known again");
        return;
    }
    auto &submission = found->second;
    switch (answer.outcome) {
    case Outcome::Ok:
        lastAccepted_ = EventLoop::now();
        ledger_.accepted(id);
        planCancel(id);
        if (random_.below(lateRepeatShare) == 0) {
            const auto entry = cell_.entries()[pickEntry()];
            repeatTimers_[id] = loop_.callAfter(lateRepeat, [this, id, entry, submission] {
                caller_.submit(entry, submission.path, keys_.keyOf(teams_.at(id)), submission.body,
                               [this, id](const Answer &repeated) { submitted(id, repeated); });
            });
        }
        requests_.erase(found);
        return;
    case Outcome::Refused:
        ++refusals_;
        ++submission.refusals;
        if (!submission.isInDoubt && submission.refusals >= patience) {
            ledger_.refused(id);
            requests_.erase(found);
            return;
        }
        break;
    case Outcome::Unknown:
        submission.isInDoubt = true;
        break;
    case Outcome::Unauthenticated:
        if (submission.wrongKey && !submission.isInDoubt) {
            ledger_.refused(id);
            requests_.erase(found);
            return;
        }
        submission.wrongKey.reset();
        break;
    default:
        report_("job " + id + " was answered as invalid, gone or of no queue");
        requests_.erase(found);
        return;
    }
    repeatLater(id);
}

void Workload::repeatLater(const std::string &id)
{
    repeatTimers_[id] = loop_.callAfter(repeatInterval, [this, id] { attempt(id); });
}

void Workload::checkCut(std::size_t entry, TimePoint sentAt, const Answer &answer)
{
    const auto index = cell_.controls().size() + entry;
    if (answer.isCut && cell_.wasOnlyStopped(index, sentAt))
        report_("a planned stop of " + cell_.name(index) + " cut a request in flight");
}

void Workload::readUnfinished()
{
    readTimer_ = loop_.callAfter(readInterval, [this] { readUnfinished(); });
    const auto ids = ledger_.unfinished();
    if (!ids.empty())
        read(ids[random_.below(ids.size())]);
    if (!ledger_.jobs().empty()) {
        auto item = ledger_.jobs().begin();
        std::advance(item, static_cast<std::ptrdiff_t>(random_.below(ledger_.jobs().size())));
        if (item->second.isAccepted)
            read(item->first);
    }
}

void Workload::read(const std::string &id)
{
    const auto entry = pickEntry();
    const auto &team = teams_.at(id);
    const bool isStranger = keys_.isStranger();
    const auto key = keys_.keyOf(isStranger ? KeyRing::otherTeam(team) : team);
    caller_.read(cell_.entries()[entry], paths_.at(id), key,
                 [this, id, entry, key, isStranger, sentAt = EventLoop::now(),
                  isLater = !ledger_.jobs().at(id).finalState.empty()](const Answer &answer) {
                     checkCut(entry, sentAt, answer);
                     keys_.answered(key, sentAt, answer.outcome);
                     if (isStranger) {
                         if (answer.outcome == Outcome::Ok)
                             report_("job " + id + " was shown to another team");
                         return;
                     }
                     if (answer.outcome == Outcome::Ok || answer.outcome == Outcome::Gone)
                         ledger_.stateSeen(id, answer.state, isLater);
                 });
}

void Workload::cancel(const std::string &id)
{
    ledger_.cancelling(id);
    const auto key = keys_.keyOf(teams_.at(id));
    const auto answered = [this, id, key, sentAt = EventLoop::now()](const Answer &answer) {
        keys_.answered(key, sentAt, answer.outcome);
        if (answer.outcome == Outcome::Ok)
            ledger_.cancelled(id);
        else
            repeatTimers_[id] = loop_.callAfter(repeatInterval, [this, id] { cancel(id); });
    };
    caller_.cancel(cell_.entries()[pickEntry()], paths_.at(id), key, answered);
}

void Workload::changeConfiguration()
{
    if (isFinished_)
        return;
    version_ += 1 + random_.below(3);
    json routes = json::array();
    for (std::size_t index = 0; index < queues.size(); ++index) {
        json route{{"name", "queue-" + std::to_string(index)},
                   {"host", host},
                   {"pathPrefix", queues[index]},
                   {"kind", "non_idempotent"},
                   {"service", service},
                   {"timeoutMs", 3000},
                   {"priority", index},
                   {"maxAttempts", 4},
                   {"slackFactor", 2.0},
                   {"targetLatencyMs", 800}};
        if (index == advisedQueue)
            route["recommendation"] = {{"decisionMs", 1.0}, {"perWorkerMs", 0.1}, {"validityMs", ticketValidity / 1ms}};
        routes.push_back(route);
    }
    const json services = json::array({json{{"name", service},
                                            {"healthPath", "/healthz"},
                                            {"maxConnections", 64},
                                            {"protocol", "h1"},
                                            {"tls", false},
                                            {"preconditions", false}}});
    const json limits{
        {"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    document_ = json{{"version", version_},
                     {"routes", routes},
                     {"services", services},
                     {"limits", limits},
                     {"tenants", keys_.tenants()}}
                    .dump();
    sendConfiguration();
}

void Workload::sendConfiguration()
{
    const auto controls = cell_.controls();
    operator_.replace(controls[random_.below(controls.size())], document_, [this](int status) {
        if (status == 200) {
            ledger_.configurationAcknowledged(version_);
            keys_.confirmed();
            configurationTimer_ = loop_.callAfter(configurationInterval, [this] { changeConfiguration(); });
            return;
        }
        if (status >= 400 && status < 500)
            report_("configuration " + std::to_string(version_) + " was refused with " + std::to_string(status));
        configurationTimer_ = loop_.callAfter(repeatInterval, [this] { sendConfiguration(); });
    });
}

void Workload::readConfiguration()
{
    configurationReadTimer_ = loop_.callAfter(configurationInterval, [this] { readConfiguration(); });
    const auto controls = cell_.controls();
    operator_.read(controls[random_.below(controls.size())],
                   [this, acknowledged = ledger_.newestAcknowledged()](std::optional<std::uint64_t> version) {
                       if (version)
                           ledger_.configurationRead(*version, acknowledged);
                   });
}

} // namespace Pistachio::Soak
