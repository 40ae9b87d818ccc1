// A settings file that is removed at the end of a test.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace ladderstream::gateway {

class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& content)
      : path_(std::filesystem::temp_directory_path() /
              ("ladderstream-node-settings-" + std::to_string(getpid()) + ".toml")) {
    std::ofstream(path_) << content;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

}  // namespace ladderstream::gateway
