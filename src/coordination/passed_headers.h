#pragma once

#include <httplib.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewinglock
{

/// Headers of a caller's request that its endpoint gets: end-to-end ones, without keys and those that the daemon sets itself.
httplib::Headers passedToEndpoint(const httplib::Headers &headers);

/// Headers of a service's answer that its caller gets beside the content type: end-to-end ones, without cookies and those that the daemon
/// sets itself.
std::vector<std::pair<std::string, std::string>> passedToCaller(const httplib::Headers &headers);

/// The text contains a control character other than a tab, so it may not stand in a header.
bool hasControlCharacter(std::string_view text);

/// ASCII lower case.
std::string lower(const std::string &text);

}
