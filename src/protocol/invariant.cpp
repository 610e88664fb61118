#include "protocol/invariant.h"

#include <glog/logging.h>
#include <mutex>
#include <utility>

namespace lacewinglock
{

namespace
{

std::mutex handlerMutex;

invariant_handler &currentHandler()
{
    static invariant_handler handler = [](invariant which, std::string_view detail) {
        LOG(FATAL) << "invariant " << static_cast<int>(which) << " violated: " << detail;
    };
    return handler;
}

}

invariant_handler setInvariantHandler(invariant_handler handler)
{
    const std::lock_guard lock(handlerMutex);
    return std::exchange(currentHandler(), std::move(handler));
}

void checkInvariant(bool holds, invariant which, std::string_view detail)
{
    if (holds) {
        return;
    }
    invariant_handler handler;
    {
        const std::lock_guard lock(handlerMutex);
        handler = currentHandler();
    }
    handler(which, detail);
}

}
