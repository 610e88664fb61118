#pragma once

#include <string>
#include <string_view>

namespace lacewinglock
{

/// Value of a query parameter of a request target without percent-decoding; empty when the parameter is missing.
std::string queryValue(std::string_view target, std::string_view name);

}
