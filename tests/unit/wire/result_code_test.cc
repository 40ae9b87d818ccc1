// docs/RESULT_CODES.md and the codes of the program say the same.
#include "wire/result_code.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace ladderstream {
namespace {

/// One row of the page's tables.
struct PageRow {
  std::string name;
  int http_status = 0;
  std::string meaning;
  std::string may_repeat;
};

// Cells of a row; the first is what stands before its leading bar.
constexpr size_t kNumberCell = 1;
constexpr size_t kNameCell = 2;
constexpr size_t kHttpCell = 3;
constexpr size_t kMeaningCell = 4;
constexpr size_t kRepeatCell = 5;
constexpr size_t kFewestCells = 8;

std::string Cell(const std::vector<std::string>& cells, size_t index) {
  return std::string(absl::StripAsciiWhitespace(cells[index]));
}

std::map<uint32_t, PageRow> ReadPage() {
  std::ifstream page(LADDERSTREAM_SOURCE_DIR "/docs/RESULT_CODES.md");
  std::map<uint32_t, PageRow> rows;
  for (std::string line; std::getline(page, line);) {
    const std::vector<std::string> cells = absl::StrSplit(line, '|');
    uint32_t number = 0;
    if (cells.size() < kFewestCells || !absl::SimpleAtoi(cells[kNumberCell], &number)) {
      continue;
    }
    PageRow row;
    row.name = Cell(cells, kNameCell);
    BOOST_TEST(absl::SimpleAtoi(cells[kHttpCell], &row.http_status), line);
    row.meaning = Cell(cells, kMeaningCell);
    row.may_repeat = Cell(cells, kRepeatCell);
    BOOST_TEST(rows.emplace(number, row).second, "twice on the page: " << number);
  }
  return rows;
}

BOOST_AUTO_TEST_SUITE(result_code)

BOOST_AUTO_TEST_CASE(the_page_lists_exactly_the_codes) {
  std::map<uint32_t, PageRow> page = ReadPage();
  for (const ResultCode code : AllResultCodes()) {
    const auto number = static_cast<uint32_t>(code);
    BOOST_TEST_CONTEXT("code " << number) {
      const auto found = page.find(number);
      BOOST_TEST_REQUIRE((found != page.end()));
      BOOST_TEST(found->second.name == NameOf(code));
      BOOST_TEST(found->second.http_status == HttpStatusOf(code));
      BOOST_TEST(!found->second.meaning.empty());
      page.erase(found);
    }
  }
  for (const auto& [number, row] : page) {
    BOOST_ERROR("not a code of the program: " << number << " " << row.name);
  }
}

BOOST_AUTO_TEST_CASE(what_may_be_repeated_follows_from_the_outcome) {
  const std::map<uint32_t, PageRow> page = ReadPage();
  constexpr uint32_t kFamilySize = 1000;
  const std::map<uint32_t, std::string> expected = {{1, "yes"}, {2, "if repeatable"}, {3, "no"}};
  for (const auto& [number, row] : page) {
    const auto family = expected.find(number / kFamilySize);
    if (family == expected.end()) {
      continue;
    }
    BOOST_TEST(row.may_repeat == family->second, number);
    const Outcome outcome = OutcomeOf(static_cast<ResultCode>(number));
    const bool is_unknown = row.may_repeat == "if repeatable";
    BOOST_TEST((outcome == (is_unknown ? Outcome::kUnknown : Outcome::kDidNotRun)), number);
  }
}

BOOST_AUTO_TEST_CASE(every_code_of_the_header_is_in_the_table) {
  std::ifstream header(LADDERSTREAM_SOURCE_DIR "/src/wire/result_code.h");
  size_t enumerators = 0;
  for (std::string line; std::getline(header, line);) {
    const std::string text(absl::StripAsciiWhitespace(line));
    if (text.starts_with('k') && text.find(" = ") != std::string::npos && text.ends_with(',')) {
      ++enumerators;
    }
  }
  BOOST_TEST(AllResultCodes().size() == enumerators);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream
