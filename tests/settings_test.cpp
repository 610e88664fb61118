#include "protocol/settings.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

json validSettings()
{
    return {
        {"instance_id", "i1"},
        {"failure_domain", "d1"},
        {"caller", "127.0.0.1:8001"},
        {"peer", "127.0.0.1:8101"},
        {"platform", "127.0.0.1:9000"},
        {"cluster_secret", "0123456789abcdef"},
        {"operator_token_hash", std::string(64, 'a')},
    };
}

struct invalid_settings_case
{
    const char *name;
    const char *patch;
    const char *path;
};

const invalid_settings_case invalidSettings[] = {
    {"unknown_field", R"({"callers": 1})", "/callers: unknown field"},
    {"unknown_nested_field", R"({"tls": {"cert": "x"}})", "/tls/cert: unknown field"},
    {"missing_field", R"({"instance_id": null})", "/instance_id"},
    {"wrong_type", R"({"instance_id": 5})", "/instance_id"},
    {"string_for_number", R"({"caller_threads": "8"})", "/caller_threads"},
    {"fraction", R"({"caller_threads": 1.5})", "/caller_threads"},
    {"negative", R"({"caller_threads": -1})", "/caller_threads"},
    {"too_many_threads", R"({"caller_threads": 18446744073709551615})", "/caller_threads"},
    {"host_name", R"({"platform": "platform:80"})", "/platform"},
    {"short_secret", R"({"cluster_secret": "short"})", "/cluster_secret"},
    {"hash_not_hex", R"({"operator_token_hash": "xyz"})", "/operator_token_hash"},
    {"certificate_alone", R"({"tls": {"certificate_file": "c.pem"}})", "/tls"},
    {"key_alone", R"({"tls": {"key_file": "k.pem"}})", "/tls"},
    {"tls_not_an_object", R"({"tls": true})", "/tls"},
    {"grace_over_window", R"({"usage_window_seconds": 5})", "/usage_grace_seconds"},
    {"same_address", R"({"peer": "127.0.0.1:8001"})", "/peer"},
    {"not_an_object", R"([])", "/"},
};

class settings_checks : public testing::TestWithParam<invalid_settings_case>
{
};

}

// Guards against an invalid setting that is detected only when the daemon uses it, and against errors that report a different field.
TEST_P(settings_checks, reject_and_name_the_field)
{
    json document = validSettings();
    document.merge_patch(json::parse(GetParam().patch));
    const auto result = parseSettings(document);
    ASSERT_FALSE(result.ok());
    EXPECT_NE(std::string(result.status().message()).find(std::string(": ") + GetParam().path), std::string::npos) << result.status();
}

INSTANTIATE_TEST_SUITE_P(table, settings_checks, testing::ValuesIn(invalidSettings), [](const auto &each) {
    return std::string(each.param.name);
});

// Guards against values that are stored in the wrong setting.
TEST(settings, reads_valid_settings)
{
    const auto result = parseSettings(validSettings());
    ASSERT_TRUE(result.ok()) << result.status();
    EXPECT_EQ(result->peer.port, 8101);
    EXPECT_EQ(result->cell, "main");
}

}
