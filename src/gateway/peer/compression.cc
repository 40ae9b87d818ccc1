#include "gateway/peer/compression.h"

#include <absl/strings/str_cat.h>
#include <zlib.h>

#include <array>
#include <memory>
#include <new>

#include "wire/result_code.h"

namespace ladderstream::gateway {
namespace {

constexpr size_t kPieceBytes = size_t{16} << 10U;

struct InflateEnd {
  void operator()(z_stream* stream) const { inflateEnd(stream); }
};

}  // namespace

std::string Compress(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string compressed(size, '\0');
  const int result =
      compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
  if (result != Z_OK) {
    throw std::bad_alloc();
  }
  compressed.resize(size);
  return compressed;
}

std::string Decompress(std::string_view compressed, size_t max_bytes) {
  z_stream stream = {};
  if (inflateInit(&stream) != Z_OK) {
    throw std::bad_alloc();
  }
  const std::unique_ptr<z_stream, InflateEnd> end(&stream);
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::string bytes;
  std::array<char, kPieceBytes> piece;
  int result = Z_OK;
  while (result == Z_OK) {
    stream.next_out = reinterpret_cast<Bytef*>(piece.data());
    stream.avail_out = piece.size();
    result = inflate(&stream, Z_NO_FLUSH);
    bytes.append(piece.data(), piece.size() - stream.avail_out);
    if (bytes.size() > max_bytes) {
      throw Error(ResultCode::kMessageTooLarge,
                  absl::StrCat("message of more than ", max_bytes, " bytes once decompressed"));
    }
  }
  if (result != Z_STREAM_END || stream.avail_in > 0) {
    throw Error(ResultCode::kMalformedMessage, "message that is no whole compressed stream");
  }
  return bytes;
}

}  // namespace ladderstream::gateway
