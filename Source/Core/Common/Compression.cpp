#include "Common/Compression.h"

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

namespace Common {

namespace {

    constexpr int compressionLevel = 3;
    /// Decoders refuse larger windows unless they are told otherwise.
    constexpr int maxWindowLog = 27;
    constexpr int minWindowLog = 10;

    using compression_context = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
    using decompression_context = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

    /// @return the smallest window that reaches from the end of the text to the start of the base.
    int windowLogFor(size_t bytes)
    {
        return std::clamp(static_cast<int>(std::bit_width(bytes)), minWindowLog, maxWindowLog);
    }

} // namespace

std::string compress(std::string_view text, std::string_view base)
{
    const compression_context context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLogFor(text.size() + base.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string compressed(ZSTD_compressBound(text.size()), '\0');
    const size_t size = ZSTD_compress2(context.get(), compressed.data(), compressed.size(), text.data(), text.size());
    compressed.resize(ZSTD_isError(size) ? 0 : size);
    return compressed;
}

std::optional<std::string> decompress(std::string_view compressed, std::string_view base, size_t maxBytes)
{
    const unsigned long long bytes = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (bytes == ZSTD_CONTENTSIZE_ERROR || bytes == ZSTD_CONTENTSIZE_UNKNOWN || bytes > maxBytes)
        return {};
    const decompression_context context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(bytes, '\0');
    const size_t size = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(size) || size != text.size())
        return {};
    return text;
}

} // namespace Common
