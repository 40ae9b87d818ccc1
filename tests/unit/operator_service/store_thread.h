// The stand-in's store on a thread of its own, for tests whose own thread blocks.
#pragma once

#include <boost/asio/post.hpp>
#include <functional>
#include <future>
#include <string>
#include <thread>

#include "standin/fleet/event_loop.h"
#include "standin/fleet/store_server.h"

namespace ladderstream::fleet {

class StoreThread {
 public:
  StoreThread() : store_(&loop_, {}), thread_([this] { RunUntilStopped(); }) {}

  ~StoreThread() {
    Do([this] { stopped_ = true; });
    thread_.join();
  }

  Endpoint endpoint() const { return store_.endpoint(0); }

  /// Runs `action` on the store's thread and waits for it.
  void Do(const std::function<void()>& action) {
    std::promise<void> done;
    boost::asio::post(loop_.context(), [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  void SetFaults(const StoreFaults& faults) {
    Do([&] { store_.SetFaults(faults); });
  }

  /// As back ends and nodes write.
  void Put(const store::RowKey& key, const std::string& value) {
    Do([&] {
      TransactionResult result;
      store_.Transact({.conditions = {}, .puts = {{key, value}}, .removals = {}}, &result);
    });
  }

 private:
  void RunUntilStopped() {
    while (!stopped_) {
      loop_.RunUntil([this] { return stopped_; }, absl::Seconds(1));
    }
  }

  EventLoop loop_;
  StoreServer store_;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace ladderstream::fleet
