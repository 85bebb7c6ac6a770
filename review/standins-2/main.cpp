// Plays one case of the second independent review. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
// couldn't run.

#include "cases.h"

int main(int argc, char **argv)
{
    if (argc != 3)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    const auto *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    bed::Record record(std::string(argv[2]) + "/record.txt");
    if (!record.isOpen())
        return 2;
    const auto play = bed::cases().find(argv[1]);
    if (play == bed::cases().end())
        return 2;
    const int result = play->second(record, hasTrouble);
    record.line(result == 1 ? "RULE BROKEN" : result == 0 ? "the rule held" : "the case could not run");
    std::printf("%s\n", result == 1 ? "rule broken" : result == 0 ? "rule held" : "could not run");
    return result;
}
