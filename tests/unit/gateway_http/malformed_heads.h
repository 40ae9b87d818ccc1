// Parts of HTTP answers that no reader may take, for the tests of every reader.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ladderstream::gateway {

/// Status codes that cannot end an exchange.
inline std::vector<std::string> UnusableStatuses() { return {"000", "099", "101", "600", "999"}; }

/// Header lines whose name holds a blank or a control byte: first, within, and before the colon.
inline std::vector<std::string> LinesWithMalformedNames() {
  std::string bytes = " \x7f";
  for (char byte = 0; byte < ' '; ++byte) {
    // These end the line.
    if (byte != '\r' && byte != '\n') {
      bytes.push_back(byte);
    }
  }
  std::vector<std::string> lines;
  for (const char byte : bytes) {
    lines.push_back(std::string(1, byte) + "X-Name: v\r\n");
    lines.push_back("X-" + std::string(1, byte) + "Name: v\r\n");
    lines.push_back("X-Name" + std::string(1, byte) + ": v\r\n");
  }
  return lines;
}

/// The same in a name that decides where the body ends.
inline std::vector<std::string> LinesWithMalformedFraming() {
  return {"Content-Length : 1\r\n", "Content-Length\x01: 1\r\n", " Content-Length: 1\r\n",
          "Transfer-Encoding : chunked\r\n", "Transfer-Encoding\t: chunked\r\n"};
}

}  // namespace ladderstream::gateway
