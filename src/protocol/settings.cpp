#include "protocol/settings.h"

#include "protocol/addresses.h"
#include "protocol/errors.h"
#include "protocol/json_schema.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

template <typename T>
using member = T &(*)(daemon_settings &);

struct text_field
{
    member<std::string> target;
    std::size_t minLength = 0;
    std::string_view characters; ///< Allowed characters; empty means all.
};

struct address_field
{
    member<socket_address> target;
};

template <typename T>
struct number_field
{
    member<T> target;
    T min = 0;
    T max = 0;
};

struct field
{
    std::string_view pointer;
    bool required = false;
    std::variant<text_field, address_field, number_field<int>, number_field<std::uint32_t>> kind;
};

constexpr std::string_view idCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.";
constexpr std::string_view hexCharacters = "0123456789abcdef";

/// Accessor of a member, given as a pointer to it.
template <auto Member>
constexpr auto setting = [](daemon_settings &settings) -> auto &
{
    return settings.*Member;
};

template <auto Member>
constexpr auto tlsSetting = [](daemon_settings &settings) -> auto &
{
    return settings.tls.*Member;
};

/// All settings of a daemon.
constexpr std::array fields = {
    field{"/instance_id", true, text_field{setting<&daemon_settings::instanceId>, 1, idCharacters}},
    field{"/cell", false, text_field{setting<&daemon_settings::cell>, 1, idCharacters}},
    field{"/failure_domain", true, text_field{setting<&daemon_settings::failureDomain>, 1, idCharacters}},
    field{"/caller", true, address_field{setting<&daemon_settings::caller>}},
    field{"/peer", true, address_field{setting<&daemon_settings::peer>}},
    field{"/platform", true, address_field{setting<&daemon_settings::platform>}},
    field{"/cluster_secret", true, text_field{setting<&daemon_settings::clusterSecret>, 16, {}}},
    field{"/operator_token_hash", true, text_field{setting<&daemon_settings::operatorTokenHash>, 64, hexCharacters}},
    field{"/tls/certificate_file", false, text_field{tlsSetting<&tls_settings::certificateFile>, 1, {}}},
    field{"/tls/key_file", false, text_field{tlsSetting<&tls_settings::keyFile>, 1, {}}},
    field{"/caller_threads", false, number_field<int>{setting<&daemon_settings::callerThreads>, 1, 4096}},
    field{"/usage_window_seconds", false, number_field<std::uint32_t>{setting<&daemon_settings::usageWindowSeconds>, 1, 3600}},
    field{"/usage_grace_seconds", false, number_field<std::uint32_t>{setting<&daemon_settings::usageGraceSeconds>, 1, 3600}},
    field{"/decision_log", false, text_field{setting<&daemon_settings::decisionLog>, 0, {}}},
};

absl::Status wrong(std::string_view pointer, std::string_view message)
{
    return fieldError("check settings", pointer, message);
}

absl::Status readValue(const text_field &kind, std::string_view pointer, const json &value, daemon_settings &settings)
{
    if (!value.is_string()) {
        return wrong(pointer, "must be a string");
    }
    const std::string text = value;
    if (text.size() < kind.minLength) {
        return wrong(pointer, "must have at least " + std::to_string(kind.minLength) + " characters");
    }
    if (!kind.characters.empty() && text.find_first_not_of(kind.characters) != std::string::npos) {
        return wrong(pointer, "has a character other than " + std::string(kind.characters));
    }
    kind.target(settings) = text;
    return absl::OkStatus();
}

absl::Status readValue(const address_field &kind, std::string_view pointer, const json &value, daemon_settings &settings)
{
    if (!value.is_string()) {
        return wrong(pointer, "must be a string with IP:port");
    }
    auto address = parseSocketAddress(value.get<std::string>());
    if (!address.ok()) {
        return wrong(pointer, std::string(address.status().message()));
    }
    kind.target(settings) = *std::move(address);
    return absl::OkStatus();
}

template <typename T>
absl::Status readValue(const number_field<T> &kind, std::string_view pointer, const json &value, daemon_settings &settings)
{
    if (!value.is_number_integer()) {
        return wrong(pointer, "must be a whole number");
    }
    const bool tooLarge = value.is_number_unsigned() && std::cmp_greater(value.get<std::uint64_t>(), kind.max);
    if (tooLarge || value.get<std::int64_t>() < static_cast<std::int64_t>(kind.min)) {
        return wrong(pointer, "must be from " + std::to_string(kind.min) + " to " + std::to_string(kind.max));
    }
    kind.target(settings) = value.get<T>();
    return absl::OkStatus();
}

absl::Status readField(const field &entry, const json &document, daemon_settings &settings)
{
    const json::json_pointer pointer{std::string(entry.pointer)};
    if (!document.contains(pointer)) {
        return entry.required ? wrong(entry.pointer, "required field is missing") : absl::OkStatus();
    }
    return std::visit(
        [&](const auto &kind) {
            return readValue(kind, entry.pointer, document.at(pointer), settings);
        },
        entry.kind);
}

/// Fails on the first field that is not in the table. A nested object must itself be the start of a declared pointer.
absl::Status checkKnown(const json &node, const std::string &path)
{
    if (!node.is_object()) {
        return wrong(path, "must be an object");
    }
    for (const auto &[name, value] : node.items()) {
        std::string pointer = path;
        pointer.append("/").append(name);
        const bool known = std::ranges::find(fields, pointer, &field::pointer) != fields.end();
        const bool parent = std::ranges::any_of(fields, [&](const field &entry) {
            return entry.pointer.size() > pointer.size() && entry.pointer.starts_with(pointer) && entry.pointer[pointer.size()] == '/';
        });
        if (!known && !parent) {
            return wrong(pointer, "unknown field");
        }
        if (parent) {
            if (auto status = checkKnown(value, pointer); !status.ok()) {
                return status;
            }
        }
    }
    return absl::OkStatus();
}

absl::Status checkTogether(const daemon_settings &settings)
{
    if (settings.operatorTokenHash.size() != 64) {
        return wrong("/operator_token_hash", "must have 64 characters (SHA-256 in hex)");
    }
    if (settings.tls.certificateFile.empty() != settings.tls.keyFile.empty()) {
        return wrong("/tls", "certificate_file and key_file must be given together");
    }
    if (settings.usageGraceSeconds > settings.usageWindowSeconds) {
        return wrong("/usage_grace_seconds", "must not be longer than usage_window_seconds");
    }
    const auto same = [](const socket_address &left, const socket_address &right) {
        return left.host == right.host && left.port == right.port;
    };
    if (same(settings.caller, settings.peer)) {
        return wrong("/peer", "must differ from caller");
    }
    return absl::OkStatus();
}

}

absl::StatusOr<daemon_settings> parseSettings(const json &document)
{
    if (auto status = checkKnown(document, ""); !status.ok()) {
        return status;
    }
    daemon_settings settings;
    for (const field &entry : fields) {
        if (auto status = readField(entry, document, settings); !status.ok()) {
            return status;
        }
    }
    if (auto status = checkTogether(settings); !status.ok()) {
        return status;
    }
    return settings;
}

absl::StatusOr<daemon_settings> loadSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return makeError(absl::StatusCode::kNotFound, "read settings", "local", path + " cannot be opened");
    }
    json document;
    try {
        document = json::parse(file);
    } catch (const json::parse_error &error) {
        return makeError(absl::StatusCode::kInvalidArgument, "read settings", "local", path + ": " + error.what());
    }
    return parseSettings(document);
}

}
