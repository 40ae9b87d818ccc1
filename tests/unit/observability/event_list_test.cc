// docs/OPERATIONS.md and the list of events say the same, and every line keeps to the list.
#include "observability/event_list.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ladderstream::observability {
namespace {

struct PageRow {
  std::string part;
  std::string severity;
  std::string kind;
  std::string sentence;
  std::set<std::string> fields;
};

// Cells of a row; the first is what stands before its leading bar.
constexpr size_t kNameCell = 1;
constexpr size_t kPartCell = 2;
constexpr size_t kSeverityCell = 3;
constexpr size_t kKindCell = 4;
constexpr size_t kSentenceCell = 5;
constexpr size_t kFieldsCell = 6;
constexpr size_t kCells = 8;

std::string Cell(const std::vector<std::string>& cells, size_t index) {
  return std::string(absl::StripAsciiWhitespace(cells[index]));
}

/// The rows between the marks of the table of events.
std::map<std::string, PageRow> ReadPage() {
  std::ifstream page(LADDERSTREAM_SOURCE_DIR "/docs/OPERATIONS.md");
  std::map<std::string, PageRow> rows;
  bool in_table = false;
  for (std::string line; std::getline(page, line);) {
    if (line == "<!-- events -->" || line == "<!-- end of events -->") {
      in_table = line == "<!-- events -->";
      continue;
    }
    const std::vector<std::string> cells = absl::StrSplit(line, '|');
    if (!in_table || cells.size() != kCells || Cell(cells, kNameCell).front() != '`') {
      continue;
    }
    const std::string name(
        absl::StripPrefix(absl::StripSuffix(absl::string_view(Cell(cells, kNameCell)), "`"), "`"));
    PageRow row{Cell(cells, kPartCell), Cell(cells, kSeverityCell), Cell(cells, kKindCell),
                Cell(cells, kSentenceCell),
                absl::StrSplit(Cell(cells, kFieldsCell), ' ', absl::SkipEmpty())};
    BOOST_TEST(rows.emplace(name, row).second, "twice on the page: " << name);
  }
  return rows;
}

std::set<std::string> FieldsOf(const EventDescription& description) {
  std::set<std::string> fields;
  for (size_t i = 0; i < kFieldCount; ++i) {
    const auto name = static_cast<FieldName>(i);
    if (description.fields.Has(name)) {
      fields.emplace(NameOf(name));
    }
  }
  return fields;
}

BOOST_AUTO_TEST_SUITE(event_list)

BOOST_AUTO_TEST_CASE(the_page_lists_exactly_the_events) {
  std::map<std::string, PageRow> page = ReadPage();
  for (size_t i = 0; i < kEventCount; ++i) {
    const EventDescription& description = Describe(static_cast<EventName>(i));
    BOOST_TEST_CONTEXT("event " << description.name) {
      const auto row = page.find(std::string(description.name));
      BOOST_TEST_REQUIRE((row != page.end()));
      BOOST_TEST(row->second.part == PrefixOf(description.part));
      BOOST_TEST(row->second.severity == NameOf(description.severity));
      BOOST_TEST(row->second.kind == NameOf(description.kind));
      BOOST_TEST(row->second.sentence == description.sentence);
      BOOST_TEST(row->second.fields == FieldsOf(description), boost::test_tools::per_element());
      page.erase(row);
    }
  }
  for (const auto& [name, row] : page) {
    BOOST_ERROR("not an event of the program: " << name);
  }
}

BOOST_AUTO_TEST_CASE(names_are_there_and_differ) {
  std::set<std::string_view> fields;
  for (size_t i = 0; i < kFieldCount; ++i) {
    BOOST_TEST(fields.insert(NameOf(static_cast<FieldName>(i))).second);
  }
  std::set<std::string_view> kinds;
  for (size_t i = 0; i < kEventKindCount; ++i) {
    BOOST_TEST(kinds.insert(NameOf(static_cast<EventKind>(i))).second);
  }
  BOOST_TEST(!fields.contains(""));
  BOOST_TEST(!kinds.contains(""));
}

/// A sentence with `=` would be read as a field.
BOOST_AUTO_TEST_CASE(sentences_hold_no_fields) {
  for (size_t i = 0; i < kEventCount; ++i) {
    const std::string_view sentence = Describe(static_cast<EventName>(i)).sentence;
    BOOST_TEST(!sentence.empty());
    BOOST_TEST((sentence.find('=') == std::string_view::npos), sentence);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::observability
