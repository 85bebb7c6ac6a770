#include "sheet/csvrows.h"

#include <algorithm>
#include <csv.h>

namespace Pistachio::Sheet::Internal
{

namespace
{

// libcsv reports "\r\n" as two row ends when it reports empty rows, which are needed to count rows as a spreadsheet
// does.
std::string withUnixLineEnds(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    bool isQuoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '"')
            isQuoted = !isQuoted;
        if (text[i] != '\r' || isQuoted) {
            result += text[i];
            continue;
        }
        result += '\n';
        if (i + 1 < text.size() && text[i + 1] == '\n')
            ++i;
    }
    return result;
}

class Parser
{
public:
    explicit Parser(char separator)
    {
        csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
        csv_set_delim(&parser_, static_cast<unsigned char>(separator));
    }
    ~Parser() { csv_free(&parser_); }
    Parser(const Parser &) = delete;
    Parser &operator=(const Parser &) = delete;

    // Returns whether all of it is CSV so far.
    bool parse(std::string_view text)
    {
        return csv_parse(&parser_, text.data(), text.size(), &Parser::cellEnded, &Parser::rowEnded, this)
            == text.size();
    }

    bool finish() { return csv_fini(&parser_, &Parser::cellEnded, &Parser::rowEnded, this) == 0; }

    std::function<bool(std::uint32_t, const std::vector<std::string> &)> row;
    std::uint32_t rows = 0;
    std::vector<std::string> cells;
    bool isStopped = false;

private:
    static void cellEnded(void *bytes, std::size_t size, void *self)
    {
        auto &parser = *static_cast<Parser *>(self);
        if (!parser.isStopped)
            parser.cells.emplace_back(static_cast<const char *>(bytes), size);
    }

    static void rowEnded(int, void *self)
    {
        auto &parser = *static_cast<Parser *>(self);
        if (parser.isStopped)
            return;
        ++parser.rows;
        const bool hasValue = std::ranges::any_of(parser.cells, [](const auto &cell) { return !cell.empty(); });
        if (hasValue)
            parser.isStopped = !parser.row(parser.rows, parser.cells);
        parser.cells.clear();
    }

    csv_parser parser_{};
};

} // namespace

char separatorOf(std::string_view text)
{
    std::size_t commas = 0;
    std::size_t semicolons = 0;
    bool isQuoted = false;
    for (const char c : text) {
        if (c == '"')
            isQuoted = !isQuoted;
        if (isQuoted)
            continue;
        if (c == '\n' || c == '\r')
            break;
        commas += c == ',' ? 1 : 0;
        semicolons += c == ';' ? 1 : 0;
    }
    return semicolons > commas ? ';' : ',';
}

CsvFault readRows(std::string_view text, char separator,
                  const std::function<bool(std::uint32_t, const std::vector<std::string> &)> &row)
{
    Parser parser(separator);
    parser.row = row;
    const std::string lines = withUnixLineEnds(text);
    // Small pieces let a stopped reader leave the rest of a large file unread.
    constexpr std::size_t pieceBytes = std::size_t{64} << 10;
    for (std::size_t offset = 0; offset < lines.size() && !parser.isStopped; offset += pieceBytes) {
        if (!parser.parse(std::string_view(lines).substr(offset, pieceBytes)) && !parser.isStopped)
            return {parser.rows + 1, parser.cells.size(), "has a quote that neither encloses the value nor is doubled"};
    }
    if (parser.isStopped)
        return {};
    if (!parser.finish())
        return {parser.rows + 1, parser.cells.size(), "has a quote that is never closed"};
    return {};
}

} // namespace Pistachio::Sheet::Internal
