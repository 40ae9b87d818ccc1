#include "standin/fleet/packet_filter.h"

#include <absl/strings/str_cat.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <boost/asio/ip/address_v4.hpp>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <vector>

#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

/// Of the source address in an IPv4 header.
constexpr uint32_t kSourceOffset = 12;
constexpr uint32_t kKeepAll = UINT32_MAX;
constexpr uint32_t kDropAll = 0;

sock_filter Instruction(uint16_t code, uint32_t value, uint8_t if_true = 0) {
  return {.code = code, .jt = if_true, .jf = 0, .k = value};
}

/// Compares the source with each address in turn.
std::vector<sock_filter> ProgramFor(const std::set<std::string>& sources) {
  std::vector<sock_filter> program;
  program.push_back(
      Instruction(BPF_LD | BPF_W | BPF_ABS, static_cast<uint32_t>(SKF_NET_OFF) + kSourceOffset));
  for (const std::string& source : sources) {
    const uint32_t address = boost::asio::ip::make_address_v4(source).to_uint();
    // Skips the jump over the drop when the address is this one.
    program.push_back(Instruction(BPF_JMP | BPF_JEQ | BPF_K, address, 1));
    program.push_back(Instruction(BPF_JMP | BPF_JA, 1));
    program.push_back(Instruction(BPF_RET | BPF_K, kDropAll));
  }
  program.push_back(Instruction(BPF_RET | BPF_K, kKeepAll));
  return program;
}

int Attach(int descriptor, std::vector<sock_filter> program) {
  const sock_fprog filter = {.len = static_cast<uint16_t>(program.size()),
                             .filter = program.data()};
  return setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

}  // namespace

void DropAllPackets(int descriptor) {
  if (Attach(descriptor, {Instruction(BPF_RET | BPF_K, kDropAll)}) != 0) {
    throw Error(
        ResultCode::kInternal,
        absl::StrCat("cannot set the packet filter for all packets: ", std::strerror(errno)));
  }
}

void DropPacketsFrom(int descriptor, const std::set<std::string>& sources) {
  int failed = 0;
  if (sources.empty()) {
    const int unused = 0;
    failed = setsockopt(descriptor, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
    if (failed != 0 && errno == ENOENT) {
      return;
    }
  } else {
    failed = Attach(descriptor, ProgramFor(sources));
  }
  if (failed != 0) {
    throw Error(ResultCode::kInternal,
                absl::StrCat("cannot set the packet filter for ", sources.size(),
                             " addresses: ", std::strerror(errno)));
  }
}

}  // namespace ladderstream::fleet
