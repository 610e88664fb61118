#include "transport/spawn.h"

#include <exception>
#include <glog/logging.h>

namespace lacewinglock
{

namespace
{

void logFailure(const std::string &name, const std::exception_ptr &failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        LOG(ERROR) << name << " failed: " << error.what();
    } catch (...) {
        LOG(ERROR) << name << " failed with an exception of an unknown type";
    }
}

}

void spawnDuty(asio::io_context &loop, task<void> duty, std::string name)
{
    asio::co_spawn(loop, std::move(duty), [name = std::move(name)](const std::exception_ptr &failure) {
        if (failure) {
            logFailure(name, failure);
            std::rethrow_exception(failure);
        }
    });
}

void spawnBackground(asio::io_context &loop, task<void> work, std::string name)
{
    asio::co_spawn(loop, std::move(work), [name = std::move(name)](const std::exception_ptr &failure) {
        if (failure) {
            logFailure(name, failure);
        }
    });
}

}
