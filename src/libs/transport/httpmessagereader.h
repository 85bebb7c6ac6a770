#pragma once

#include "transport/httpconversion.h"
#include "transport/message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

namespace Pistachio::Transport::Internal
{

struct HttpReaderLimits {
    std::size_t headerBytes = 0; ///< the first line and the fields
    std::size_t trailerBytes = 0; ///< the last chunk's line and the fields after it
    std::size_t chunkLineBytes = 0; ///< the size of a chunk with its extensions
    std::size_t bodyBytes = 0;
    std::size_t readBytes = std::size_t{64} << 10; ///< received at a time, later requests included
};

/// Reads HTTP/1.1 messages from bytes, without a socket: parses what has been received and bounds each part of it.
///
/// Beast's parser keeps trailers and chunk lines in its buffer until they are complete, adds trailers to the fields,
/// and compares only the fields that wait to be parsed with the limit on headers. All three are bounded here, and
/// fields of a trailer are dropped.
template<bool isRequest> class HttpMessageReader
{
public:
    using Parser = Http::parser<isRequest, Http::string_body>;
    using Message = typename Parser::value_type;

    enum class Progress : std::uint8_t { NeedsMore, HeaderRead, Complete, Failed };
    enum class Cause : std::uint8_t { None, Malformed, Header, Trailer, ChunkLine, Body, EndOfStream };

    explicit HttpMessageReader(const HttpReaderLimits &limits)
        : limits_(limits)
        , buffer_(largestPart(limits) + limits.readBytes)
        , checkExtensions_(
              [this](std::uint64_t, boost::beast::string_view extensions, boost::system::error_code &error) {
                  extensionBytes_ = extensions.size();
                  if (extensionBytes_ > limits_.chunkLineBytes)
                      error = Http::error::header_limit;
              })
    {
    }
    HttpMessageReader(const HttpMessageReader &) = delete;
    HttpMessageReader &operator=(const HttpMessageReader &) = delete;

    /// Begins with the next message. Bytes that have been received already belong to it.
    void begin()
    {
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(limits_.headerBytes));
        parser_->body_limit(limits_.bodyBytes);
        headers_.clear();
        headerBytes_ = 0;
        parser_->on_chunk_header(checkExtensions_);
        hasHeader_ = false;
        cause_ = Cause::None;
        error_ = {};
    }

    /// \return how far the received bytes lead. After HeaderRead it is called again for the body.
    Progress advance()
    {
        if (!hasHeader_)
            return readHeader();
        return readBody();
    }

    /// \return what is missing, now that the peer sends nothing more.
    Progress endOfStream()
    {
        if (parser_->got_some()) {
            parser_->put_eof(error_);
            if (!error_)
                return Progress::Complete;
        } else {
            error_ = Http::error::end_of_stream;
        }
        return fail(Cause::EndOfStream);
    }

    /// \return where to receive the next bytes.
    auto prepare() { return buffer_.prepare(boost::beast::read_size(buffer_, limits_.readBytes)); }
    void commit(std::size_t size) { buffer_.commit(size); }

    [[nodiscard]] Parser &parser() { return *parser_; }
    /// \return the fields of the header, without trailers. To be called once.
    Headers takeHeaders() { return std::move(headers_); }
    [[nodiscard]] Cause cause() const { return cause_; }
    [[nodiscard]] const boost::system::error_code &error() const { return error_; }
    [[nodiscard]] bool hasHeader() const { return hasHeader_; }
    [[nodiscard]] std::size_t bufferedBytes() const { return buffer_.size(); }
    [[nodiscard]] std::size_t receivedBytes() const { return parser_ ? parser_->get().body().size() : 0; }

    /// \return the memory that is held for the message and for received bytes.
    [[nodiscard]] std::size_t heldBytes() const
    {
        if (!parser_)
            return buffer_.capacity();
        // Of a body that was announced, only the part that has arrived uses memory.
        const auto &body = parser_->get().body();
        return buffer_.capacity() + std::min(body.capacity(), 2 * body.size()) + 2 * headerBytes_;
    }

    /// Frees the memory of a message that is not wanted any more, with what was received after it.
    void discard()
    {
        parser_.reset();
        headers_ = {};
        buffer_.clear();
        buffer_.shrink_to_fit();
    }

    /// Frees the buffer if it has grown beyond what ordinary requests need and holds nothing.
    void shrink()
    {
        constexpr std::size_t kept = std::size_t{8} << 10;
        if (buffer_.size() == 0 && buffer_.capacity() > kept)
            buffer_.shrink_to_fit();
    }

private:
    static constexpr std::size_t sizeLineBytes = 32; ///< the size of a chunk and ends of lines

    static std::size_t largestPart(const HttpReaderLimits &limits)
    {
        return std::max(limits.headerBytes, limits.chunkLineBytes + limits.trailerBytes + sizeLineBytes);
    }

    Progress fail(Cause cause)
    {
        cause_ = cause;
        if (cause == Cause::Trailer || cause == Cause::ChunkLine)
            error_ = Http::error::header_limit;
        return Progress::Failed;
    }

    std::size_t put()
    {
        error_ = {};
        const auto size = parser_->put(buffer_.cdata(), error_);
        buffer_.consume(size);
        return size;
    }

    Progress readHeader()
    {
        if (buffer_.size() == 0)
            return Progress::NeedsMore;
        parser_->eager(false);
        while (!parser_->is_header_done()) {
            headerBytes_ += put();
            const bool needsMore = error_ == Http::error::need_more;
            if (error_ == Http::error::header_limit
                || headerBytes_ + (needsMore ? buffer_.size() : 0) > limits_.headerBytes) {
                error_ = Http::error::header_limit;
                return fail(Cause::Header);
            }
            if (needsMore)
                return Progress::NeedsMore;
            if (error_ == Http::error::body_limit)
                return fail(Cause::Body);
            if (error_)
                return fail(Cause::Malformed);
        }
        hasHeader_ = true;
        headers_ = toHeaders(parser_->get());
        return Progress::HeaderRead;
    }

    Progress readBody()
    {
        // One element of a chunked body at a time, so that the size of its last one is known.
        parser_->eager(!parser_->chunked());
        while (!parser_->is_done()) {
            if (buffer_.size() == 0)
                return Progress::NeedsMore;
            const auto size = put();
            if (error_ == Http::error::header_limit)
                return fail(Cause::ChunkLine);
            if (error_ && error_ != Http::error::need_more)
                return fail(error_ == Http::error::body_limit ? Cause::Body : Cause::Malformed);
            if (parser_->chunked() && parser_->is_done()
                && size > sizeLineBytes + extensionBytes_ + limits_.trailerBytes)
                return fail(Cause::Trailer);
            if (error_) // of a body, only the lines of chunks and trailers wait for more
                return checkWaitingPart();
        }
        return Progress::Complete;
    }

    Progress checkWaitingPart()
    {
        std::string_view part(static_cast<const char *>(buffer_.cdata().data()), buffer_.size());
        if (part.starts_with("\r\n")) // the end of the chunk before
            part.remove_prefix(2);
        const auto line = part.substr(0, limits_.chunkLineBytes).find('\n');
        if (line == std::string_view::npos)
            return part.size() > limits_.chunkLineBytes ? fail(Cause::ChunkLine) : Progress::NeedsMore;
        return part.size() > line + 1 + limits_.trailerBytes ? fail(Cause::Trailer) : Progress::NeedsMore;
    }

    const HttpReaderLimits limits_;
    boost::beast::flat_buffer buffer_;
    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code &)> checkExtensions_;
    std::optional<Parser> parser_;
    Headers headers_;
    std::size_t headerBytes_ = 0;
    std::size_t extensionBytes_ = 0; ///< of the last chunk line
    boost::system::error_code error_;
    Cause cause_ = Cause::None;
    bool hasHeader_ = false;
};

} // namespace Pistachio::Transport::Internal
