#include "standin/fault_proxy/control_server.h"

#include <absl/strings/str_cat.h>

#include <exception>
#include <stdexcept>

namespace ladderstream::standin {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr char kPath[] = "/control";

Endpoint ReadListen(const std::string& text) {
  constexpr std::string_view kAnyPort = ":0";
  if (text.ends_with(kAnyPort)) {
    return Endpoint{text.substr(0, text.size() - kAnyPort.size()), 0};
  }
  return ParseEndpoint(text);
}

}  // namespace

ControlServer::ControlServer(const Endpoint& listen, FaultProxy* proxy) : proxy_(proxy) {
  server_.Get(kPath, [this](const httplib::Request&, httplib::Response& response) {
    AnswerJson(Describe(), kOk, response);
  });
  server_.Post(kPath, [this](const httplib::Request& request, httplib::Response& response) {
    try {
      Control(nlohmann::json::parse(request.body));
      AnswerJson(Describe(), kOk, response);
    } catch (const std::exception& error) {
      AnswerJson({{"error", error.what()}}, kBadRequest, response);
    }
  });
  server_.Start(listen);
}

void ControlServer::Control(const nlohmann::json& change) {
  if (change.contains("add")) {
    const nlohmann::json& add = change.at("add");
    proxy_->AddLink({add.at("name").get<std::string>(),
                     ReadListen(add.at("listen").get<std::string>()),
                     ParseEndpoint(add.at("target").get<std::string>())});
  }
  if (change.contains("faults")) {
    const auto link = change.at("link").get<std::string>();
    if (proxy_->SetFaults(link, change.value("from", ""), ReadFaults(change.at("faults"))) == 0) {
      throw std::invalid_argument(absl::StrCat("no link's name starts with \"", link, "\""));
    }
  }
}

nlohmann::json ControlServer::Describe() {
  nlohmann::json links = nlohmann::json::array();
  for (const LinkSettings& link : proxy_->links()) {
    links.push_back({{"name", link.name},
                     {"listen", FormatEndpoint(link.listen)},
                     {"target", FormatEndpoint(link.target)}});
  }
  return {{"links", links}};
}

}  // namespace ladderstream::standin
