// A settings file that changes under a running node: what is noticed, and what is taken up.
#include "gateway/settings/settings_file.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <string>

#include "temporary_file.h"

namespace ladderstream::gateway {
namespace {

std::string Content(const std::string& log_level, const std::string& callers) {
  return "[node]\nname = \"a\"\nzone = \"z\"\nlog_level = \"" + log_level +
         "\"\n[listen]\ncallers = \"" + callers +
         "\"\nreadiness = \"10.0.0.1:2\"\npeers = \"10.0.0.1:3\"\n"
         "[store]\naddress = \"10.0.0.2:4\"\n";
}

void Write(const TemporaryFile& file, const std::string& content) {
  std::ofstream(file.path()) << content;
}

BOOST_AUTO_TEST_SUITE(settings_file)

BOOST_AUTO_TEST_CASE(a_changed_file_is_noticed_once) {
  const TemporaryFile file(Content("info", "10.0.0.1:1"));
  SettingsFile settings(file.path());
  settings.Load();
  BOOST_TEST(!settings.HasChanged());
  Write(file, Content("warning", "10.0.0.1:1"));
  BOOST_TEST(settings.HasChanged());
  BOOST_TEST(settings.Load().log_level == "warning");
  BOOST_TEST(!settings.HasChanged());
}

BOOST_AUTO_TEST_CASE(a_file_at_fault_is_told_once) {
  const TemporaryFile file(Content("info", "10.0.0.1:1"));
  SettingsFile settings(file.path());
  settings.Load();
  Write(file, Content("loud", "10.0.0.1:1"));
  BOOST_CHECK_THROW(settings.Load(), settings::SettingsError);
  BOOST_TEST(!settings.HasChanged());
}

// Guards against a parser that runs out of stack.
BOOST_AUTO_TEST_CASE(a_file_of_nested_brackets_is_refused) {
  constexpr size_t kBrackets = 20000;
  const TemporaryFile file(Content("info", "10.0.0.1:1"));
  SettingsFile settings(file.path());
  settings.Load();
  Write(file, "a = " + std::string(kBrackets, '[') + std::string(kBrackets, ']') + "\n");
  BOOST_CHECK_THROW(settings.Load(), settings::SettingsError);
}

BOOST_AUTO_TEST_CASE(a_file_that_is_gone_is_no_change) {
  const TemporaryFile file(Content("info", "10.0.0.1:1"));
  SettingsFile settings(file.path());
  settings.Load();
  std::filesystem::remove(file.path());
  BOOST_TEST(!settings.HasChanged());
}

BOOST_AUTO_TEST_CASE(changes_are_told_by_when_they_are_in_force) {
  const TemporaryFile file(Content("info", "10.0.0.1:1"));
  SettingsFile settings(file.path());
  const NodeSettings before = settings.Load();
  BOOST_TEST(Describe(CompareSettings(before, settings.Load())) == "nothing changed");
  Write(file, Content("error", "10.0.0.1:9") + "[bounds]\nstop_grace = \"9s\"\n");
  const SettingsChanges changes = CompareSettings(before, settings.Load());
  BOOST_TEST(Describe(changes) ==
             "in force: bounds.stop_grace, node.log_level; from the next start: listen.callers");
}

BOOST_AUTO_TEST_CASE(a_request_is_released_by_its_fingerprint_only) {
  const std::string fingerprint = "00000000000000010000000000000002";
  const auto load = [](const std::string& text) {
    const TemporaryFile file(Content("info", "10.0.0.1:1") + "[forwarding]\nreleased_request = \"" +
                             text + "\"\n");
    return SettingsFile(file.path()).Load().released_request;
  };
  BOOST_TEST((load(fingerprint) == quarantine::Fingerprint{1, 2}));
  BOOST_TEST(!load("none").has_value());
  BOOST_CHECK_THROW(load("/gofi710/8366/65e8"), settings::SettingsError);
  BOOST_TEST(IsReloadable("forwarding.released_request"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
