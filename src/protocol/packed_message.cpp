#include "protocol/packed_message.h"

#include <absl/strings/str_cat.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace lacewinglock
{

std::string packMessage(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

absl::Status
unpackMessage(std::string_view bytes, std::string_view errorPrefix, std::uint64_t maxWords, const std::function<void(capnp::MessageReader &)> &read)
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader message(in, capnp::ReaderOptions{.traversalLimitInWords = maxWords});
        read(message);
        return absl::OkStatus();
    } catch (const kj::Exception &error) {
        return absl::InvalidArgumentError(absl::StrCat(std::string(errorPrefix), ": ", error.getDescription().cStr()));
    }
}

}
