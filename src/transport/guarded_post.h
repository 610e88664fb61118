#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace lacewinglock
{

/// Outcome of a POST with regard to whether the receiver may have acted on it.
enum class post_progress {
    NotSent, ///< The receiver can not have received the whole request.
    Answered,
    Unknown, ///< The body was sent at least partly, but no response arrived.
};

struct post_result
{
    post_progress progress = post_progress::NotSent;
    int status = 0;
    std::string body;
};

/// Sends a JSON POST on a new connection. `mayWrite` is called after the header was sent, right before the body, for example to check that a
/// lease is still valid. When it returns false, the connection is closed and the receiver gets an incomplete request. `deadline` limits connecting
/// and writing separately.
post_result guardedPost(const std::string &host,
                        int port,
                        const std::string &path,
                        const std::string &body,
                        std::chrono::milliseconds deadline,
                        const std::function<bool()> &mayWrite);

}
