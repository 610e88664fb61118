#include "transport/guarded_post.h"

#include <httplib.h>

namespace lacewinglock
{

namespace
{

constexpr auto answerTimeout = std::chrono::seconds(5); // Orders that load a model are acknowledged before the work is done.

}

post_result guardedPost(const std::string &host,
                        int port,
                        const std::string &path,
                        const std::string &body,
                        std::chrono::milliseconds deadline,
                        const std::function<bool()> &mayWrite)
{
    httplib::Client client(host, port);
    client.set_keep_alive(false);
    client.set_connection_timeout(deadline);
    client.set_write_timeout(deadline);
    client.set_read_timeout(answerTimeout);
    // The one write of the body happens after `mayWrite`; a short body makes the receiver drop the request.
    bool bodyStarted = false;
    const auto provide = [&](std::size_t offset, std::size_t length, httplib::DataSink &sink) {
        if (offset == 0 && !mayWrite()) {
            return false;
        }
        bodyStarted = true;
        return sink.write(body.data() + offset, length);
    };
    const auto answer = client.Post(path, httplib::Headers(), body.size(), provide, "application/json");
    if (answer) {
        return {.progress = post_progress::Answered, .status = answer->status, .body = answer->body};
    }
    return {.progress = bodyStarted ? post_progress::Unknown : post_progress::NotSent};
}

}
