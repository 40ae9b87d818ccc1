// News of load as messages carry them: times travel as ages.
#pragma once

#include <vector>

#include "core/load/load_news.h"
#include "core/membership/messages.h"
#include "wire/time.h"

namespace ladderstream::membership {

/// For a message that is made now.
std::vector<LoadNewsEntry> ToEntries(const std::vector<load::LoadNews>& news, Time now);

/// Of a message that was made at `made` or later: the older bound is taken.
std::vector<load::LoadNews> ToLoadNews(const std::vector<LoadNewsEntry>& entries, Time made);

}  // namespace ladderstream::membership
