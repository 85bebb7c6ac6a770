#include "logging/logger.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace Pistachio::Logging;

class LoggingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoggingTest);
    CPPUNIT_TEST(linesAreJsonInOrder);
    CPPUNIT_TEST(droppedLinesAreCounted);
    CPPUNIT_TEST(suppressedLinesAreCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "tst_logging_XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
        folder_ = pattern;
        file_ = (folder_ / "log").string();
    }

    void tearDown() override { std::filesystem::remove_all(folder_); }

    // Guards against a caller's bytes that break the line format, and against lines below the chosen level.
    void linesAreJsonInOrder()
    {
        {
            Logger logger("pistachio-test", "i1", "info", file_);
            logger.write(LogLevel::Debug, "hidden");
            logger.write(LogLevel::Info, "first", {{"count", 3}, {"flag", true}, {"text", "a\"b\n\xff"}});
            logger.write(LogLevel::Error, "second");
        }
        const auto lines = readLines();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("first"), lines[0].at("event").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(3, lines[0].at("count").get<int>());
        CPPUNIT_ASSERT(lines[0].at("flag").get<bool>());
        CPPUNIT_ASSERT_EQUAL(std::string("a\"b\n\xEF\xBF\xBD"), lines[0].at("text").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("error"), lines[1].at("level").get<std::string>());
    }

    // Guards against lines that vanish without a trace: each one is either in the file or in the reported count.
    void droppedLinesAreCounted()
    {
        constexpr std::size_t written = 20000;
        std::uint64_t dropped = 0;
        {
            Logger logger("pistachio-test", "i1", "info", file_, 1, 2 * written);
            for (std::size_t i = 0; i < written; ++i)
                logger.write(LogLevel::Info, "line");
            dropped = logger.droppedLines();
        }
        std::size_t seen = 0;
        std::uint64_t reported = 0;
        for (const auto &line : readLines()) {
            if (line.at("event") == "line")
                ++seen;
            else
                reported += line.at("count").get<std::uint64_t>();
        }
        CPPUNIT_ASSERT_EQUAL(written, seen + dropped);
        CPPUNIT_ASSERT_EQUAL(dropped, reported);
    }

    // An event that repeats without end filled the log, and lines of other events were dropped.
    void suppressedLinesAreCounted()
    {
        constexpr int written = 3000;
        {
            Logger logger("pistachio-test", "i1", "info", file_, Logger::defaultQueueCapacity, 10);
            for (int i = 0; i < written; ++i)
                logger.write(LogLevel::Info, "repeated");
            logger.write(LogLevel::Info, "other");
        }
        int repeated = 0;
        int others = 0;
        std::int64_t suppressed = 0;
        for (const auto &line : readLines()) {
            repeated += line.at("event") == "repeated" ? 1 : 0;
            others += line.at("event") == "other" ? 1 : 0;
            if (line.at("event") == "log-lines-suppressed") {
                CPPUNIT_ASSERT_EQUAL(std::string("repeated"), line.at("of").get<std::string>());
                suppressed += line.at("count").get<std::int64_t>();
            }
        }
        CPPUNIT_ASSERT_EQUAL(1, others);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{written}, repeated + suppressed);
        CPPUNIT_ASSERT(suppressed > 0);
    }

private:
    [[nodiscard]] std::vector<nlohmann::json> readLines() const
    {
        std::vector<nlohmann::json> lines;
        std::ifstream input(file_);
        for (std::string line; std::getline(input, line);)
            lines.push_back(nlohmann::json::parse(line));
        return lines;
    }

    std::filesystem::path folder_;
    std::string file_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoggingTest);
