// The one list of packages: what CMake asks for, what a deployment installs and what the scripts
// install agree with it, so that a package that is missing on a clean machine is seen here.
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <toml.hpp>
#include <vector>

namespace ladderstream {
namespace {

using Names = std::set<std::string>;

const std::string kSource = LADDERSTREAM_SOURCE_DIR;

struct Package {
  std::string group;
  std::string name;
  /// What CMake asks for and this package provides.
  Names provides;
};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  BOOST_TEST_REQUIRE(file.good(), path);
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

std::vector<Package> ReadPackages() {
  std::vector<Package> packages;
  std::istringstream lines(ReadFile(kSource + "/scripts/packages.txt"));
  for (std::string line; std::getline(lines, line);) {
    const std::vector<std::string> words = absl::StrSplit(line, ' ', absl::SkipEmpty());
    if (words.empty() || words[0] == "#") {
      continue;
    }
    BOOST_TEST_REQUIRE(words.size() >= 2U, line);
    packages.push_back({words[0], words[1], Names(words.begin() + 2, words.end())});
  }
  return packages;
}

Names PackagesOf(const Names& groups) {
  Names names;
  for (const Package& package : ReadPackages()) {
    if (groups.contains(package.group)) {
      names.insert(package.name);
    }
  }
  return names;
}

Names ProvidedBy(const Names& groups) {
  Names provided;
  for (const Package& package : ReadPackages()) {
    if (groups.contains(package.group)) {
      provided.insert(package.provides.begin(), package.provides.end());
    }
  }
  return provided;
}

/// What one find_package or pkg_check_modules asks for; Boost's components as "Boost:name".
Names AskedBy(const std::string& command, const std::string& arguments) {
  const std::vector<std::string> words = absl::StrSplit(arguments, ' ', absl::SkipEmpty());
  Names asked;
  bool in_components = false;
  if (command == "find_package") {
    asked.insert(words[0]);
  }
  for (size_t index = 1; index < words.size(); ++index) {
    const std::string& word = words[index];
    if (in_components) {
      asked.insert(absl::StrCat(words[0], ":", word));
    } else if (command == "pkg_check_modules" && word != "REQUIRED" && word != "IMPORTED_TARGET") {
      asked.insert(word);
    }
    in_components = in_components || word == "COMPONENTS";
  }
  return asked;
}

Names AskedIn(const std::string& cmake) {
  static const std::regex kCall(R"((?:^|\n)\s*(find_package|pkg_check_modules)\(([^)]*)\))");
  Names asked;
  for (std::sregex_iterator call(cmake.begin(), cmake.end(), kCall), end; call != end; ++call) {
    asked.merge(AskedBy((*call)[1], (*call)[2]));
  }
  return asked;
}

void CheckEqual(const Names& left, const Names& right) {
  BOOST_TEST(left == right, boost::test_tools::per_element());
}

/// The lines that `scripts/install_dependencies --list GROUP` prints.
Names ListedByScript(const std::string& group) {
  const std::string command =
      absl::StrCat("'", kSource, "/scripts/install_dependencies' --list ", group);
  FILE* const pipe = popen(command.c_str(), "r");
  BOOST_TEST_REQUIRE(pipe != nullptr);
  Names names;
  std::array<char, 256> line{};
  while (fgets(line.data(), line.size(), pipe) != nullptr) {
    const std::string name(line.data());
    names.insert(name.substr(0, name.find('\n')));
  }
  BOOST_TEST(pclose(pipe) == 0);
  return names;
}

BOOST_AUTO_TEST_SUITE(packages)

BOOST_AUTO_TEST_CASE(every_group_is_known_and_no_package_stands_twice) {
  Names names;
  for (const Package& package : ReadPackages()) {
    BOOST_TEST(Names({"deploy", "build", "test"}).contains(package.group), package.group);
    BOOST_TEST(names.insert(package.name).second, package.name);
  }
}

BOOST_AUTO_TEST_CASE(a_deployment_installs_the_packages_of_its_group) {
  const toml::value system = toml::parse(kSource + "/deploy/system.toml");
  const auto listed = toml::find<std::vector<std::string>>(system, "packages");
  CheckEqual(Names(listed.begin(), listed.end()), PackagesOf({"deploy"}));
}

BOOST_AUTO_TEST_CASE(whatever_cmake_asks_for_has_a_package) {
  const std::string cmake = ReadFile(kSource + "/cmake/Dependencies.cmake");
  const size_t end_of_deploy = cmake.find("return()");
  BOOST_TEST_REQUIRE(end_of_deploy != std::string::npos);
  CheckEqual(AskedIn(cmake.substr(0, end_of_deploy)), ProvidedBy({"deploy"}));
  CheckEqual(AskedIn(cmake), ProvidedBy({"deploy", "build", "test"}));
}

BOOST_AUTO_TEST_CASE(dependencies_are_asked_for_in_one_place) {
  const std::filesystem::path source(kSource);
  std::vector<std::filesystem::path> files = {source / "CMakeLists.txt",
                                              source / "cmake/Targets.cmake"};
  for (const char* directory : {"src", "platform", "tests"}) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(source / directory)) {
      if (entry.path().filename() == "CMakeLists.txt") {
        files.push_back(entry.path());
      }
    }
  }
  for (const std::filesystem::path& file : files) {
    BOOST_TEST(AskedIn(ReadFile(file.string())).empty(), file.string());
  }
}

BOOST_AUTO_TEST_CASE(the_script_installs_the_list) {
  for (const char* group : {"deploy", "build", "test"}) {
    CheckEqual(ListedByScript(group), PackagesOf({group}));
  }
  CheckEqual(ListedByScript(""), PackagesOf({"deploy", "build", "test"}));
}

BOOST_AUTO_TEST_CASE(a_role_names_files_and_a_port_that_fit) {
  const toml::value system = toml::parse(kSource + "/deploy/system.toml");
  const toml::value& router = toml::find(system, "roles", "router");
  const std::string settings =
      ReadFile(kSource + "/" + toml::find<std::string>(router, "template"));
  BOOST_TEST(settings.size() < 65536U);
  const auto metrics = toml::find<std::string>(router, "metrics");
  const std::string port = metrics.substr(0, metrics.find('/'));
  BOOST_TEST(settings.find("metrics = \"{{ip}}:" + port + "\"") != std::string::npos);
  const auto build = toml::find<std::string>(system, "build");
  const auto run = toml::find<std::string>(router, "run");
  const std::string program = run.substr(0, run.find(' '));
  BOOST_TEST(build.find("-B target ") != std::string::npos);
  BOOST_TEST(build.find(" " + program.substr(program.rfind('/') + 1)) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream
