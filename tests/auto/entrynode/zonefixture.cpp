#include "zonefixture.h"

#include <cppunit/TestAssert.h>

#include <csignal>
#include <fstream>
#include <sstream>

namespace Pistachio::EndToEnd
{

namespace
{

constexpr std::chrono::milliseconds stopLimit(20000);

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

ZoneFixture::ZoneFixture()
    : cluster_(1)
    , client_(loop_, {})
{
    for (std::size_t index = 0; index < entries_.size(); ++index)
        writeSettings(index, controlAddress());
}

std::string ZoneFixture::controlAddress() const
{
    const std::string settings = readFile(file("control-1.toml"));
    const std::string before = "internal = \"";
    const auto begin = settings.find(before) + before.size();
    return settings.substr(begin, settings.find('"', begin) - begin);
}

void ZoneFixture::writeSettings(std::size_t index, const std::string &control)
{
    // The first start gets ports from the system; a restart keeps them, as an instance keeps its addresses.
    const Entry &entry = entries_[index];
    std::ofstream(file(name(index) + ".toml"))
        << "instance = \"" << name(index) << "\"\nzone = \"svealand\"\n[listen]\ncallers = \"" << address(entry.callers)
        << "\"\nminions = \"" << address(entry.minions) << "\"\ninternal = \"" << address(entry.internal)
        << "\"\n[limits]\nmax_body_bytes = 1000\n[[control]]\nid = \"control-1\"\nzone = \"svealand\"\ninternal = \""
        << control << "\"\n";
}

void ZoneFixture::startEntry(std::size_t index)
{
    const std::string settings = file(name(index) + ".toml");
    // Each start has a log of its own, so that a failure can be explained.
    entries_[index].log = file(name(index) + '-' + std::to_string(++starts_) + ".log");
    entries_[index].process = std::make_unique<Process>(
        PISTACHIO_ENTRY, std::vector<std::string>{"--settings=" + settings}, entries_[index].log);
    readPorts(index);
    writeSettings(index, controlAddress());
}

void ZoneFixture::readPorts(std::size_t index)
{
    Entry &entry = entries_[index];
    const bool listening = Cluster::waitFor([&] {
        const std::string text = log(index);
        const auto begin = text.find('{');
        const auto end = text.find('\n', begin);
        if (begin == std::string::npos || end == std::string::npos)
            return false;
        const auto line = nlohmann::json::parse(text.substr(begin, end - begin), nullptr, false);
        if (!line.is_object() || line.value("event", "") != "listening")
            return false;
        entry.callers = line.at("callers").get<std::uint16_t>();
        entry.minions = line.at("minions").get<std::uint16_t>();
        entry.internal = line.at("internal").get<std::uint16_t>();
        return true;
    });
    CPPUNIT_ASSERT_MESSAGE(log(index), listening);
}

std::string ZoneFixture::log(std::size_t index) const
{
    return readFile(entries_[index].log);
}

int ZoneFixture::stopEntry(std::size_t index)
{
    entries_[index].process->signal(SIGTERM);
    return entries_[index].process->wait(stopLimit).value_or(-1);
}

Transport::CallResult ZoneFixture::call(std::size_t index, bool callersPort, const Transport::Request &request)
{
    std::optional<Transport::CallResult> result;
    const std::uint16_t port = callersPort ? entries_[index].callers : entries_[index].minions;
    client_.call({"127.0.0.1", port}, request, std::chrono::milliseconds(5000),
                 [&result](Transport::CallResult answer) { result = std::move(answer); });
    while (!result)
        loop_.runFor(std::chrono::milliseconds(2));
    return *result;
}

bool ZoneFixture::waitReady(std::size_t index)
{
    return Cluster::waitFor([&] {
        const auto answer = call(index, false, {"GET", "/readyz", {}, {}});
        return answer && answer.value().status == 200;
    });
}

std::unique_ptr<Process> ZoneFixture::startMinions(const std::string &minion, int count)
{
    return std::make_unique<Process>(
        STANDIN_MINION,
        std::vector<std::string>{"--minion=" + minion, "--count=" + std::to_string(count),
                                 "--entries=" + address(entries_[0].minions) + ',' + address(entries_[1].minions)},
        file(minion + ".log"));
}

std::unique_ptr<Process> ZoneFixture::startLoad(const std::vector<std::string> &arguments)
{
    std::vector<std::string> all{"--entries=" + address(entries_[0].callers) + ',' + address(entries_[1].callers),
                                 "--health=" + address(entries_[0].minions) + ',' + address(entries_[1].minions)};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return std::make_unique<Process>(LOAD_GENERATOR, all, file("load.log"));
}

std::vector<nlohmann::json> ZoneFixture::stopAndRead(Process &process, const std::string &program, int exitCode) const
{
    process.signal(SIGTERM);
    const auto code = process.wait(stopLimit);
    std::istringstream text(readFile(file(program + ".log")));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(program + ": " + text.str(), exitCode, code.value_or(-1));
    std::vector<nlohmann::json> result;
    for (std::string line; std::getline(text, line);)
        result.push_back(nlohmann::json::parse(line));
    CPPUNIT_ASSERT(!result.empty());
    return result;
}

} // namespace Pistachio::EndToEnd
