#include "serving/body_kind.h"

namespace lacewinglock
{

body_kind bodyKind(const http::response_header<> &head)
{
    const auto type = toView(head[http::field::content_type]);
    if (type.empty()) {
        return body_kind::Unknown;
    }
    return type.starts_with("text/event-stream") ? body_kind::Events : body_kind::Other;
}

}
