// Fills a settings template the way a platform does, as far as our template needs it.
//
//   {{a.b}}              the value as text: lists joined by commas, nothing where there is none
//   {{a.b|json}}         the value as JSON
//   {{#a}} .. {{/a}}     once for each entry of a list, or once when the value is there and not
//   false
//   {{^a}} .. {{/a}}     once when there is no value, or it is false
//   {{.}}  {{,}}         in a list: the entry; a comma except behind the last one
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace ladderstream::gateway {

/// Reads lines of the form a.b=value into tables; values with commas become lists.
nlohmann::json ReadFields(const std::string& lines);

/// Throws std::runtime_error for a gap that is not closed or a section that does not end.
std::string RenderTemplate(const std::string& text, const nlohmann::json& fields);

}  // namespace ladderstream::gateway
