#include "cell.h"

#include "platform/runobserver.h"
#include "transport/httpserver.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace Review
{

using Standin::MinionServer;
using Transport::EventLoop;

namespace
{

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

constexpr const char *host = "jobs.example";
constexpr const char *service = "press";
constexpr std::uint16_t minionPort = 7500;
constexpr Duration callLimit = 3s; ///< the callers' time budget
constexpr Duration finishTime = 14s; ///< finish_s

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Records what begins and ends on the minions.
class Runs : public RunObserver
{
public:
    explicit Runs(Cell &cell)
        : cell_(cell)
    {
    }

    void runBegan(const std::string &minion, const Jobs::StartOrder &order) override
    {
        cell_.record("run begins: " + order.task.toString() + " run " + std::to_string(order.run) + " on " + minion);
        ++begun[order.task.step.job];
        ++total;
        if (doneTasks.contains(order.task))
            begunAgain.insert(order.task);
        running[order.task].insert(minion);
    }
    void runEnded(const std::string &minion, const Jobs::EndedRun &end) override
    {
        cell_.record("run ends: " + end.task.toString() + " run " + std::to_string(end.run) + " on " + minion + ", how "
                     + std::to_string(static_cast<int>(end.end)));
        running[end.task].erase(minion);
        if (end.end != Jobs::RunEnd::Done)
            return;
        ++done[end.task.step.job];
        doneTasks.insert(end.task);
        unnoted[minion][end.number] = end.task;
    }
    void endsAcknowledged(const std::string &minion, std::uint64_t number) override
    {
        auto &ends = unnoted[minion];
        for (auto end = ends.begin(); end != ends.end() && end->first <= number; end = ends.erase(end)) {
            cell_.record("ackCursor " + std::to_string(number) + " on " + minion + ": the end "
                         + std::to_string(end->first) + ", " + end->second.toString()
                         + " done, is taken note of and forgotten");
            noted.insert(end->second);
        }
    }
    void minionCrashed(const std::string &minion) override
    {
        cell_.record("minion crashes: " + minion);
        for (auto &[task, where] : running)
            where.erase(minion);
    }

    std::map<std::string, int> begun; ///< runs by job
    std::map<std::string, int> done;
    std::size_t total = 0;
    std::map<Jobs::TaskName, std::set<std::string>> running;
    std::set<Jobs::TaskName> doneTasks;
    std::set<Jobs::TaskName> noted; ///< whose end, done, was taken note of
    std::set<Jobs::TaskName> begunAgain; ///< after a run that ended done
    std::map<std::string, std::map<std::uint64_t, Jobs::TaskName>> unnoted; ///< by minion

private:
    Cell &cell_;
};

struct Fleet {
    std::vector<std::unique_ptr<MinionServer>> minions;

    /// \return why it could not be started; empty: it runs.
    std::string open(Cell &cell, Runs &runs, std::size_t count, Duration runTime, std::int64_t milliCores,
                     const std::function<std::string(std::size_t)> &rackOf)
    {
        for (std::size_t index = 0; index < count; ++index) {
            Jobs::MinionReport report;
            report.incarnation = {"i-7f3a91c" + std::to_string(index), unixMs()};
            report.address = cell.address(index + 1, minionPort);
            report.service = service;
            report.zone = "zone-" + std::to_string(index % Cell::controls);
            report.milliCores = milliCores;
            report.memoryMb = 1 << 15;
            report.labels = {"a", rackOf(index)};
            minions.push_back(std::make_unique<MinionServer>(
                cell.loop(), std::move(report), runTime, [&cell] { return cell.controlList(); },
                [](const Jobs::StepName &, const std::string &, const std::string &) { return true; }));
            minions.back()->minion().observer = &runs;
            if (const auto opened = minions.back()->open(); !opened)
                return opened.error().message;
        }
        return {};
    }
};

std::string configuration(std::uint64_t version, const std::string &more = {})
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r-1","host":")" + host
        + R"(","pathPrefix":"/proof/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1200,"priority":1,)"
        + R"("service":")" + service + R"(","maxAttempts":4,"slackFactor":2.2})" + more + R"(],"services":[{"name":")"
        + service + R"(","healthPath":"/healthz","maxConnections":64,"protocol":"h1","tls":false,)"
        + R"("preconditions":false,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
        + R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

/// Sends a desired state to one control instance after another until it is acknowledged.
bool configure(Cell &cell, const std::string &document)
{
    for (std::size_t attempt = 0; attempt < 30; ++attempt) {
        if (cell.call(cell.control(attempt % Cell::controls), "POST", "/pistachioworks/config/replace", {}, document,
                      1s)
                .status
            == 200)
            return true;
        cell.pass(300ms);
    }
    return false;
}

bool submit(Cell &cell, const std::string &id, const std::string &body)
{
    for (std::size_t attempt = 0; attempt < 10; ++attempt) {
        if (cell.call(cell.entry(attempt % Cell::entries), "POST", "/proof/" + id, host, body, callLimit).status == 200)
            return true;
        cell.pass(400ms);
    }
    return false;
}

std::string stateOf(Cell &cell, const std::string &id)
{
    return cell.call(cell.entry(0), "GET", "/proof/" + id, host, {}, callLimit).body;
}

std::string jobOf(int count, int cpu, int estimateMs, const std::string &more = {})
{
    return R"({"taskSpec":"print","jobSteps":[{"count":)" + std::to_string(count) + R"(,"cpu":)" + std::to_string(cpu)
        + R"(,"memMb":64,"estimateMs":)" + std::to_string(estimateMs) + more + "}]}";
}

/// \return whether a cell of \p fleet has served a first job.
bool begin(Cell &cell, Runs &runs, Fleet &fleet, std::size_t minions, Duration runTime, std::int64_t milliCores,
           const std::function<std::string(std::size_t)> &rackOf)
{
    if (const auto failure = fleet.open(cell, runs, minions, runTime, milliCores, rackOf); !failure.empty()) {
        cell.record("a minion failed: " + failure);
        return false;
    }
    cell.startAll();
    const std::string first = "00000000000000aa";
    return configure(cell, configuration(1)) && submit(cell, first, jobOf(2, 500, 300))
        && cell.waitFor(15s, [&] { return runs.done[first] == 2; });
}

std::string routeOf(const std::string &name, const std::string &prefix, const std::string &more = {})
{
    return R"({"name":")" + name + R"(","host":")" + host + R"(","pathPrefix":")" + prefix
        + R"(","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":2500,"priority":1,"service":")" + service
        + R"(","maxAttempts":3,"slackFactor":2.2)" + more + "}";
}

/// The desired state drops the route of a job that lasts, and the consumer cancels the job.
int droppedRoute(Cell &cell, bool isTroubled)
{
    constexpr Duration ackTimeout = 4s;
    constexpr Duration cancelTime = 3s;
    constexpr Duration configApply = 2500ms;
    constexpr Duration stopTimeout = 400ms;
    Runs runs(cell);
    Fleet fleet;
    const auto oneRack = [](std::size_t) { return std::string("r1-1"); };
    if (!begin(cell, runs, fleet, 3, 300ms, 16000, oneRack))
        return notRun;
    const std::string id = "5c0e7a21d94b36f8";
    for (const auto &minion : fleet.minions)
        minion->minion().longRunningRun = [&id](const Jobs::TaskName &task, std::uint64_t /*run*/) {
            using LongRunningRun = SimulatedMinion::LongRunningRun;
            return task.step.job == id ? std::optional(LongRunningRun{5s, Jobs::RunEnd::Failed}) : std::nullopt;
        };
    if (!configure(cell, configuration(2, "," + routeOf("r-2", "/feed/"))))
        return notRun;
    const auto job = jobOf(1, 1000, 400, R"(,"longRunning":true,"targetMs":400)");
    if (cell.call(cell.entry(0), "POST", "/feed/" + id, host, job, callLimit).status != 200
        || !cell.waitFor(10s, [&] { return runs.begun[id] == 1; }))
        return notRun;
    cell.pass(1s);
    if (!configure(cell, configuration(3, isTroubled ? std::string() : "," + routeOf("r-2", "/feed/"))))
        return notRun;
    cell.pass(configApply + 500ms);
    const auto begunAt = EventLoop::now();
    bool isCancelled = false;
    std::size_t attempt = 0;
    cell.record("the consumer cancels the job");
    while (!isCancelled && EventLoop::now() < begunAt + ackTimeout) {
        const auto answer
            = cell.call(cell.entry(attempt++ % Cell::entries), "DELETE", "/feed/" + id, host, {}, callLimit);
        isCancelled = answer.status == 410 || (answer.status >= 200 && answer.status < 300);
        cell.pass(isCancelled ? 0s : 500ms);
    }
    cell.pass(cancelTime + stopTimeout);
    const auto begunBefore = runs.begun[id];
    cell.record("from here on no task of the job may start or run on; runs begun so far: "
                + std::to_string(begunBefore));
    const bool runsOn = !runs.running[{{id, 0, 0}, 0}].empty();
    cell.pass(12s);
    cell.record("runs of it that began after that: " + std::to_string(runs.begun[id] - begunBefore)
                + (runsOn ? ", and one ran on" : ""));
    return runsOn || runs.begun[id] > begunBefore ? broken : held;
}

/// The operator sends desired states that can't be read in full.
int invalidState(Cell &cell, bool isTroubled)
{
    Runs runs(cell);
    Fleet fleet;
    if (!begin(cell, runs, fleet, 3, 300ms, 16000, [](std::size_t) { return "r1-1"; }))
        return notRun;
    const std::string id = "5c0e7a21d94b36f8";
    if (!submit(cell, id, jobOf(1, 1000, 300)) || !cell.waitFor(10s, [&] { return runs.done[id] == 1; }))
        return notRun;
    const auto good = configuration(2);
    const auto replaced = [&good](const std::string &from, const std::string &to, std::uint64_t version) {
        auto text = good;
        text.replace(text.find(from), from.size(), to);
        const std::string number = R"("version":2)";
        text.replace(text.find(number), number.size(), R"("version":)" + std::to_string(version));
        return text;
    };
    const auto routes = good.substr(good.find(R"("routes":)"), good.find(R"(,"services")") - good.find(R"("routes":)"));
    const std::vector<std::string> invalid{
        replaced(R"("maxBodyBytes":262144)", R"("maxBodyBytes":"large")", 11),
        replaced(R"("pathPrefix":"/proof/",)", "", 12),
        replaced(routes, R"("routes":null)", 13),
    };
    bool isBroken = false;
    for (const auto &document : invalid) {
        if (!isTroubled)
            break;
        cell.record("the operator sends " + document);
        const auto answer = cell.call(cell.control(0), "POST", "/pistachioworks/config/replace", {}, document, 1s);
        isBroken = isBroken || answer.status == 200;
        cell.pass(600ms);
    }
    cell.pass(2500ms);
    const auto read = cell.call(cell.control(1), "GET", "/pistachioworks/config/read", {}, {}, 1s);
    const bool isInForce = std::find(invalid.begin(), invalid.end(), read.body) != invalid.end();
    const auto state = cell.call(cell.entry(0), "GET", "/proof/" + id, host, {}, callLimit);
    cell.record(std::string("an invalid desired state was ") + (isBroken ? "" : "not ") + "acknowledged and is "
                + (isInForce ? "" : "not ") + "in force; the accepted job is answered with "
                + std::to_string(state.status));
    return isBroken || isInForce ? broken : held;
}

/// Stands before a minion and adds entries to one of its lists of runs.
class ListRelay
{
public:
    ListRelay(Cell &cell, const std::string &address, const std::string &minion)
        : address_(address)
        , minion_(minion)
        , client_(cell.loop(), Transport::HttpClientLimits())
        , server_(cell.loop(), Transport::HttpServerLimits(),
                  [this](const Transport::Request &request, const auto &responder) { handle(request, responder); })
    {
    }

    bool open()
    {
        const auto address = Transport::Endpoint::parse(address_);
        return address && server_.listen(address.value()).has_value();
    }

    std::string list = "active"; ///< to which the entries are added
    std::vector<nlohmann::json> entries; ///< empty: none are added
    bool isOnce = false; ///< they are added to one answer only

private:
    void handle(const Transport::Request &request, const Transport::Responder &responder)
    {
        const auto minion = Transport::Endpoint::parse(minion_);
        Transport::Request passedOn;
        passedOn.method = request.method;
        passedOn.target = request.target;
        passedOn.body = request.body;
        passedOn.headers
            = {{"Content-Type", "application/json"},
               {"Expected-Instance", std::string(Transport::headerValue(request.headers, "Expected-Instance"))}};
        client_.call(minion.value(), std::move(passedOn), 5s, [this, responder](const Transport::CallResult &result) {
            if (!result)
                return;
            Transport::Response response{
                result.value().status, {{"Content-Type", "application/json"}}, result.value().body};
            if (!entries.empty())
                add(response);
            responder.respond(std::move(response));
        });
    }

    void add(Transport::Response &response)
    {
        auto body = nlohmann::json::parse(response.body, nullptr, false);
        if (!body.is_object() || !body.contains(list))
            return;
        for (const auto &entry : entries)
            body[list].push_back(entry);
        response.body = body.dump();
        if (std::exchange(isOnce, false))
            entries.clear();
    }

    const std::string address_;
    const std::string minion_;
    Transport::HttpClient client_;
    Transport::HttpServer server_;
};

/// One answer of a minion lists an ended run of another writer beside its own.
int foreignEnd(Cell &cell, bool isTroubled)
{
    Runs runs(cell);
    Fleet fleet;
    if (!begin(cell, runs, fleet, 3, 300ms, 16000, [](std::size_t) { return "r1-1"; }))
        return notRun;
    ListRelay relay(cell, cell.address(101, minionPort), fleet.minions.front()->minion().report.address);
    if (!relay.open())
        return notRun;
    fleet.minions.front()->minion().report.address = cell.address(101, minionPort);
    cell.pass(4s);
    if (isTroubled) {
        relay.list = "endedRuns";
        // The page's form has a fifth field, which is missing here.
        relay.entries = {{100000, "ffffffffffffffff.0.0.0", 1, "done"}};
        relay.isOnce = true;
        cell.record("one answer of i-7f3a91c0 lists " + relay.entries.front().dump() + " of another writer");
    }
    cell.pass(2s);
    for (int number = 0; number < 12; ++number) {
        const auto id = "5c0e7a21d94b36" + std::to_string(10 + number);
        if (!submit(cell, id, jobOf(3, 1000, 300)))
            return notRun;
        cell.pass(500ms);
    }
    cell.pass(finishTime);
    stateOf(cell, "5c0e7a21d94b3610");
    std::size_t twice = 0;
    for (const auto &task : runs.begunAgain)
        twice += runs.noted.contains(task) ? 1 : 0;
    cell.record("tasks that were started again after a run of them had ended done, whose end was taken note of: "
                + std::to_string(twice) + " of " + std::to_string(runs.doneTasks.size())
                + "; runs begun in all: " + std::to_string(runs.total));
    return twice > 0 ? broken : held;
}

/// One answer of a minion lists, beside its own runs, the run of a task that works on another minion.
int foreignCopy(Cell &cell, bool isTroubled)
{
    constexpr Duration runTime = 12s;
    Runs runs(cell);
    Fleet fleet;
    if (!begin(cell, runs, fleet, 3, 300ms, 16000, [](std::size_t) { return "r1-1"; }))
        return notRun;
    std::vector<std::unique_ptr<ListRelay>> relays;
    for (std::size_t index = 0; index < fleet.minions.size(); ++index) {
        auto &minion = fleet.minions[index]->minion();
        const auto address = cell.address(101 + index, minionPort);
        relays.push_back(std::make_unique<ListRelay>(cell, address, minion.report.address));
        if (!relays.back()->open())
            return notRun;
        minion.report.address = address;
        minion.runLength = [](const Jobs::TaskName &, std::uint64_t) -> Duration { return runTime; };
    }
    cell.pass(4s);
    std::size_t twice = 0;
    std::size_t jobs = 0;
    for (int number = 0; number < 3; ++number) {
        const auto id = "5c0e7a21d94b36" + std::to_string(10 + number);
        const Jobs::TaskName task{{id, 0, 0}, 0};
        if (!submit(cell, id, jobOf(1, 1000, 12000))
            || !cell.waitFor(10s, [&] { return runs.running[task].size() == 1; }))
            return notRun;
        cell.pass(1s);
        const auto place = *runs.running[task].begin();
        const std::size_t other = fleet.minions.front()->minion().report.incarnation.id == place ? 1 : 0;
        if (isTroubled) {
            // saved is a number and percent a text.
            relays[other]->entries = {{task.toString(), 1, 7, "x"}};
            relays[other]->isOnce = true;
            cell.record("one answer of " + fleet.minions[other]->minion().report.incarnation.id + " lists "
                        + relays[other]->entries.front().dump() + " among its active runs; the task works on " + place);
        }
        const bool isTwice = cell.waitFor(6s, [&] { return runs.running[task].size() > 1; });
        cell.record("task " + task.toString() + " works on " + std::to_string(runs.running[task].size())
                    + " minions at the same time");
        twice += isTwice ? 1 : 0;
        ++jobs;
        cell.pass(1s);
    }
    cell.record("tasks that worked on two minions at the same time: " + std::to_string(twice) + " of "
                + std::to_string(jobs));
    return twice > 0 ? broken : held;
}

/// One minion's list of active runs holds entries of another writer. Processes that end are restarted after a second.
int foreignEntry(Cell &cell, bool isTroubled)
{
    constexpr int fewestEnds = 3; ///< of a process, for the rule
    constexpr std::size_t halfOfCore = 2;
    constexpr int foreignEntries = 12;
    Runs runs(cell);
    Fleet fleet;
    if (!begin(cell, runs, fleet, 3, 300ms, 16000, [](std::size_t) { return "r1-1"; }))
        return notRun;
    const std::string id = "5c0e7a21d94b36f8";
    ListRelay relay(cell, cell.address(101, minionPort), fleet.minions.front()->minion().report.address);
    if (!relay.open())
        return notRun;
    fleet.minions.front()->minion().report.address = cell.address(101, minionPort);
    cell.pass(3s);
    for (const auto &minion : fleet.minions)
        minion->minion().longRunningRun = [&id](const Jobs::TaskName &task, std::uint64_t /*run*/) {
            using LongRunningRun = SimulatedMinion::LongRunningRun;
            return task.step.job == id ? std::optional(LongRunningRun{1h, Jobs::RunEnd::Done}) : std::nullopt;
        };
    // Four of the sixteen tasks find no room, and wait.
    if (!submit(cell, id, jobOf(16, 4000, 400, R"(,"longRunning":true,"targetMs":400)"))
        || !cell.waitFor(15s, [&] { return runs.begun[id] == 12; }))
        return notRun;
    cell.pass(2s);
    std::vector<int> ends(Cell::controls);
    std::vector<TimePoint> restartAt(Cell::controls);
    if (isTroubled) {
        for (int step = 1; step <= foreignEntries; ++step)
            relay.entries.push_back(
                {id + ".0." + std::to_string(step) + ".0", 1, 7, "x"}); // saved and percent of other types
        cell.record("from now on the active runs of i-7f3a91c0 hold the entries " + nlohmann::json(relay.entries).dump()
                    + " of another writer, though the job has one step");
    }
    const auto until = EventLoop::now() + 30s;
    while (EventLoop::now() < until) {
        cell.pass(50ms);
        for (std::size_t index = 0; index < Cell::controls; ++index) {
            if (restartAt[index] != TimePoint{} && EventLoop::now() >= restartAt[index]) {
                restartAt[index] = {};
                cell.start(index);
            } else if (restartAt[index] == TimePoint{} && !cell.isRunning(index)) {
                ++ends[index];
                restartAt[index] = EventLoop::now() + 1s;
                cell.record("core-" + std::to_string(index) + " has ended by itself, for the "
                            + std::to_string(ends[index]) + ". time");
            }
        }
    }
    const auto troubled = std::count_if(ends.begin(), ends.end(), [](int count) { return count >= fewestEnds; });
    cell.record("core machines on which a process has ended by itself three times: " + std::to_string(troubled));
    return static_cast<std::size_t>(troubled) >= halfOfCore ? broken : held;
}

/// \return the first two bytes of addresses that nobody else uses, claimed for as long as this process runs.
std::string claimNetwork()
{
    constexpr int networks = 200;
    constexpr std::uint16_t claimPort = 7000;
    for (int attempt = 0; attempt < networks; ++attempt) {
        auto network = "127." + std::to_string(30 + (::getpid() + attempt) % networks);
        const int claim = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(claimPort);
        ::inet_pton(AF_INET, (network + ".1.1").c_str(), &address.sin_addr);
        if (::bind(claim, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
            return network;
        ::close(claim);
    }
    return {};
}

} // namespace

int run(std::string_view scenario, const std::string &recordPath)
{
    auto folder = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    const auto network = claimNetwork();
    if (network.empty() || ::mkdtemp(folder.data()) == nullptr)
        return notRun;
    const char *trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string_view(trouble) != "0";
    int result = notRun;
    {
        EventLoop loop;
        Cell cell(loop, network, folder, recordPath);
        cell.record("scenario " + std::string(scenario) + (isTroubled ? "" : ", without its disruption"));
        if (scenario == "dropped-route")
            result = droppedRoute(cell, isTroubled);
        else if (scenario == "invalid-state")
            result = invalidState(cell, isTroubled);
        else if (scenario == "foreign-end")
            result = foreignEnd(cell, isTroubled);
        else if (scenario == "foreign-copy")
            result = foreignCopy(cell, isTroubled);
        else if (scenario == "foreign-entry")
            result = foreignEntry(cell, isTroubled);
        cell.record(result == broken     ? "the rule was broken"
                        : result == held ? "the rule held"
                                         : "the case could not run");
    }
    if (std::getenv("KEEP") != nullptr)
        std::printf("%s\n", folder.c_str());
    else
        std::filesystem::remove_all(folder);
    return result;
}

} // namespace Review

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "review-driver SCENARIO RECORD\n");
        return 2;
    }
    return Review::run(argv[1], argv[2]);
}
