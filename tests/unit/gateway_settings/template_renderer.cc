#include "template_renderer.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <stdexcept>
#include <vector>

namespace ladderstream::gateway {
namespace {

using nlohmann::json;

/// Where a gap is being filled: all fields, and the entry of the list around it.
struct Scope {
  const json* fields = nullptr;
  const json* entry = nullptr;
  bool is_last = true;
};

json ReadValue(const std::string& text) {
  if (absl::StrContains(text, ",")) {
    json list = json::array();
    for (const std::string& item : std::vector<std::string>(absl::StrSplit(text, ','))) {
      list.push_back(ReadValue(item));
    }
    return list;
  }
  const json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  return value.is_boolean() || value.is_number() ? value : json(text);
}

const json* Look(const std::string& name, const Scope& scope) {
  if (name == ".") {
    return scope.entry == nullptr ? scope.fields : scope.entry;
  }
  const json* value = scope.fields;
  for (const std::string& step : std::vector<std::string>(absl::StrSplit(name, '.'))) {
    if (!value->is_object() || !value->contains(step)) {
      return nullptr;
    }
    value = &value->at(step);
  }
  return value;
}

std::string TextOf(const json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_array()) {
    return absl::StrJoin(
        value, ",", [](std::string* out, const json& item) { absl::StrAppend(out, TextOf(item)); });
  }
  return value.dump();
}

std::string FillGap(const std::string& gap, const Scope& scope) {
  if (gap == ",") {
    return scope.is_last ? "" : ",";
  }
  const std::vector<std::string> parts = absl::StrSplit(gap, '|');
  const json* const value = Look(parts[0], scope);
  if (value == nullptr) {
    return "";
  }
  return parts.size() > 1 ? value->dump() : TextOf(*value);
}

std::string Render(const std::string& text, const Scope& scope);

std::string RenderSection(const std::string& gap, const std::string& body, const Scope& scope) {
  const json* const value = Look(gap.substr(1), scope);
  const bool is_given = value != nullptr && *value != json(false) && *value != json::array();
  if (gap[0] == '^') {
    return is_given ? "" : Render(body, scope);
  }
  if (!is_given) {
    return "";
  }
  if (!value->is_array()) {
    return Render(body, scope);
  }
  std::string rendered;
  for (const json& entry : *value) {
    absl::StrAppend(&rendered, Render(body, {scope.fields, &entry, &entry == &value->back()}));
  }
  return rendered;
}

size_t Find(const std::string& text, const std::string& wanted, size_t from) {
  const size_t found = text.find(wanted, from);
  if (found == std::string::npos) {
    throw std::runtime_error(absl::StrCat("template lacks ", wanted));
  }
  return found;
}

std::string Render(const std::string& text, const Scope& scope) {
  std::string rendered;
  size_t next = 0;
  for (size_t open = text.find("{{"); open != std::string::npos; open = text.find("{{", next)) {
    rendered.append(text, next, open - next);
    const size_t close = Find(text, "}}", open);
    const std::string gap = text.substr(open + 2, close - open - 2);
    next = close + 2;
    if (gap[0] != '#' && gap[0] != '^') {
      absl::StrAppend(&rendered, FillGap(gap, scope));
      continue;
    }
    const std::string end_mark = absl::StrCat("{{/", gap.substr(1), "}}");
    const size_t end = Find(text, end_mark, next);
    absl::StrAppend(&rendered, RenderSection(gap, text.substr(next, end - next), scope));
    next = end + end_mark.size();
  }
  return rendered + text.substr(next);
}

}  // namespace

json ReadFields(const std::string& lines) {
  json fields = json::object();
  for (const std::string& line : std::vector<std::string>(absl::StrSplit(lines, '\n'))) {
    const size_t equals = line.find('=');
    if (equals == std::string::npos) {
      continue;
    }
    json* target = &fields;
    const std::string name = line.substr(0, equals);
    for (const std::string& step : std::vector<std::string>(absl::StrSplit(name, '.'))) {
      target = &(*target)[step];
    }
    *target = ReadValue(line.substr(equals + 1));
  }
  return fields;
}

std::string RenderTemplate(const std::string& text, const json& fields) {
  return Render(text, {&fields, nullptr, true});
}

}  // namespace ladderstream::gateway
