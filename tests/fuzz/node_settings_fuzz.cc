// The settings file: sound settings, or every fault told by name.
#include <unistd.h>

#include <cstdlib>
#include <string>

#include "fuzz_support.h"
#include "gateway/settings/node_settings.h"

namespace ladderstream::fuzz {
namespace {

/// A file of this process that is written anew for each input.
class InputFile {
 public:
  InputFile() : descriptor_(mkstemps(path_.data(), 5)) {
    Require(descriptor_ >= 0, "a temporary file can be made");
  }
  ~InputFile() {
    close(descriptor_);
    unlink(path_.c_str());
  }
  InputFile(const InputFile&) = delete;
  InputFile& operator=(const InputFile&) = delete;

  const std::string& Write(std::string_view text) {
    const bool written =
        ftruncate(descriptor_, 0) == 0 &&
        pwrite(descriptor_, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size());
    Require(written, "the temporary file can be written");
    return path_;
  }

 private:
  std::string path_ = "/tmp/ladderstream_settings_XXXXXX.toml";
  int descriptor_;
};

}  // namespace
}  // namespace ladderstream::fuzz

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace ladderstream;  // NOLINT(google-build-using-namespace)
  static fuzz::InputFile file;
  const std::string& path = file.Write(fuzz::ToText(data, size));
  try {
    const gateway::NodeSettings read = gateway::LoadNodeSettings(path, {});
    fuzz::Require(!read.name.empty(), "a node has a name");
    fuzz::Require(read.ownership.lease > 2 * read.ownership.lease_renewal,
                  "a lease outlasts two renewals");
  } catch (const settings::SettingsError& error) {
    fuzz::Require(!error.faults().empty(), "an error names its faults");
  }
  return 0;
}
