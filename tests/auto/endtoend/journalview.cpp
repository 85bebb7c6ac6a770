#include "journalview.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <sstream>

namespace Pistachio::EndToEnd
{

namespace
{
constexpr auto stillRuns = std::numeric_limits<std::int64_t>::max();
}

JournalView::JournalView(const std::string &path, const std::map<std::string, std::int64_t> &deaths)
{
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::int64_t time = 0;
        std::uint64_t incarnation = 0;
        std::string event;
        std::string task;
        std::string worker;
        words >> time >> event >> task >> incarnation >> worker;
        auto &runs = runs_[task];
        if (event == "start") {
            const auto death = deaths.find(worker);
            runs.push_back({worker, time, death == deaths.end() ? stillRuns : death->second, incarnation});
            continue;
        }
        for (auto &run : runs) {
            if (run.worker == worker && run.incarnation == incarnation)
                run.end = std::min(run.end, time);
        }
    }
}

std::size_t JournalView::running(const std::string &prefix) const
{
    return static_cast<std::size_t>(std::count_if(runs_.begin(), runs_.end(), [&prefix](const auto &entry) {
        return entry.first.starts_with(prefix)
            && std::any_of(entry.second.begin(), entry.second.end(),
                           [](const Run &run) { return run.end == stillRuns; });
    }));
}

std::size_t JournalView::started(const std::string &prefix) const
{
    return static_cast<std::size_t>(std::count_if(
        runs_.begin(), runs_.end(), [&prefix](const auto &entry) { return entry.first.starts_with(prefix); }));
}

std::vector<std::string> JournalView::overlaps() const
{
    std::vector<std::string> result;
    for (const auto &[task, runs] : runs_) {
        for (auto first = runs.begin(); first != runs.end(); ++first) {
            for (auto second = std::next(first); second != runs.end(); ++second) {
                if (first->begin < second->end && second->begin < first->end)
                    result.push_back(task + " on " + first->worker + " and " + second->worker);
            }
        }
    }
    return result;
}

} // namespace Pistachio::EndToEnd
