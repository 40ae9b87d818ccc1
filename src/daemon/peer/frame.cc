#include "daemon/peer/frame.h"

#include <absl/strings/str_cat.h>

#include <boost/endian/conversion.hpp>

#include "wire/codec.h"

namespace ladderstream::peer {
namespace {

void CheckLength(size_t length) {
  if (length > kMaxFrameBytes) {
    throw Error(ResultCode::kMessageTooLarge,
                absl::StrCat("message of ", length, " bytes; at most ", kMaxFrameBytes));
  }
}

uint32_t ReadLength(const char* bytes) {
  return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(bytes));
}

}  // namespace

std::string EncodeFrame(const PeerFrame& frame) {
  msgpack::sbuffer buffer;
  buffer.write("\0\0\0\0", kFrameHeaderBytes);
  msgpack::pack(buffer, frame);
  const size_t length = buffer.size() - kFrameHeaderBytes;
  CheckLength(length);
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(buffer.data()),
                               static_cast<uint32_t>(length));
  return std::string(buffer.data(), buffer.size());
}

void FrameReader::Append(std::string_view bytes) {
  if (consumed_ > 0) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
  buffer_.append(bytes);
}

std::optional<std::string> FrameReader::Next() {
  const size_t available = buffer_.size() - consumed_;
  if (available < kFrameHeaderBytes) {
    return std::nullopt;
  }
  const size_t length = ReadLength(buffer_.data() + consumed_);
  CheckLength(length);
  if (available - kFrameHeaderBytes < length) {
    return std::nullopt;
  }
  std::string message = buffer_.substr(consumed_ + kFrameHeaderBytes, length);
  consumed_ += kFrameHeaderBytes + length;
  return message;
}

}  // namespace ladderstream::peer
