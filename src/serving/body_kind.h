#pragma once

#include "transport/asio.h"

namespace lacewinglock
{

/// What the head of a response says of its body.
enum class body_kind {
    Unknown, ///< No type is named.
    Events,
    Other,
};

body_kind bodyKind(const http::response_header<> &head);

}
