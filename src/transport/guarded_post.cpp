#include "transport/guarded_post.h"

#include <httplib.h>

namespace lacewinglock
{

namespace
{

constexpr auto responseTimeout = std::chrono::seconds(5); // Also enough for orders that load a model: they are acknowledged before the model is loaded.

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
    client.set_read_timeout(responseTimeout);
    // No byte of the body is written before `mayWrite` returns true. A receiver discards a request whose body is incomplete.
    bool bodyStarted = false;
    const auto provide = [&](std::size_t offset, std::size_t length, httplib::DataSink &sink) {
        if (offset == 0 && !mayWrite()) {
            return false;
        }
        bodyStarted = true;
        return sink.write(body.data() + offset, length);
    };
    const auto response = client.Post(path, httplib::Headers(), body.size(), provide, "application/json");
    if (response) {
        return {.progress = post_progress::Answered, .status = response->status, .body = response->body};
    }
    return {.progress = bodyStarted ? post_progress::Unknown : post_progress::NotSent};
}

}
