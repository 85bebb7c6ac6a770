#include "storage/durablefile.h"

#include "storage/filesystem.h"

#include <charconv>

namespace Pistachio::Storage::Internal
{

namespace
{

constexpr std::size_t numberDigits = 16;
constexpr int numberBase = 16;

Result<void> writeAndSync(FileSystem &fileSystem, const std::string &path, std::string_view bytes)
{
    BOOST_OUTCOME_TRY(const auto file, fileSystem.openForAppend(path));
    BOOST_OUTCOME_TRYV(file->append(bytes));
    return file->sync();
}

} // namespace

Result<void> writeDurably(FileSystem &fileSystem, const std::string &folder, const std::string &name,
                          std::string_view bytes)
{
    const std::string path = folder + '/' + name;
    const std::string unfinished = path + std::string(unfinishedSuffix);
    auto written = writeAndSync(fileSystem, unfinished, bytes);
    if (!written) {
        // The content must not become part of a later attempt, so a failure to remove it counts.
        auto removed = fileSystem.remove(unfinished);
        if (!removed && removed.error().code != ErrorCode::NotFound)
            return removed;
        return written;
    }
    BOOST_OUTCOME_TRYV(fileSystem.rename(unfinished, path));
    return fileSystem.syncFolder(folder);
}

std::string numberedName(std::string_view prefix, std::uint64_t number)
{
    std::string digits(numberDigits, '0');
    for (std::size_t i = numberDigits; i > 0 && number > 0; --i, number /= numberBase)
        digits[i - 1] = "0123456789abcdef"[number % numberBase];
    return std::string(prefix) + digits;
}

std::uint64_t numberInName(std::string_view prefix, std::string_view name)
{
    if (!name.starts_with(prefix) || name.size() != prefix.size() + numberDigits)
        return 0;
    name.remove_prefix(prefix.size());
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number, numberBase);
    return error == std::errc() && end == name.data() + name.size() ? number : 0;
}

} // namespace Pistachio::Storage::Internal
