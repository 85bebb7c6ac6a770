#pragma once

#include "core/result.h"
#include "core/time.h"
#include "settings/address.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Settings
{

/// Reads one TOML table key by key and collects every error with its key path and line, so that an operator sees all
/// of them at once. Keys that nobody asked for are errors.
class TableReader
{
public:
    /// \param path the file to read
    /// \return a reader of the file's root table, or the syntax error with its line.
    static Result<TableReader> open(const std::string &path);
    /// Reads a file in which a list may hold what TOML can't; usableAddresses() leaves such items out.
    /// \param path the file to read
    /// \param list the key of the list, in the root table
    /// \return a reader of the file's root table, or the syntax error with its line.
    static Result<TableReader> openWithList(const std::string &path, std::string_view list);

    TableReader(TableReader &&) noexcept;
    TableReader &operator=(TableReader &&) noexcept;
    TableReader(const TableReader &) = delete;
    TableReader &operator=(const TableReader &) = delete;
    ~TableReader();

    /// \param key the key, which must be present and not empty
    /// \return the value, or an empty string after an error.
    std::string requiredString(std::string_view key);
    /// \param key the key
    /// \param fallback the value when the key is absent
    /// \return the value.
    std::string optionalString(std::string_view key, std::string_view fallback);
    /// \param key the key, which must be present
    /// \return the address, or an empty one after an error.
    Address requiredAddress(std::string_view key);
    /// \param key the key
    /// \param fallback the value when the key is absent
    /// \param lowest the lowest value accepted
    /// \param highest the highest value accepted
    /// \return the value, or the fallback after an error.
    std::int64_t optionalInteger(std::string_view key, std::int64_t fallback, std::int64_t lowest,
                                 std::int64_t highest);
    /// \param key the key
    /// \param fallback the value when the key is absent
    /// \return the value, or the fallback after an error.
    bool optionalFlag(std::string_view key, bool fallback);
    /// \param key the key of a number of seconds, whole or with a fraction
    /// \param fallback the value when the key is absent
    /// \param lowest the lowest value accepted
    /// \param highest the highest value accepted
    /// \return the value, or the fallback after an error.
    Duration optionalSeconds(std::string_view key, Duration fallback, Duration lowest, Duration highest);
    /// \param key the key of a number, whole or with a fraction
    /// \param fallback the value when the key is absent
    /// \param lowest the lowest value accepted
    /// \param highest the highest value accepted
    /// \return the value, or the fallback after an error.
    double optionalNumber(std::string_view key, double fallback, double lowest, double highest);
    /// As optionalSeconds(), for a number of milliseconds.
    Duration optionalMilliseconds(std::string_view key, Duration fallback, Duration lowest, Duration highest);
    /// \param key the key
    /// \return the address; an empty one when the key is absent or empty, and after an error.
    Address optionalAddress(std::string_view key);
    /// \param key the key
    /// \return the strings of an array, empty when the key is absent.
    std::vector<std::string> optionalStrings(std::string_view key);
    /// \param key the key of an array of addresses
    /// \return those that can be called; each other one gives a warning.
    std::vector<Address> usableAddresses(std::string_view key);
    /// \param key the key of a sub-table
    /// \param read called with a reader of the sub-table, or of an empty one when the key is absent
    void table(std::string_view key, const std::function<void(TableReader &)> &read);
    /// \param key the key of an array of tables
    /// \param read called with a reader of each table in order
    void tables(std::string_view key, const std::function<void(TableReader &)> &read);

    /// \param key the key of this table that is wrong
    /// \param reason what is wrong with it
    void addError(std::string_view key, std::string_view reason);

    /// For a value that is left out while the others count.
    /// \param key the key of this table
    /// \param reason why the value is left out
    void addWarning(std::string_view key, std::string_view reason);
    /// \return what was left out of the whole file, each with its file, line and key.
    [[nodiscard]] const std::vector<std::string> &warnings() const;

    /// Reports the keys that were not read.
    /// \return success, or all errors, one a line.
    Result<void> finish();

private:
    class Private;
    explicit TableReader(std::unique_ptr<Private> state);
    static Result<TableReader> fromText(const std::string &path, std::string_view text);
    void checkUnknownKeys();
    Duration optionalDuration(std::string_view key, std::string_view unitName, Duration unit, Duration fallback,
                              Duration lowest, Duration highest);
    [[nodiscard]] std::string located(std::string_view key, std::string_view reason) const;

    std::unique_ptr<Private> d_;
};

} // namespace Pistachio::Settings
