#pragma once

#include "transport/core_time.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace lacewinglock
{

/// The requests that this daemon has refused lately, by fingerprint, with the time after which they may come again. Bounded.
class refused_requests
{
public:
    void note(std::string_view fingerprint, instant mayReturnAt, instant now);
    /// Whether the request was refused before and has waited for as long as it was told.
    bool hasReturned(const std::string &fingerprint, instant now) const;

private:
    std::unordered_map<std::string, instant> m_mayReturnAt;
};

}
