#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace lacewinglock
{

/// How far a request got.
enum class post_progress {
    NotSent, ///< The receiver can't have seen a whole request.
    Answered,
    Unknown, ///< Sent, but no answer came.
};

struct post_result
{
    post_progress progress = post_progress::NotSent;
    int status = 0;
    std::string body;
};

/// POSTs JSON on a fresh connection. `mayWrite` is asked after the connection is open and the header is out, right before the
/// body; when it refuses, the connection is closed and the request stays incomplete. `deadline` bounds connecting and writing.
post_result guardedPost(const std::string &host,
                        int port,
                        const std::string &path,
                        const std::string &body,
                        std::chrono::milliseconds deadline,
                        const std::function<bool()> &mayWrite);

}
