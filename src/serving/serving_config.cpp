#include "serving/serving_config.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace lacewinglock
{

void indexRoutes(serving_configuration &configuration)
{
    configuration.routesByHost.clear();
    for (std::size_t i = 0; i < configuration.routes.size(); ++i) {
        configuration.routesByHost[absl::AsciiStrToLower(configuration.routes[i].host)].push_back(i);
    }
    for (auto &[host, indices] : configuration.routesByHost) {
        std::ranges::stable_sort(indices, [&](std::size_t a, std::size_t b) {
            return configuration.routes[a].pathPrefix.size() > configuration.routes[b].pathPrefix.size();
        });
    }
}

const serving_route *findRoute(const serving_configuration &configuration, std::string_view host, std::string_view path)
{
    if (const auto colon = host.find(':'); colon != std::string_view::npos) {
        host = host.substr(0, colon);
    }
    const auto found = configuration.routesByHost.find(absl::AsciiStrToLower(std::string(host)));
    if (found == configuration.routesByHost.end()) {
        return nullptr;
    }
    const auto longest = std::ranges::find_if(found->second, [&](std::size_t index) {
        return path.starts_with(configuration.routes[index].pathPrefix);
    });
    return longest == found->second.end() ? nullptr : &configuration.routes[*longest];
}

std::string_view pickService(const serving_route &route, double uniform)
{
    double total = 0;
    for (const auto &[service, weight] : route.services) {
        total += weight;
    }
    double remaining = uniform * total;
    for (const auto &[service, weight] : route.services) {
        remaining -= weight;
        if (remaining < 0 && weight > 0) {
            return service;
        }
    }
    return route.services.empty() ? std::string_view() : std::string_view(route.services.back().service);
}

}
