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
using accessor = T &(*)(daemon_settings &);

struct text_field
{
    accessor<std::string> target;
    std::size_t minLength = 0;
    std::string_view allowedCharacters; ///< Empty means all.
};

struct address_field
{
    accessor<socket_address> target;
};

template <typename T>
struct number_field
{
    accessor<T> target;
    T min = 0;
    T max = 0;
};

struct setting_field
{
    std::string_view pointer;
    bool required = false;
    std::variant<text_field, address_field, number_field<int>, number_field<std::uint32_t>> kind;
};

constexpr std::string_view idCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.";
constexpr std::string_view hexCharacters = "0123456789abcdef";

/// Function that returns a reference to the given member; unlike member pointers it also covers members of nested structs.
template <auto Member>
constexpr auto memberAccessor = [](daemon_settings &settings) -> auto &
{
    return settings.*Member;
};

template <auto Member>
constexpr auto tlsMemberAccessor = [](daemon_settings &settings) -> auto &
{
    return settings.tls.*Member;
};

/// All settings of a daemon with their limits.
constexpr std::array fields = {
    setting_field{"/instance_id", true, text_field{memberAccessor<&daemon_settings::instanceId>, 1, idCharacters}},
    setting_field{"/cell", false, text_field{memberAccessor<&daemon_settings::cell>, 1, idCharacters}},
    setting_field{"/failure_domain", true, text_field{memberAccessor<&daemon_settings::failureDomain>, 1, idCharacters}},
    setting_field{"/caller", true, address_field{memberAccessor<&daemon_settings::caller>}},
    setting_field{"/peer", true, address_field{memberAccessor<&daemon_settings::peer>}},
    setting_field{"/platform", true, address_field{memberAccessor<&daemon_settings::platform>}},
    setting_field{"/cluster_secret", true, text_field{memberAccessor<&daemon_settings::clusterSecret>, 16, {}}},
    setting_field{"/operator_token_hash", true, text_field{memberAccessor<&daemon_settings::operatorTokenHash>, 64, hexCharacters}},
    setting_field{"/tls/certificate_file", false, text_field{tlsMemberAccessor<&tls_settings::certificateFile>, 1, {}}},
    setting_field{"/tls/key_file", false, text_field{tlsMemberAccessor<&tls_settings::keyFile>, 1, {}}},
    setting_field{"/caller_threads", false, number_field<int>{memberAccessor<&daemon_settings::callerThreads>, 1, 4096}},
    setting_field{"/usage_window_seconds", false, number_field<std::uint32_t>{memberAccessor<&daemon_settings::usageWindowSeconds>, 1, 3600}},
    setting_field{"/usage_grace_seconds", false, number_field<std::uint32_t>{memberAccessor<&daemon_settings::usageGraceSeconds>, 1, 3600}},
    setting_field{"/decision_log", false, text_field{memberAccessor<&daemon_settings::decisionLog>, 0, {}}},
};

absl::Status invalidSetting(std::string_view pointer, std::string_view message)
{
    return fieldError("check settings", pointer, message);
}

absl::Status readValue(const text_field &kind, std::string_view pointer, const json &value, daemon_settings &settings)
{
    if (!value.is_string()) {
        return invalidSetting(pointer, "must be a string");
    }
    const std::string text = value;
    if (text.size() < kind.minLength) {
        return invalidSetting(pointer, "must have at least " + std::to_string(kind.minLength) + " characters");
    }
    if (!kind.allowedCharacters.empty() && text.find_first_not_of(kind.allowedCharacters) != std::string::npos) {
        return invalidSetting(pointer, "contains a character other than " + std::string(kind.allowedCharacters));
    }
    kind.target(settings) = text;
    return absl::OkStatus();
}

absl::Status readValue(const address_field &kind, std::string_view pointer, const json &value, daemon_settings &settings)
{
    if (!value.is_string()) {
        return invalidSetting(pointer, "must be a string of the form IP:port");
    }
    auto address = parseSocketAddress(value.get<std::string>());
    if (!address.ok()) {
        return invalidSetting(pointer, std::string(address.status().message()));
    }
    kind.target(settings) = *std::move(address);
    return absl::OkStatus();
}

template <typename T>
absl::Status readValue(const number_field<T> &kind, std::string_view pointer, const json &value, daemon_settings &settings)
{
    if (!value.is_number_integer()) {
        return invalidSetting(pointer, "must be an integer");
    }
    const bool tooLarge = value.is_number_unsigned() && std::cmp_greater(value.get<std::uint64_t>(), kind.max);
    if (tooLarge || value.get<std::int64_t>() < static_cast<std::int64_t>(kind.min)) {
        return invalidSetting(pointer, "must be from " + std::to_string(kind.min) + " to " + std::to_string(kind.max));
    }
    kind.target(settings) = value.get<T>();
    return absl::OkStatus();
}

absl::Status readField(const setting_field &entry, const json &document, daemon_settings &settings)
{
    const json::json_pointer pointer{std::string(entry.pointer)};
    if (!document.contains(pointer)) {
        return entry.required ? invalidSetting(entry.pointer, "required field is missing") : absl::OkStatus();
    }
    return std::visit(
        [&](const auto &kind) {
            return readValue(kind, entry.pointer, document.at(pointer), settings);
        },
        entry.kind);
}

/// Fails on the first field that is not in `fields`. An object is allowed where a pointer in `fields` goes through it.
absl::Status checkUnknownFields(const json &node, const std::string &path)
{
    if (!node.is_object()) {
        return invalidSetting(path, "must be an object");
    }
    for (const auto &[name, value] : node.items()) {
        std::string pointer = path;
        pointer.append("/").append(name);
        const bool isSetting = std::ranges::find(fields, pointer, &setting_field::pointer) != fields.end();
        const bool isParent = std::ranges::any_of(fields, [&](const setting_field &entry) {
            return entry.pointer.size() > pointer.size() && entry.pointer.starts_with(pointer) && entry.pointer[pointer.size()] == '/';
        });
        if (!isSetting && !isParent) {
            return invalidSetting(pointer, "unknown field");
        }
        if (isParent) {
            if (auto status = checkUnknownFields(value, pointer); !status.ok()) {
                return status;
            }
        }
    }
    return absl::OkStatus();
}

absl::Status checkCombinations(const daemon_settings &settings)
{
    if (settings.operatorTokenHash.size() != 64) {
        return invalidSetting("/operator_token_hash", "must have 64 characters (SHA-256 in hex)");
    }
    if (settings.tls.certificateFile.empty() != settings.tls.keyFile.empty()) {
        return invalidSetting("/tls", "certificate_file and key_file must be given together");
    }
    if (settings.usageGraceSeconds > settings.usageWindowSeconds) {
        return invalidSetting("/usage_grace_seconds", "must not be longer than usage_window_seconds");
    }
    const auto isSame = [](const socket_address &left, const socket_address &right) {
        return left.host == right.host && left.port == right.port;
    };
    if (isSame(settings.caller, settings.peer)) {
        return invalidSetting("/peer", "must differ from caller");
    }
    return absl::OkStatus();
}

}

absl::StatusOr<daemon_settings> parseSettings(const json &document)
{
    if (auto status = checkUnknownFields(document, ""); !status.ok()) {
        return status;
    }
    daemon_settings settings;
    for (const setting_field &entry : fields) {
        if (auto status = readField(entry, document, settings); !status.ok()) {
            return status;
        }
    }
    if (auto status = checkCombinations(settings); !status.ok()) {
        return status;
    }
    return settings;
}

absl::StatusOr<daemon_settings> loadSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return makeError(absl::StatusCode::kNotFound, "read settings", "local", path + ": cannot open the file");
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
