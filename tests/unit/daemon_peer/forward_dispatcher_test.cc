#include "daemon/peer/forward_dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>

namespace ladderstream::peer {
namespace {

/// Holds every attempt until the test lets them go.
class BlockingDataPath : public DataPath {
 public:
  ForwardResponse RunAttempt(const ForwardRequest& /*request*/) override {
    released_.wait();
    ForwardResponse response;
    response.result = ResultCode::kOk;
    return response;
  }
  void CancelAttempt(const std::string& /*request_id*/) override { cancelled_.set_value(); }
  authority::LoadObserved TakeLoad() override { return {}; }
  void Drain(Duration /*timeout*/) override {}

  void Release() { release_.set_value(); }
  void AwaitCancellation() { cancelled_.get_future().wait(); }

 private:
  std::promise<void> release_;
  std::shared_future<void> released_{release_.get_future().share()};
  std::promise<void> cancelled_;
};

std::future<ForwardResponse> Dispatch(ForwardDispatcher* dispatcher, Priority priority) {
  ForwardRequest request;
  request.priority = priority;
  const auto answer = std::make_shared<std::promise<ForwardResponse>>();
  dispatcher->Dispatch(request,
                       [answer](const ForwardResponse& response) { answer->set_value(response); });
  return answer->get_future();
}

BOOST_AUTO_TEST_SUITE(forward_dispatcher_suite)

BOOST_AUTO_TEST_CASE(FullPoolRefusesBulkBeforeCritical) {
  const auto data_path = std::make_shared<BlockingDataPath>();
  ForwardDispatcher dispatcher(data_path, 2);
  std::future<ForwardResponse> first = Dispatch(&dispatcher, Priority::kNormal);
  BOOST_TEST((Dispatch(&dispatcher, Priority::kBulk).get().result == ResultCode::kOverloaded));
  std::future<ForwardResponse> second = Dispatch(&dispatcher, Priority::kCritical);
  BOOST_TEST((Dispatch(&dispatcher, Priority::kCritical).get().result == ResultCode::kOverloaded));
  // A cancellation gets through although every thread is taken.
  dispatcher.Cancel(ForwardCancel{"x"});
  data_path->AwaitCancellation();
  data_path->Release();
  BOOST_TEST((first.get().result == ResultCode::kOk));
  BOOST_TEST((second.get().result == ResultCode::kOk));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::peer
