#pragma once

#include <httplib.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewinglock
{

/// Headers of a caller's request that are forwarded to the endpoint: end-to-end headers without credentials, cookies and headers that the
/// daemon sets itself.
httplib::Headers forwardedRequestHeaders(const httplib::Headers &headers);

/// Headers of a service's response that are forwarded to the caller: end-to-end headers without cookies, Content-Type and headers that the
/// daemon sets itself.
std::vector<std::pair<std::string, std::string>> forwardedResponseHeaders(const httplib::Headers &headers);

/// True if the text contains a control character other than a tab, which makes it invalid as a header value.
bool hasControlCharacter(std::string_view text);

/// Converts ASCII letters to lower case; other bytes are unchanged.
std::string toLowerAscii(const std::string &text);

}
