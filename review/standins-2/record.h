// What was sent, answered and run, with the time since the start of the case.
#pragma once

#include "net.h"

#include <cstdio>

namespace bed
{

class Record
{
public:
    explicit Record(const std::string &path)
        : file_(std::fopen(path.c_str(), "w"))
        , begun_(Clock::now())
    {
    }
    ~Record()
    {
        if (file_)
            std::fclose(file_);
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%9.3f  %s\n", seconds(), text.c_str());
        std::fflush(file_);
    }

    double seconds() const { return std::chrono::duration<double>(Clock::now() - begun_).count(); }
    bool isOpen() const { return file_ != nullptr; }

private:
    std::FILE *file_;
    Clock::time_point begun_;
    std::mutex mutex_;
};

} // namespace bed
