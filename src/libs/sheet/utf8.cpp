#include "sheet/utf8.h"

#include <cstdint>

namespace Pistachio::Sheet
{

namespace
{

struct Sequence {
    std::size_t length = 0; // 0: not a first byte
    std::uint32_t bits = 0;
    std::uint32_t smallest = 0; // smaller values have a shorter encoding
};

Sequence sequenceOf(unsigned char first)
{
    if (first < 0x80)
        return {1, first, 0};
    if (first >= 0xC2 && first < 0xE0)
        return {2, first & 0x1FU, 0x80};
    if (first >= 0xE0 && first < 0xF0)
        return {3, first & 0x0FU, 0x800};
    if (first >= 0xF0 && first < 0xF5)
        return {4, first & 0x07U, 0x10000};
    return {};
}

bool isValid(std::string_view bytes, const Sequence &sequence)
{
    if (sequence.length == 0 || bytes.size() < sequence.length)
        return false;
    std::uint32_t value = sequence.bits;
    for (std::size_t i = 1; i < sequence.length; ++i) {
        const auto byte = static_cast<unsigned char>(bytes[i]);
        if ((byte & 0xC0U) != 0x80)
            return false;
        value = (value << 6) | (byte & 0x3FU);
    }
    const bool isSurrogate = value >= 0xD800 && value < 0xE000;
    return value >= sequence.smallest && value <= 0x10FFFF && !isSurrogate;
}

} // namespace

std::optional<std::size_t> firstInvalidUtf8(std::string_view text)
{
    for (std::size_t offset = 0; offset < text.size();) {
        const Sequence sequence = sequenceOf(static_cast<unsigned char>(text[offset]));
        if (!isValid(text.substr(offset), sequence))
            return offset;
        offset += sequence.length;
    }
    return std::nullopt;
}

std::string shortened(std::string_view text, std::size_t bytes)
{
    if (text.size() <= bytes)
        return std::string(text);
    while (bytes > 0 && (static_cast<unsigned char>(text[bytes]) & 0xC0U) == 0x80)
        --bytes;
    return std::string(text.substr(0, bytes)) + "...";
}

} // namespace Pistachio::Sheet
