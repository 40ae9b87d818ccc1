#include "standin/processes/ports.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <set>

#include "wire/result_code.h"

namespace ladderstream::standin {
namespace {

constexpr char kLoopback[] = "127.0.0.1";
constexpr uint16_t kLowestPort = 12000;
// Linux numbers outgoing connections from 32768 on.
constexpr uint16_t kHighestPort = 32000;
constexpr int kMaxTries = 10000;

/// Binds a socket of the type to the loopback port; negative when that is not possible.
int BindLoopback(int type, uint16_t port) {
  const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return descriptor;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, kLoopback, &address.sin_addr);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

/// Whether a server could listen on the port now.
bool CanListen(uint16_t port) {
  const int descriptor = BindLoopback(SOCK_STREAM, port);
  if (descriptor < 0) {
    return false;
  }
  close(descriptor);
  return true;
}

/// Keeps the port from other test programs on this machine for as long as this process lives:
/// between the choice of a port and the moment its server listens, another might choose it as well.
/// UDP ports are apart from the TCP ports that the servers use.
bool Reserve(uint16_t port) { return BindLoopback(SOCK_DGRAM, port) >= 0; }

class PortAllocator {
 public:
  uint16_t Take() {
    const absl::MutexLock lock(&mutex_);
    for (int i = 0; i < kMaxTries; ++i) {
      const uint16_t port = distribution_(random_);
      if (!taken_.contains(port) && CanListen(port) && Reserve(port)) {
        taken_.insert(port);
        return port;
      }
    }
    throw Error(ResultCode::kInternal, "no free port");
  }

 private:
  absl::Mutex mutex_;
  std::mt19937 random_ ABSL_GUARDED_BY(mutex_){std::random_device()()};
  std::uniform_int_distribution<uint16_t> distribution_ ABSL_GUARDED_BY(mutex_){kLowestPort,
                                                                                kHighestPort};
  std::set<uint16_t> taken_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace

uint16_t FreePort() {
  static PortAllocator allocator;
  return allocator.Take();
}

Endpoint FreeEndpoint() { return Endpoint{.host = kLoopback, .port = FreePort()}; }

bool WaitUntil(const std::function<bool()>& condition, absl::Duration timeout,
               absl::Duration interval) {
  const absl::Time deadline = absl::Now() + timeout;
  while (!condition()) {
    if (absl::Now() >= deadline) {
      return false;
    }
    absl::SleepFor(interval);
  }
  return true;
}

bool HttpAnswers(const Endpoint& endpoint, const std::string& path) {
  httplib::Client client(endpoint.host, endpoint.port);
  client.set_connection_timeout(std::chrono::milliseconds(500));
  client.set_read_timeout(std::chrono::milliseconds(500));
  const auto result = client.Get(path);
  constexpr int kStatusClass = 100;
  return result && result->status / kStatusClass == 2;
}

}  // namespace ladderstream::standin
