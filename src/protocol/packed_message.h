#pragma once

#include <absl/status/status.h>
#include <capnp/message.h>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// Serialises a Cap'n Proto message in the packed encoding.
std::string packMessage(capnp::MessageBuilder &message);

/// Decodes a packed message from an untrusted sender and passes it to `read`. A kj::Exception from the decoder or from `read` becomes InvalidArgument,
/// with `errorPrefix` before its description. `maxWords` limits the words that are traversed, so that a hostile message can't exhaust processor or memory.
absl::Status
unpackMessage(std::string_view bytes, std::string_view errorPrefix, std::uint64_t maxWords, const std::function<void(capnp::MessageReader &)> &read);

}
