// How a platform names, formats and calls what the product needs. Implemented in platform/.
//
// An adapter translates and decides nothing. It holds no state and does no I/O, so it may be used
// from any thread.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/catalog/catalog.h"
#include "core/catalog/told_load.h"
#include "core/ownership/coordinator.h"
#include "core/store/store_types.h"
#include "interfaces/http_exchange.h"

namespace ladderstream::interfaces {

/// The headers between callers, nodes and back ends.
struct HeaderNames {
  std::string request_id;
  /// Milliseconds that the sender will wait.
  std::string deadline_ms;
  /// In answers of back ends: which one made it.
  std::string server_stamp;
  /// In requests to back ends: the incarnation that alone may run it.
  std::string expected_instance;
  /// In answers of back ends: the incarnation that answered.
  std::string instance_id;
  /// In answers of back ends: the request has not run and never will.
  std::string not_executed;
  /// In answers of back ends: their load.
  std::string server_load;
  /// In answers of back ends: for how many milliseconds more they are slow from a start.
  std::string cold_left_ms;
  /// In answers of back ends, under any of these names: "1" when the back end is about to end.
  std::vector<std::string> leaving;
  /// In answers of back ends, under any of these names: how many requests a second the back end
  /// takes from all nodes together, as long as its answers say so.
  std::vector<std::string> rate_limit;
  /// In requests to sharded services: the key.
  std::string shard_key;
};

using catalog::ToldLoad;

/// How much of a text from outside was understood.
enum class Understood {
  kWhole,
  /// What was asked for is there; something besides it is not known here.
  kPartly,
  kNot,
};

/// What was not understood in something that was read all the same: the place, and what is wanted
/// there.
using ReadingNotes = std::vector<std::string>;

enum class StoreCall { kTransaction, kRead, kWatch };

class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  virtual const HeaderNames& headers() const = 0;
  /// Whether a header of a back end's answer has a name as the platform gives to what it tells
  /// nodes, and is none that is known here: something is said that nobody hears.
  virtual bool IsUnheardHeader(std::string_view name) const = 0;
  /// The path of the readiness question.
  virtual std::string_view ready_path() const = 0;
  /// Leaves `load` as it is when nothing of `text` is understood.
  virtual Understood ParseToldLoad(std::string_view text, ToldLoad* load) const = 0;

  virtual HttpRequest EncodeTransaction(const store::Transaction& transaction) const = 0;
  virtual HttpRequest EncodeRead(const store::ReadQuery& query) const = 0;
  virtual HttpRequest EncodeWatch(const store::WatchQuery& query) const = 0;
  /// Never throws: an answer that cannot be read is kUnknown with a detail.
  virtual store::StoreReply DecodeStoreReply(StoreCall call,
                                             const HttpResponse& response) const = 0;

  virtual HttpRequest EncodeGrant(const ownership::GrantAction& grant) const = 0;
  virtual HttpRequest EncodeRelease(const ownership::ReleaseAction& release) const = 0;
  virtual ownership::OrderReply DecodeOrderReply(const HttpResponse& response) const = 0;

  /// Where the operator's configuration and the back ends' registrations are kept.
  virtual std::string_view configuration_table() const = 0;
  virtual std::string_view configuration_key() const = 0;
  /// The zone whose back ends are to get nothing while a row of this key is in the configuration's
  /// table; empty when the key is none of these.
  virtual std::optional<std::string> EvacuatedZoneOf(std::string_view key) const = 0;
  virtual std::string_view backend_table() const = 0;
  /// Throws Error(kInvalidConfiguration) naming the place.
  virtual catalog::Configuration DecodeConfiguration(std::string_view value) const = 0;
  /// Gives the row's value. `previous` is the one that it replaces, empty if there is none: what it
  /// holds besides the fields of `configuration` stays. Throws Error(kInvalidConfiguration) when
  /// `previous` cannot be read.
  virtual std::string EncodeConfiguration(const catalog::Configuration& configuration,
                                          std::string_view previous) const = 0;
  /// Throws Error(kMalformedMessage) naming the place when the row is not a back end's own: bytes
  /// that cannot be read, a field that is missing or of another type, an unknown state. A number
  /// out of its range keeps its default, and a note is added. `instance` is the row's key, and the
  /// id is that of the incarnation.
  virtual catalog::Backend DecodeBackend(std::string_view instance, std::string_view value,
                                         ReadingNotes* notes) const = 0;
};

using PlatformAdapterPtr = std::shared_ptr<const PlatformAdapter>;

}  // namespace ladderstream::interfaces
