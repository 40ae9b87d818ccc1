#include "emulator/deployment.h"

#include <absl/strings/str_cat.h>

#include <cmath>

#include "wire/result_code.h"

namespace ladderstream::emulator {
namespace {

/// How fast a region wakes and goes to rest, in hours.
constexpr double kEdgeHours = 0.6;
constexpr double kHoursPerDay = 24;

double Logistic(double x) { return 1 / (1 + std::exp(-x)); }

/// Hours from `from` to `to`, between -12 and 12.
double SignedHours(double from, double to) { return std::remainder(to - from, kHoursPerDay); }

ServiceModel MakeService(const std::string& name, const CostWeights& weights) {
  ServiceModel model;
  model.configuration.name = ServiceName(name);
  model.configuration.key_prefixes = {absl::StrCat(name, "-")};
  model.configuration.weights = weights;
  return model;
}

}  // namespace

double RegionCurve::LoadAt(double hour) const {
  const double middle = (rise_hour + fall_hour) / 2;
  const double half_day = (fall_hour - rise_hour) / 2;
  const double distance = std::abs(SignedHours(middle, hour));
  const double awake = Logistic((half_day - distance) / kEdgeHours);
  return share * (night_share + (1 - night_share) * awake);
}

ServiceModel ScriptavelScripts() {
  CostWeights weights;
  weights.unavailable_time = 10;
  ServiceModel model = MakeService("scripts", weights);
  model.regions = {{"rennes", 0.5, 8, 19}, {"brest", 0.3, 8.5, 19.5}, {"vannes", 0.2, 9, 18}};
  return model;
}

ServiceModel RaetselwaldBoards() {
  constexpr uint32_t kSlots = 3;
  constexpr uint32_t kConnections = 50;
  CostWeights weights;
  weights.churn = 10;
  ServiceModel model = MakeService("boards", weights);
  model.slots = kSlots;
  model.max_connections = kConnections;
  model.regions = {
      {"innsbruck-1", 0.4, 8, 13}, {"innsbruck-2", 0.3, 13, 20}, {"hall", 0.3, 14, 20}};
  return model;
}

ServiceModel SixRegions() {
  constexpr int kRegions = 6;
  constexpr double kHoursApart = kHoursPerDay / kRegions;
  ServiceModel model = MakeService("world", CostWeights{});
  for (int i = 0; i < kRegions; ++i) {
    RegionCurve region;
    region.name = absl::StrCat("region-", i);
    region.share = 1.0 / kRegions;
    region.rise_hour += i * kHoursApart;
    region.fall_hour += i * kHoursApart;
    model.regions.push_back(region);
  }
  return model;
}

ServiceModel FindServiceModel(const std::string& name) {
  for (const ServiceModel& model : {ScriptavelScripts(), RaetselwaldBoards(), SixRegions()}) {
    if (model.configuration.name.value() == name) {
      return model;
    }
  }
  throw Error(ResultCode::kUnknownName, absl::StrCat("no service model is named ", name));
}

}  // namespace ladderstream::emulator
