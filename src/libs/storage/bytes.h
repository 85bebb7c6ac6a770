#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Pistachio::Storage::Internal
{

/// Appends an unsigned number, least significant byte first.
template<class T> void putNumber(std::string &out, T value)
{
    for (std::size_t i = 0; i < sizeof(T); ++i)
        out.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i)));
}

/// Appends a length and the bytes.
inline void putString(std::string &out, std::string_view value)
{
    putNumber(out, static_cast<std::uint32_t>(value.size()));
    out += value;
}

/// Reads what putNumber() and putString() wrote. After a read beyond the end isValid() is false and reads give zeros.
class ByteReader
{
public:
    explicit ByteReader(std::string_view bytes)
        : bytes_(bytes)
    {
    }

    template<class T> T number()
    {
        const std::string_view raw = take(sizeof(T));
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < raw.size(); ++i)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(raw[i])) << (8 * i);
        return static_cast<T>(value);
    }

    std::string_view string() { return take(number<std::uint32_t>()); }
    std::string_view rest() { return take(bytes_.size()); }

    [[nodiscard]] bool isValid() const { return isValid_; }
    [[nodiscard]] bool isAtEnd() const { return isValid_ && bytes_.empty(); }

private:
    std::string_view take(std::size_t size)
    {
        if (size > bytes_.size()) {
            isValid_ = false;
            bytes_ = {};
            return {};
        }
        const std::string_view result = bytes_.substr(0, size);
        bytes_.remove_prefix(size);
        return result;
    }

    std::string_view bytes_;
    bool isValid_ = true;
};

} // namespace Pistachio::Storage::Internal
