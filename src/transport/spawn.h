#pragma once

#include "transport/asio.h"

#include <string>

namespace lacewinglock
{

/// Runs a coroutine without which the process must not go on. When it ends by an exception, the error is logged under `name`, and the run() of the
/// event loop that is in progress throws the exception.
void spawnDuty(asio::io_context &loop, task<void> duty, std::string name);

/// Runs a coroutine that the process can do without. An exception is logged under `name`.
void spawnBackground(asio::io_context &loop, task<void> work, std::string name);

}
