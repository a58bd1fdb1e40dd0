#include "gateway/text_patch.h"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace balsamhall::gateway {
namespace {

// Levels above gain little for texts of many similar entries.
constexpr int kCompressionLevel = 3;
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 27;

// Logarithm of a window that reaches from the end of the text to the start of
// the base.
int WindowLog(std::size_t bytes) {
  return std::clamp(static_cast<int>(std::bit_width(bytes)), kMinWindowLog,
                    kMaxWindowLog);
}

std::uint64_t Digest(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

Error Malformed(const char* detail) {
  return {ResultCode::kPeerFrameMalformed, detail};
}

}  // namespace

std::optional<TextPatch> MakeTextPatch(std::string_view base,
                                       std::string_view text) {
  const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(
      ZSTD_createCCtx(), &ZSTD_freeCCtx);
  if (!context) return std::nullopt;
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                         kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                         WindowLog(base.size() + text.size()));
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  TextPatch patch{std::string(ZSTD_compressBound(text.size()), '\0'),
                  Digest(text)};
  const auto written =
      ZSTD_compress2(context.get(), patch.bytes.data(), patch.bytes.size(),
                     text.data(), text.size());
  if (ZSTD_isError(written) != 0U) return std::nullopt;
  patch.bytes.resize(written);
  return patch;
}

Result<std::string> ApplyTextPatch(std::string_view base,
                                   const TextPatch& patch,
                                   std::size_t max_bytes) {
  const auto bytes =
      ZSTD_getFrameContentSize(patch.bytes.data(), patch.bytes.size());
  if (bytes == ZSTD_CONTENTSIZE_ERROR || bytes == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Malformed("patch states no length");
  }
  if (bytes > max_bytes) return Malformed("patched text too long");
  const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(
      ZSTD_createDCtx(), &ZSTD_freeDCtx);
  if (!context) return Malformed("no memory for the patch");
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMaxWindowLog);
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string text(bytes, '\0');
  const auto written =
      ZSTD_decompressDCtx(context.get(), text.data(), text.size(),
                          patch.bytes.data(), patch.bytes.size());
  if (ZSTD_isError(written) != 0U || written != bytes) {
    return Malformed("patch does not decode");
  }
  if (Digest(text) != patch.digest) return Malformed("patch of another base");
  return text;
}

}  // namespace balsamhall::gateway
