#pragma once

#include <absl/status/status.h>
#include <capnp/message.h>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// A Cap'n Proto message as bytes, packed.
std::string packMessage(capnp::MessageBuilder &message);

/// Reads bytes that may come from anyone. `name` is what they should be, for the error; `maxWords` bounds what a hostile message makes us read.
absl::Status unpackMessage(std::string_view bytes, std::string_view name, std::uint64_t maxWords, const std::function<void(capnp::MessageReader &)> &read);

}
