#pragma once

#include "core/result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Storage
{

/// A file open for appending.
class File
{
public:
    File() = default;
    File(const File &) = delete;
    File &operator=(const File &) = delete;
    virtual ~File() = default;

    /// \param bytes written at the end, possibly in part when this fails
    /// \return Capacity when the disk is full, Io for any other failure.
    virtual Result<void> append(std::string_view bytes) = 0;

    /// \param size the length to cut the file to
    /// \return Io on failure.
    virtual Result<void> truncate(std::uint64_t size) = 0;

    /// Makes everything appended so far durable.
    /// \return an error after which nothing appended since the last success may be relied on.
    virtual Result<void> sync() = 0;
};

/// The files of one data directory. Paths are absolute or relative to the process.
class FileSystem
{
public:
    FileSystem() = default;
    FileSystem(const FileSystem &) = delete;
    FileSystem &operator=(const FileSystem &) = delete;
    virtual ~FileSystem() = default;

    /// Creates a folder and its parents; an existing folder is a success.
    virtual Result<void> createFolder(const std::string &path) = 0;

    /// \return the names in the folder, sorted.
    virtual Result<std::vector<std::string>> list(const std::string &folder) = 0;

    /// \return the whole content, NotFound when there is no such file.
    virtual Result<std::string> read(const std::string &path) = 0;

    /// \return the file, created empty when missing, ready to append at its end.
    virtual Result<std::unique_ptr<File>> openForAppend(const std::string &path) = 0;

    /// Replaces \p to with \p from in one step.
    virtual Result<void> rename(const std::string &from, const std::string &to) = 0;

    virtual Result<void> remove(const std::string &path) = 0;

    /// Makes created, renamed and removed names of the folder durable.
    virtual Result<void> syncFolder(const std::string &folder) = 0;
};

} // namespace Pistachio::Storage
