#include "transport/url_query.h"

#include <algorithm>

namespace lacewinglock
{

std::string queryValue(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    std::string_view rest = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        if (const auto equals = pair.find('='); equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return std::string(pair.substr(equals + 1));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

}
