#include "child_process.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

extern char **environ;

namespace soak {

child_process::child_process(const std::vector<std::string> &command, const std::string &output)
{
    std::vector<char *> words;
    words.reserve(command.size() + 1);
    for (const auto &it : command)
        words.push_back(const_cast<char *>(it.c_str()));
    words.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&files, 1, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    posix_spawn_file_actions_addclosefrom_np(&files, 3); // the child must not inherit the soak's sockets
    const int failed = posix_spawn(&id_, words.front(), &files, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0)
        throw std::runtime_error("cannot start " + command.front() + ": " + std::strerror(failed));
}

child_process::~child_process()
{
    if (!alive())
        return;
    send(SIGKILL);
    int status = 0;
    waitpid(id_, &status, 0);
}

void child_process::send(int signal) const
{
    if (!status_)
        kill(id_, signal);
}

bool child_process::alive()
{
    if (status_)
        return false;
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) != id_)
        return true;
    status_ = status;
    return false;
}

bool child_process::exited_successfully() const
{
    return status_ && WIFEXITED(*status_) && WEXITSTATUS(*status_) == 0;
}

std::string child_process::end() const
{
    if (!status_)
        return "runs";
    if (WIFSIGNALED(*status_))
        return "signal " + std::to_string(WTERMSIG(*status_));
    return "status " + std::to_string(WEXITSTATUS(*status_));
}

} // namespace soak
