#include "pistachioctl/verbs.h"

#include "pistachioctl/changerequest.h"
#include "pistachioctl/commands.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <string_view>

namespace Pistachio::Pistachioctl
{

namespace
{

constexpr std::size_t anyNumber = 10'000;

struct Verb {
    std::string_view name;
    std::string_view arguments;
    std::size_t least;
    std::size_t most;
    bool isLocal; ///< needs no control instance
    ExitCode (*run)(const Invocation &);
    std::string_view help;
};

constexpr std::array<Verb, 20> verbs{{
    {"sheet check", "<file>", 1, 1, true, checkSheet, "check a sheet without sending it"},
    {"sheet diff", "<file>", 1, 1, false, diffSheet, "compare a sheet with the one in force"},
    {"sheet apply", "<file>", 1, 1, false, applySheet, "put a sheet in force (--expect-version, --reinstate)"},
    {"sheet show", "[<version>]", 0, 1, false, showSheet, "print a sheet as CSV"},
    {"sheet history", "", 0, 0, false, listSheets, "list the kept sheets"},
    {"booking list", "", 0, 0, false, listBookings, "list bookings (--state)"},
    {"booking show", "<booking>", 1, 1, false, showBooking, "show a booking and its tasks"},
    {"booking explain", "<booking>", 1, 1, false, explainBooking, "say why a booking waits or runs where it does"},
    {"booking cancel", "<booking>...", 1, anyNumber, false, cancelBookings, "cancel bookings, all or none"},
    {"worker list", "", 0, 0, false, listWorkers, "list workers (--zone, --state)"},
    {"worker drain", "<worker>", 1, 1, false, drainWorker, "give a worker no new tasks and move its tasks away"},
    {"worker resume", "<worker>", 1, 1, false, resumeWorker, "end a drain"},
    {"instance list", "", 0, 0, false, listInstances, "list control and entry instances"},
    {"instance add", "<id> <zone> <internal> <operator> <worker>", 5, 5, false, addInstance, "add a control instance"},
    {"instance replace", "<old id> <id> <zone> <internal> <operator> <worker>", 6, 6, false, replaceInstance,
     "replace a lost control instance by a new one"},
    {"configuration show", "", 0, 0, false, showConfiguration, "print the configuration as JSON"},
    {"configuration apply", "<file>", 1, 1, false, applyConfiguration, "put a configuration (JSON) in force"},
    {"status", "", 0, 0, false, showStatus, "show leaders, versions in force and zones"},
    {"config check", "<file>", 1, 1, true, checkSettings, "check a settings file of pistachio-control or -entry"},
    {"help", "", 0, 0, true, nullptr, "show this text"},
}};

std::vector<std::string> wordsOf(std::string_view text)
{
    std::vector<std::string> words;
    while (!text.empty()) {
        const std::size_t end = text.find(' ');
        words.emplace_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return words;
}

bool startsWith(const std::vector<std::string> &words, const std::vector<std::string> &start)
{
    return words.size() >= start.size() && std::equal(start.begin(), start.end(), words.begin());
}

} // namespace

ExitCode runVerb(const std::vector<std::string> &words, Invocation invocation)
{
    for (const Verb &verb : verbs) {
        const std::vector<std::string> name = wordsOf(verb.name);
        if (!startsWith(words, name))
            continue;
        invocation.words.assign(words.begin() + static_cast<std::ptrdiff_t>(name.size()), words.end());
        if (invocation.words.size() < verb.least || invocation.words.size() > verb.most)
            return usageFault(invocation,
                              "use: pistachioctl " + std::string(verb.name) + ' ' + std::string(verb.arguments));
        if (verb.run == nullptr) {
            invocation.out << usageText();
            return ExitCode::Done;
        }
        if (!verb.isLocal && invocation.options.controls.empty())
            return usageFault(invocation, "give --control=<ip>:<port>, the operator port of a control instance");
        return verb.run(invocation);
    }
    return usageFault(invocation, words.empty() ? "a command is missing" : "the command is not known");
}

std::string usageText()
{
    constexpr std::size_t helpColumn = 40;
    std::string text = "pistachioctl [flags] <command>\n\ncommands:\n";
    for (const Verb &verb : verbs) {
        std::string line = "  " + std::string(verb.name) + ' ' + std::string(verb.arguments);
        line.resize(std::max(line.size() + 2, helpColumn), ' ');
        text += line.append(verb.help) + '\n';
    }
    text += R"(
flags:
  --control=<ip>:<port>,...   operator ports of control instances, tried in this order
  --config=<file>             TOML file with the keys control, token_file and author
                              (default: the environment variable PISTACHIOCTL_CONFIG)
  --token-file=<file>         the operators' token
  --author=<name>             recorded with a change (default: the environment variable USER)
  --output=table|json         tables for people, JSON for programs
  --request-id=<id>           repeats a change safely; a new one is generated and printed otherwise
  --expect-version=<n>        the version that the change was made for
  --dry-run                   check a change against the cell without making it
  --reinstate=<booking>,...   cancelled bookings that 'sheet apply' brings back
  --state=<state>, --zone=<zone>   filters of lists
  --timeout-ms=<n>            limit of one call

exit codes:
  0 done                      5 not found
  1 unknown flag
  2 wrong command line        6 no control instance could serve it; nothing was changed
  3 sheet or file has errors  7 result unknown: repeat with the same --request-id
  4 version conflict          8 token refused
                              9 refused by a rule of the cell
)";
    return text;
}

} // namespace Pistachio::Pistachioctl
