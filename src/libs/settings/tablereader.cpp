#include "settings/tablereader.h"

#include "settings/listscreen.h"

#include <toml++/toml.h>

#include <fstream>
#include <set>
#include <sstream>

namespace Pistachio::Settings
{

namespace
{

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return failure(ErrorCode::InvalidArgument, path + ": the file can't be read");
    return text.str();
}

} // namespace

class TableReader::Private
{
public:
    std::string file;
    std::string prefix;
    std::shared_ptr<toml::table> root; // keeps `table` alive
    const toml::table *table = nullptr;
    std::shared_ptr<std::vector<std::string>> errors;
    std::shared_ptr<std::vector<std::string>> warnings;
    std::set<std::string, std::less<>> readKeys;

    const toml::node *node(std::string_view key)
    {
        readKeys.emplace(key);
        return table->get(key);
    }

    std::unique_ptr<Private> child(std::string_view key, std::string_view suffix, const toml::table *childTable) const
    {
        auto result = std::make_unique<Private>();
        result->file = file;
        result->prefix = prefix + std::string(key) + std::string(suffix) + '.';
        result->root = root;
        result->table = childTable;
        result->errors = errors;
        result->warnings = warnings;
        return result;
    }
};

namespace
{

/// \return the address in \p text; an empty one if there is no text, and after an error.
Address parseAddress(TableReader &reader, std::string_view key, const std::string &text)
{
    if (text.empty())
        return {};
    auto address = Address::parse(text);
    if (address)
        return address.assume_value();
    reader.addError(key, address.assume_error().message);
    return {};
}

} // namespace

TableReader::TableReader(std::unique_ptr<Private> state)
    : d_(std::move(state))
{
}

TableReader::TableReader(TableReader &&) noexcept = default;
TableReader &TableReader::operator=(TableReader &&) noexcept = default;
TableReader::~TableReader() = default;

Result<TableReader> TableReader::open(const std::string &path)
{
    BOOST_OUTCOME_TRY(const auto text, readFile(path));
    return fromText(path, text);
}

Result<TableReader> TableReader::openWithList(const std::string &path, std::string_view list)
{
    BOOST_OUTCOME_TRY(const auto text, readFile(path));
    return fromText(path, screenStringList(text, list));
}

Result<TableReader> TableReader::fromText(const std::string &path, std::string_view text)
{
    auto parsed = toml::parse(text, path);
    if (!parsed) {
        return failure(ErrorCode::InvalidArgument,
                       path + ':' + std::to_string(parsed.error().source().begin.line) + ": "
                           + std::string(parsed.error().description()));
    }
    auto state = std::make_unique<Private>();
    state->file = path;
    state->root = std::make_shared<toml::table>(std::move(parsed).table());
    state->table = state->root.get();
    state->errors = std::make_shared<std::vector<std::string>>();
    state->warnings = std::make_shared<std::vector<std::string>>();
    return TableReader(std::move(state));
}

std::string TableReader::requiredString(std::string_view key)
{
    std::string value = optionalString(key, "");
    if (value.empty())
        addError(key, "is missing or empty");
    return value;
}

std::string TableReader::optionalString(std::string_view key, std::string_view fallback)
{
    const toml::node *node = d_->node(key);
    if (!node)
        return std::string(fallback);
    if (const auto value = node->value_exact<std::string>())
        return *value;
    addError(key, "must be a string");
    return std::string(fallback);
}

Address TableReader::requiredAddress(std::string_view key)
{
    return parseAddress(*this, key, requiredString(key));
}

std::int64_t TableReader::optionalInteger(std::string_view key, std::int64_t fallback, std::int64_t lowest,
                                          std::int64_t highest)
{
    const toml::node *node = d_->node(key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<std::int64_t>();
    if (value && *value >= lowest && *value <= highest)
        return *value;
    addError(key, "must be a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest));
    return fallback;
}

bool TableReader::optionalFlag(std::string_view key, bool fallback)
{
    const toml::node *node = d_->node(key);
    if (!node)
        return fallback;
    if (const auto value = node->value_exact<bool>())
        return *value;
    addError(key, "must be true or false");
    return fallback;
}

Duration TableReader::optionalDuration(std::string_view key, std::string_view unitName, Duration unit,
                                       Duration fallback, Duration lowest, Duration highest)
{
    const toml::node *node = d_->node(key);
    if (!node)
        return fallback;
    using Fraction = std::chrono::duration<double, Duration::period>;
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (value && *value * Fraction(unit) >= lowest && *value * Fraction(unit) <= highest)
        return std::chrono::duration_cast<Duration>(*value * Fraction(unit));
    addError(key,
             "must be a number of " + std::string(unitName) + " from " + std::to_string(Fraction(lowest) / unit)
                 + " to " + std::to_string(Fraction(highest) / unit));
    return fallback;
}

double TableReader::optionalNumber(std::string_view key, double fallback, double lowest, double highest)
{
    const toml::node *node = d_->node(key);
    if (!node)
        return fallback;
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (value && *value >= lowest && *value <= highest)
        return *value;
    addError(key, "must be a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
    return fallback;
}

Duration TableReader::optionalSeconds(std::string_view key, Duration fallback, Duration lowest, Duration highest)
{
    return optionalDuration(key, "seconds", 1s, fallback, lowest, highest);
}

Duration TableReader::optionalMilliseconds(std::string_view key, Duration fallback, Duration lowest, Duration highest)
{
    return optionalDuration(key, "milliseconds", 1ms, fallback, lowest, highest);
}

Address TableReader::optionalAddress(std::string_view key)
{
    return parseAddress(*this, key, optionalString(key, ""));
}

std::vector<std::string> TableReader::optionalStrings(std::string_view key)
{
    std::vector<std::string> values;
    const toml::node *node = d_->node(key);
    if (!node)
        return values;
    const toml::array *array = node->as_array();
    if (!array) {
        addError(key, "must be an array of strings");
        return values;
    }
    for (const toml::node &element : *array) {
        if (const auto value = element.value_exact<std::string>())
            values.push_back(*value);
        else
            addError(key, "must hold strings only");
    }
    return values;
}

std::vector<Address> TableReader::usableAddresses(std::string_view key)
{
    std::vector<Address> addresses;
    const toml::node *node = d_->node(key);
    const toml::array *array = node ? node->as_array() : nullptr;
    if (node && !array)
        addError(key, "must be an array of addresses");
    for (std::size_t index = 0; array && index < array->size(); ++index) {
        const auto text = (*array)[index].value_exact<std::string>();
        const auto address = Address::parse(text.value_or(""));
        const bool isUsable = address && address.assume_value().port != 0;
        if (isUsable)
            addresses.push_back(address.assume_value());
        else
            addWarning(key,
                       "leaves out item " + std::to_string(index) + ": "
                           + (address    ? std::string("nothing can be called at port 0")
                                  : text ? address.assume_error().message
                                         : std::string("it is not a string")));
    }
    return addresses;
}

void TableReader::table(std::string_view key, const std::function<void(TableReader &)> &read)
{
    static const toml::table emptyTable;
    const toml::node *node = d_->node(key);
    if (node && !node->is_table()) {
        addError(key, "must be a table");
        return;
    }
    TableReader reader(d_->child(key, "", node ? node->as_table() : &emptyTable));
    read(reader);
    reader.checkUnknownKeys();
}

void TableReader::tables(std::string_view key, const std::function<void(TableReader &)> &read)
{
    const toml::node *node = d_->node(key);
    if (!node)
        return;
    const toml::array *array = node->as_array();
    if (!array) {
        addError(key, "must be an array of tables");
        return;
    }
    std::size_t index = 0;
    for (const toml::node &element : *array) {
        const std::string suffix = '[' + std::to_string(index++) + ']';
        if (!element.is_table()) {
            addError(std::string(key) + suffix, "must be a table");
            continue;
        }
        TableReader reader(d_->child(key, suffix, element.as_table()));
        read(reader);
        reader.checkUnknownKeys();
    }
}

std::string TableReader::located(std::string_view key, std::string_view reason) const
{
    const toml::node *node = d_->table->get(key);
    const auto line = node ? node->source().begin.line : d_->table->source().begin.line;
    return d_->file + ':' + std::to_string(line) + ": " + d_->prefix + std::string(key) + ' ' + std::string(reason);
}

void TableReader::addError(std::string_view key, std::string_view reason)
{
    d_->errors->push_back(located(key, reason));
}

void TableReader::addWarning(std::string_view key, std::string_view reason)
{
    d_->warnings->push_back(located(key, reason));
}

const std::vector<std::string> &TableReader::warnings() const
{
    return *d_->warnings;
}

void TableReader::checkUnknownKeys()
{
    for (const auto &[key, node] : *d_->table) {
        if (!d_->readKeys.contains(key.str()))
            addError(key.str(), "is not a known setting");
    }
}

Result<void> TableReader::finish()
{
    checkUnknownKeys();
    if (d_->errors->empty())
        return success();
    std::string message;
    for (const std::string &error : *d_->errors)
        message += (message.empty() ? "" : "\n") + error;
    return failure(ErrorCode::InvalidArgument, message);
}

} // namespace Pistachio::Settings
