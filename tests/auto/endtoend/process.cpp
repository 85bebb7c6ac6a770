#include "process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace Pistachio::EndToEnd
{

Process::Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &output)
{
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const auto &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Sockets of the test that a program inherits would stay open after the test has closed them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error = posix_spawn(&id_, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("can't start " + program);
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (id_ > 0)
        ::kill(id_, number);
}

void Process::kill()
{
    signal(SIGKILL);
    collect(0);
}

std::optional<int> Process::wait(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!collect(WNOHANG) && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return exitCode_;
}

bool Process::isRunning()
{
    return !collect(WNOHANG);
}

bool Process::collect(int options)
{
    if (id_ <= 0)
        return true;
    int status = 0;
    if (::waitpid(id_, &status, options) != id_)
        return false;
    id_ = -1;
    if (WIFEXITED(status))
        exitCode_ = WEXITSTATUS(status);
    return true;
}

} // namespace Pistachio::EndToEnd
