#include "oddvalues.h"
#include "propertycheck.h"
#include "scriptedminion.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

using namespace Pistachio;
using namespace Pistachio::Platform;
using Jobs::OrderOutcome;

namespace
{

std::string join(const std::vector<std::string> &items)
{
    std::string text;
    for (const auto &item : items)
        text += (text.empty() ? "" : ",") + item;
    return text;
}

/// \return the list with \p odd alone, first, between the others and last.
std::vector<std::string> listsWith(const std::string &odd, const std::string &good1, const std::string &good2)
{
    return {odd, join({odd, good1, good2}), join({good1, odd, good2}), join({good1, good2, odd})};
}

} // namespace

/// Rows of another writer in lists that are read from outside: very deeply nested, or with a number too large.
class OddRowsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OddRowsTest);
    CPPUNIT_TEST(oddActiveRowDropsTheAnswer);
    CPPUNIT_TEST(oddProgressDropsTheRun);
    CPPUNIT_TEST(oddEndedRowDropsTheAnswer);
    CPPUNIT_TEST(oddAdviceRowDropsTheAdvice);
    CPPUNIT_TEST(oddFieldBesideTheListsDropsTheAnswer);
    CPPUNIT_TEST(droppedRowsAreNotLogged);
    CPPUNIT_TEST(oddClockHidesTheRefusal);
    CPPUNIT_TEST(mutatedListsLoseGoodRows);
    CPPUNIT_TEST_SUITE_END();

    static Jobs::LeaseOrder order(const ScriptedMinion &minion)
    {
        return {{"i-1", 1}, minion.address(), {}, 0, 0ms, {7, 0}};
    }

    static Transport::Response reply(int status, const std::string &body)
    {
        return {status, {{"Content-Type", "application/json"}}, body};
    }

    static std::string lists(const std::string &active, const std::string &ended, const std::string &more = "")
    {
        return R"({"clockMs":5,"born":1)" + more + R"(,"active":[)" + active + R"(],"endedRuns":[)" + ended + "]}";
    }

    static std::string shorten(const std::string &text) { return text.substr(0, 120); }

    static void checkActive(const std::string &odd)
    {
        ScriptedMinion minion;
        bool isAlone = true;
        for (const auto &list : listsWith(odd, R"(["a.0.0.1",2,"c",41,7])", R"(["a.0.0.2",3,"",0,9])")) {
            minion.answer = reply(200, lists(list, R"([8,"a.0.0.3",1,"done",""])"));
            const auto answer = minion.renewLease(order(minion));
            CPPUNIT_ASSERT_MESSAGE(shorten(list), answer.outcome == OrderOutcome::Done);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shorten(list), std::size_t{isAlone ? 0U : 2U}, answer.active.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shorten(list), std::size_t{1}, answer.ended.size());
            CPPUNIT_ASSERT_MESSAGE(shorten(list), !answer.isActiveComplete);
            if (!isAlone) {
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, answer.active.front().run);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, answer.active.back().run);
            }
            isAlone = false;
        }
    }

    static void checkEnded(const std::string &odd)
    {
        ScriptedMinion minion;
        bool isAlone = true;
        for (const auto &list : listsWith(odd, R"([8,"a.0.0.3",1,"done",""])", R"([9,"a.0.0.4",1,"failed",""])")) {
            minion.answer = reply(200, lists(R"(["a.0.0.1",2,"c",41,7])", list));
            const auto answer = minion.renewLease(order(minion));
            CPPUNIT_ASSERT_MESSAGE(shorten(list), answer.outcome == OrderOutcome::Done);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shorten(list), std::size_t{1}, answer.active.size());
            CPPUNIT_ASSERT_MESSAGE(shorten(list), answer.isActiveComplete);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shorten(list), std::size_t{isAlone ? 0U : 2U}, answer.ended.size());
            if (!isAlone) {
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, answer.ended.front().number);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, answer.ended.back().number);
            }
            isAlone = false;
        }
    }

public:
    void oddActiveRowDropsTheAnswer()
    {
        for (const auto &odd : oddValues()) {
            checkActive(odd);
            checkActive("[" + odd + R"(,2,"c",41,7])");
            checkActive(R"(["a.0.0.9",)" + odd + R"(,"c",41,7])");
        }
        checkActive(R"(["a.0.0.99999999999",2,"c",41,7])");
        checkActive("[]");
    }

    // The run is there, whatever is said of its progress.
    void oddProgressDropsTheRun()
    {
        ScriptedMinion minion;
        for (const auto &odd : oddValues()) {
            for (const auto &row : {R"(["a.0.0.1",2,"c",)" + odd + ",7]", R"(["a.0.0.1",2,"c",41,)" + odd + "]",
                                    R"(["a.0.0.1",2,)" + odd + ",41,7]"}) {
                minion.answer = reply(200, lists(row, ""));
                const auto answer = minion.renewLease(order(minion));
                CPPUNIT_ASSERT_MESSAGE(shorten(row), answer.outcome == OrderOutcome::Done);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(shorten(row), std::size_t{1}, answer.active.size());
                CPPUNIT_ASSERT(answer.active.front().percent <= 100);
            }
        }
    }

    void oddEndedRowDropsTheAnswer()
    {
        for (const auto &odd : oddValues()) {
            checkEnded(odd);
            checkEnded("[" + odd + R"(,"a.0.0.9",1,"done",""])");
            checkEnded("[7," + odd + R"(,1,"done",""])");
            checkEnded(R"([7,"a.0.0.9",)" + odd + R"(,"done",""])");
            checkEnded(R"([7,"a.0.0.9",1,)" + odd + R"(,""])");
        }
        checkEnded(R"([1,"a.0.0.0",1,"vanished"])");
    }

    void oddAdviceRowDropsTheAdvice()
    {
        ScriptedMinion minion;
        std::vector<std::string> rows(oddValues());
        for (const auto &odd : oddValues()) {
            rows.push_back("[" + odd + R"(,"t"])");
            rows.push_back(R"(["m9",)" + odd + "]");
        }
        for (const auto &row : rows) {
            bool isAlone = true;
            for (const auto &list : listsWith(row, R"(["m1","t1"])", R"(["m2","t2"])")) {
                minion.answer = reply(200, R"({"approved":[)" + list + "]}");
                const auto approved = minion.ask({{"a", 0, 0}, {"m1", "m2"}});
                CPPUNIT_ASSERT_MESSAGE(shorten(list), approved.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(shorten(list), std::size_t{isAlone ? 0U : 2U}, approved->size());
                isAlone = false;
            }
        }
    }

    void oddFieldBesideTheListsDropsTheAnswer()
    {
        ScriptedMinion minion;
        for (const auto &odd : oddValues()) {
            minion.answer = reply(200, lists(R"(["a.0.0.1",2,"c",41,7])", "", R"(,"other":)" + odd));
            const auto answer = minion.renewLease(order(minion));
            CPPUNIT_ASSERT_MESSAGE(shorten(odd), answer.outcome == OrderOutcome::Done);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.active.size());
        }
    }

    void droppedRowsAreNotLogged()
    {
        const auto file
            = std::filesystem::temp_directory_path() / ("tst_platform_" + std::to_string(::getpid()) + ".log");
        {
            ScriptedMinion minion(file.string());
            minion.answer = reply(200, lists(R"(["a.0.0.1",2,"c",41,7],["a.0.0.2",1e999,"",0])", "7,7"));
            minion.renewLease(order(minion));
            minion.answer = reply(200, R"({"approved":[7]})");
            minion.ask({{"a", 0, 0}, {"m1"}});
        }
        std::stringstream log;
        log << std::ifstream(file).rdbuf();
        std::filesystem::remove(file);
        for (const auto *part : {"\"minion\":\"i-1\"", "\"list\":\"active\"", "\"list\":\"endedRuns\"", "\"rows\":2",
                                 "\"first\":1", "\"reason\":", "\"list\":\"approved\"", "\"step\":\"a.0.0\""})
            CPPUNIT_ASSERT_MESSAGE(std::string(part) + " is not in: " + log.str(),
                                   log.str().find(part) != std::string::npos);
    }

    // A stale leader that doesn't see the refusal goes on.
    void oddClockHidesTheRefusal()
    {
        ScriptedMinion minion;
        for (const auto &odd : {std::string("1e999"), nested(100), std::string("18446744073709551615")}) {
            minion.answer = reply(409, R"({"clockMs":)" + odd + R"(,"reason":"fence"})");
            const auto answer
                = minion.start({{"i-1", 1}, minion.address(), {{"a", 0, 0}, 0}, 1, "", "", "", 0, {7, 0}});
            CPPUNIT_ASSERT_MESSAGE(shorten(odd), answer.outcome == OrderOutcome::StaleFencingToken);
            CPPUNIT_ASSERT_MESSAGE(shorten(odd), !answer.clockMs);
        }
    }

    // Rows whose values are replaced at random stand between rows that have to come through in their order.
    void mutatedListsLoseGoodRows()
    {
        ScriptedMinion minion;
        checkProperty(
            [&minion] {
                std::vector<std::string> rows;
                std::vector<std::uint64_t> runs;
                const auto count = *rc::gen::inRange(1, 12);
                for (int number = 1; number <= count; ++number) {
                    std::vector<std::string> items{R"("a.0.0.1")", std::to_string(number), R"("c")", "41", "7"};
                    const auto mutated = *rc::gen::inRange<std::size_t>(0, 4);
                    if (mutated < 2)
                        items[mutated] = *rc::gen::elementOf(oddValues());
                    else
                        runs.push_back(static_cast<std::uint64_t>(number));
                    rows.push_back("[" + join(items) + "]");
                }
                minion.answer = reply(200, lists(join(rows), ""));
                const auto answer = minion.renewLease(order(minion));
                RC_ASSERT(answer.outcome == OrderOutcome::Done);
                std::vector<std::uint64_t> read;
                for (const auto &active : answer.active)
                    read.push_back(active.run);
                RC_ASSERT(read == runs);
            },
            100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddRowsTest);
