// Stand-ins for the reviewers' scripts: the platform's store, back ends, callers, and the processes
// under test. Blocking sockets and one thread a connection; loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kBegin = Clock::now();

/// Seconds since the start of the program.
inline double Now() { return std::chrono::duration<double>(Clock::now() - kBegin).count(); }
inline void SleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// The case couldn't run: exit code 2.
[[noreturn]] inline void CannotRun(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::fflush(stderr);
  throw std::runtime_error(why);
}

/// What was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) CannotRun("no record " + path);
  }
  void Add(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.3f ", Now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

struct Address {
  std::string host;
  int port = 0;
  std::string Text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in ToSocket(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
  return result;
}

/// A port that is free on this address now.
inline int FreePort(const std::string& host) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = ToSocket({host, 0});
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    CannotRun("no free port on " + host);
  }
  close(fd);
  return ntohs(address.sin_port);
}

struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string Header(const char* name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name) == 0) return value;
    }
    return "";
  }
  /// Of an answer.
  int Status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string Word(int index) const {
    size_t at = 0;
    for (int i = 0; i < index; ++i) at = start.find(' ', at) + 1;
    return start.substr(at, start.find(' ', at) - at);
  }
};

/// One connection, with what was read ahead.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  bool Write(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t size = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) return false;
      sent += static_cast<size_t>(size);
    }
    return true;
  }
  /// One read of at most `most` bytes by `deadline`. Gives the size, 0 at an end in order, -1 at a
  /// reset, -2 at the deadline.
  ssize_t ReadSome(size_t most, double deadline) {
    std::vector<char> chunk(most);
    for (;;) {
      const double left = deadline - Now();
      if (left <= 0) return -2;
      pollfd wait{fd_, POLLIN, 0};
      if (poll(&wait, 1, static_cast<int>(std::min(left, 1e6) * 1000) + 1) <= 0) continue;
      const ssize_t size = recv(fd_, chunk.data(), most, 0);
      if (size > 0) buffer_.append(chunk.data(), static_cast<size_t>(size));
      return size < 0 ? -1 : size;
    }
  }
  /// A whole message with a length; false when the connection ends or at the deadline.
  bool Read(Message* message, double deadline) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (ReadSome(65536, deadline) <= 0) return false;
    }
    *message = Message();
    size_t at = buffer_.find("\r\n");
    message->start = buffer_.substr(0, at);
    while (at < end) {
      const size_t begin = at + 2;
      at = buffer_.find("\r\n", begin);
      const std::string line = buffer_.substr(begin, at - begin);
      const size_t colon = line.find(':');
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      if (colon != std::string::npos) message->headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    buffer_.erase(0, end + 4);
    const size_t length = std::strtoul(message->Header("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (ReadSome(65536, deadline) <= 0) return false;
    }
    message->body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }
  std::string& buffer() { return buffer_; }
  /// The peer has closed it, or bytes came that nobody asked for.
  bool Stale() const {
    char byte = 0;
    return !buffer_.empty() || recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
           (errno != EAGAIN && errno != EWOULDBLOCK);
  }

 private:
  int fd_;
  std::string buffer_;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// `prepare` sets options before the connection is made. Null when it doesn't come up in time.
inline ConnectionPtr Connect(const Address& to, double timeout,
                             const std::function<void(int)>& prepare = nullptr) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  if (prepare) prepare(fd);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const sockaddr_in address = ToSocket(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || poll(&wait, 1, static_cast<int>(timeout * 1000)) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(fd);
      return nullptr;
    }
  }
  fcntl(fd, F_SETFL, 0);
  return std::make_shared<Connection>(fd);
}

/// Accepts for ever; one thread a connection.
inline Address Serve(const std::string& host, std::function<void(Connection&)> handle) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = ToSocket({host, 0});
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 1024) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    CannotRun("cannot listen on " + host);
  }
  std::thread([fd, handle = std::move(handle)] {
    for (;;) {
      const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      std::thread([accepted, handle] {
        Connection connection(accepted);
        handle(connection);
      }).detach();
    }
  }).detach();
  return {host, ntohs(address.sin_port)};
}

inline std::string MakeAnswer(int status, const char* reason,
                              const std::vector<std::pair<std::string, std::string>>& headers,
                              const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Base64(const std::string& text) {
  static const char* signs = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  for (size_t at = 0; at < text.size(); at += 3) {
    uint32_t bits = 0;
    for (size_t i = 0; i < 3; ++i) {
      bits = bits << 8U | (at + i < text.size() ? static_cast<unsigned char>(text[at + i]) : 0U);
    }
    for (size_t i = 0; i < 4; ++i) {
      result += at + i > text.size() ? '=' : signs[bits >> (18 - 6 * i) & 63U];
    }
  }
  return result;
}

/// The platform's store (rows only), as PROTOCOL.md tells it.
class Store {
 public:
  void Start(const std::string& host) {
    address_ = Serve(host, [this](Connection& connection) {
      Message call;
      while (connection.Read(&call, Now() + 600)) {
        if (!connection.Write(Answer(call))) return;
      }
    });
  }
  const Address& address() const { return address_; }

  /// As the operator and the back ends write.
  void Put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    Change({table, "", key}, Base64(value), false, ++version_);
    changed_.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    Change({table, "", key}, "", true, ++version_);
    changed_.notify_all();
  }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    uint64_t version = 0;
  };
  struct Changed {
    Key key;
    std::string value;
    bool gone = false;
    uint64_t version = 0;
  };

  static Json ToJson(const Key& key, const std::string& value, uint64_t version) {
    return {{"table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"key", std::get<2>(key)},
            {"value", value}, {"ver", version}};
  }
  void Change(const Key& key, const std::string& value, bool gone, uint64_t version) {
    if (gone) {
      rows_.erase(key);
    } else {
      rows_[key] = {value, version};
    }
    changes_.push_back({key, value, gone, version});
  }
  static std::string Reply(int status, const Json& body) {
    return MakeAnswer(status, status == 200 ? "OK" : "Precondition Failed",
                      {{"Content-Type", "application/json"}}, body.dump());
  }
  static std::string Unescape(const std::string& text) {
    std::string result;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        result += text[i];
      }
    }
    return result;
  }

  std::string Answer(const Message& call) {
    SleepFor(0.003);
    const std::string target = call.Word(1);
    const size_t mark = target.find('?');
    const std::string path = target.substr(0, mark);
    std::map<std::string, std::string> query;
    for (size_t at = mark; at != std::string::npos && at < target.size();) {
      const size_t next = target.find('&', at + 1);
      const std::string part = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
      const size_t equals = part.find('=');
      query[part.substr(0, equals)] = equals == std::string::npos ? "" : Unescape(part.substr(equals + 1));
      at = next;
    }
    if (path == "/ladderstream/rows-tx") return Transact(Json::parse(call.body));
    if (path == "/ladderstream/rows-get") return Get(query);
    if (path == "/ladderstream/rows-feed") return Feed(query);
    return MakeAnswer(404, "Not Found", {}, "");
  }

  static Key KeyOf(const Json& entry) {
    return {entry.at("table").get<std::string>(), entry.value("part", ""),
            entry.at("key").get<std::string>()};
  }
  std::string Transact(const Json& call) {
    const std::lock_guard lock(mutex_);
    Json rows = Json::array();
    bool holds = true;
    for (const Json& condition : call.value("expected_rev", Json::array())) {
      const auto found = rows_.find(KeyOf(condition));
      holds = holds && (found == rows_.end() ? 0 : found->second.version) == condition.at("ver").get<uint64_t>();
      if (found != rows_.end()) rows.push_back(ToJson(found->first, found->second.value, found->second.version));
    }
    if (!holds) return Reply(412, {{"rows", rows}, {"ver", version_}, {"now_s", Now()}});
    ++version_;
    for (const Json& put : call.value("put", Json::array())) {
      Change(KeyOf(put), put.at("value").get<std::string>(), false, version_);
    }
    for (const Json& removed : call.value("remove", Json::array())) {
      Change(KeyOf(removed), "", true, version_);
    }
    changed_.notify_all();
    return Reply(200, {{"ver", version_}, {"now_s", Now()}});
  }
  std::string Get(std::map<std::string, std::string>& query) {
    const std::lock_guard lock(mutex_);
    const size_t limit = query.count("limit") > 0 ? std::stoul(query["limit"]) : 500;
    Json rows = Json::array();
    bool more = false;
    for (auto row = rows_.lower_bound({query["table"], query["part"], query["from_rev"]});
         row != rows_.end() && std::get<0>(row->first) == query["table"] &&
         std::get<1>(row->first) == query["part"];
         ++row) {
      if (rows.size() == limit) {
        more = true;
        break;
      }
      rows.push_back(ToJson(row->first, row->second.value, row->second.version));
    }
    return Reply(200, {{"rows", rows}, {"has_more", more}, {"ver", version_}, {"now_s", Now()}});
  }
  std::string Feed(std::map<std::string, std::string>& query) {
    std::unique_lock lock(mutex_);
    const uint64_t after = std::stoull(query["after"]);
    const double until = Now() + std::stod(query["wait_ms"]) / 1000;
    for (;;) {
      Json rows = Json::array();
      for (const Changed& change : changes_) {
        if (change.version <= after || std::get<0>(change.key) != query["table"]) continue;
        Json row = ToJson(change.key, change.value, change.version);
        if (change.gone) {
          row.erase("value");
          row["gone"] = true;
        }
        rows.push_back(std::move(row));
      }
      if (!rows.empty() || Now() >= until) {
        return Reply(200, {{"rows", rows}, {"ver", version_}, {"now_s", Now()}});
      }
      changed_.wait_for(lock, std::chrono::duration<double>(until - Now()));
    }
  }

  Address address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::vector<Changed> changes_;
  uint64_t version_ = 1;
};

/// The processes under test, started with the command of deploy/system.toml.
class Nodes {
 public:
  Nodes(std::string root, std::string folder) : root_(std::move(root)), folder_(std::move(folder)) {}
  ~Nodes() { KillAll(); }

  /// The settings of a small site of ours (raetselwald-gw), through the fields of the template.
  void Add(const std::string& zone, const Address& store) {
    const size_t number = nodes_.size() + 1;
    const std::string host = "127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + "." + std::to_string(number);
    Node node;
    node.name = "front-" + zone + "-" + std::to_string(number);
    node.zone = zone;
    node.callers = {host, FreePort(host)};
    node.readiness = {host, FreePort(host)};
    node.peers = {host, FreePort(host)};
    node.store = store;
    nodes_.push_back(node);
  }
  void StartAll() {
    for (Node& node : nodes_) Start(node);
  }
  const Address& callers(size_t index) const { return nodes_.at(index).callers; }
  const std::string& name(size_t index) const { return nodes_.at(index).name; }
  pid_t pid(size_t index) const { return nodes_.at(index).pid; }
  size_t size() const { return nodes_.size(); }
  bool Ready(size_t index) const {
    const ConnectionPtr connection = Connect(nodes_.at(index).readiness, 0.5);
    Message answer;
    return connection != nullptr &&
           connection->Write("GET /ladderstream/ready HTTP/1.1\r\nHost: entry\r\n\r\n") &&
           connection->Read(&answer, Now() + 0.5) && answer.Status() == 200;
  }
  void AwaitReady(double deadline) const {
    for (size_t i = 0; i < nodes_.size();) {
      if (Ready(i)) {
        ++i;
      } else if (Now() > deadline) {
        CannotRun("a node isn't ready");
      } else {
        SleepFor(0.1);
      }
    }
  }
  /// As the platform does: each second a question to every node, for as long as the program runs.
  void AskEachSecond() const {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      std::thread([this, i] {
        for (;; SleepFor(1)) Ready(i);
      }).detach();
    }
  }
  void Signal(size_t index, int number) const { kill(nodes_.at(index).pid, number); }
  /// Gives the exit status once the process has ended; -1 at the deadline.
  int AwaitEnd(size_t index, double deadline) {
    Node& node = nodes_.at(index);
    while (Now() < deadline) {
      int status = 0;
      if (node.pid > 0 && waitpid(node.pid, &status, WNOHANG) == node.pid) {
        node.pid = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      }
      SleepFor(0.005);
    }
    return -1;
  }
  bool Running(size_t index) const {
    const pid_t pid = nodes_.at(index).pid;
    return pid > 0 && waitpid(pid, nullptr, WNOHANG) == 0;
  }
  void KillAll() {
    for (Node& node : nodes_) {
      if (node.pid > 0) {
        kill(node.pid, SIGKILL);
        kill(node.pid, SIGCONT);
        waitpid(node.pid, nullptr, 0);
        node.pid = -1;
      }
    }
  }
  void Start(size_t index) { Start(nodes_.at(index)); }

 private:
  struct Node {
    std::string name;
    std::string zone;
    Address callers;
    Address readiness;
    Address peers;
    Address store;
    pid_t pid = -1;
  };

  void Start(Node& node) {
    const std::string path = folder_ + "/" + node.name + ".toml";
    std::FILE* file = std::fopen(path.c_str(), "w");
    if (file == nullptr) CannotRun("no settings file");
    std::string seeds;
    for (size_t i = 0; i < std::min<size_t>(nodes_.size(), 3); ++i) {
      seeds += (i > 0 ? "," : "") + std::string("\"") + nodes_[i].peers.Text() + "\"";
    }
    std::fprintf(file,
                 "[node]\nname = \"%s\"\nzone = \"%s\"\nregion = \"tirol\"\n\n"
                 "[listen]\ncallers = \"%s\"\nreadiness = \"%s\"\npeers = \"%s\"\n"
                 "metrics = \"%s:9464\"\n\n[membership]\nseeds = [%s]\n\n"
                 "[limits]\ncpu_share = 0.2\nmemory_mb = 260\ndescriptors = 4100\n"
                 "link_mbps = 1000.0\n\n[store]\naddress = \"%s\"\nwrites_per_second = 400\n"
                 "reads_per_second = 2000\npartition_writes_per_second = 300\n"
                 "transaction_time = \"0.003s\"\nrow_bytes = 65536\n\n[bounds]\n"
                 "drain_time = \"2s\"\nconfiguration_time = \"2s\"\nstop_grace = \"6s\"\n"
                 "maximum_hold = \"10s\"\nretry_budget_ratio = 0.2\nretry_budget_slack = 62\n"
                 "retry_budget_window = \"10s\"\n",
                 node.name.c_str(), node.zone.c_str(), node.callers.Text().c_str(),
                 node.readiness.Text().c_str(), node.peers.Text().c_str(),
                 node.callers.host.c_str(), seeds.c_str(), node.store.Text().c_str());
    std::fclose(file);
    const std::string log = folder_ + "/" + node.name + ".log";
    const std::string program = root_ + "/target/bin/ladderstream_node";
    if (access(program.c_str(), X_OK) != 0) CannotRun("target/bin/ladderstream_node isn't built");
    const pid_t parent = getpid();
    node.pid = fork();
    if (node.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(127);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      if (chdir(root_.c_str()) != 0) _exit(127);
      setenv("LADDERSTREAM_BOOT", path.c_str(), 1);
      execl(program.c_str(), "target/bin/ladderstream_node", "--settings_from=LADDERSTREAM_BOOT",
            static_cast<char*>(nullptr));
      _exit(127);
    }
  }

  std::string root_;
  std::string folder_;
  std::vector<Node> nodes_;
};

inline bool WithTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

inline std::string RandomId(std::mt19937_64& random) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

}  // namespace review
