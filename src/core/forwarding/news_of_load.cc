#include <absl/container/flat_hash_set.h>

#include "core/forwarding/dispatcher_impl.h"

namespace ladderstream::forwarding {

void Dispatcher::Impl::PassOn(const BackendState& backend, const catalog::ToldLoad& told,
                              Time now) {
  if (told.slots > 0) {
    news_collector_.OnTold({load::HashOf(backend.registration), backend.load.told(), now});
  }
}

void Dispatcher::Impl::OnLoadNews(const std::vector<load::LoadNews>& news, Time now) {
  absl::flat_hash_set<std::string> services;
  for (const load::LoadNews& one : news) {
    const BackendStatePtr backend = TakeNews(one, now);
    if (backend != nullptr) {
      services.insert(backend->registration.service);
    }
  }
  for (const std::string& service : services) {
    DispatchWaiting(services_.Service(service), now);
  }
}

BackendStatePtr Dispatcher::Impl::TakeNews(const load::LoadNews& news, Time now) {
  if (now - news.told_at >= load::kLoadNewsLifetime) {
    ++news_counts_.too_old;
    return nullptr;
  }
  BackendStatePtr backend = services_.FindByHash(news.backend);
  if (backend == nullptr) {
    ++news_counts_.unknown;
    return nullptr;
  }
  news_collector_.OnHeard(news);
  if (!backend->load.OnNews(news.told, news.told_at, now)) {
    ++news_counts_.not_newer;
    return nullptr;
  }
  ++news_counts_.used;
  return backend;
}

}  // namespace ladderstream::forwarding
