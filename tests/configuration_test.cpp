#include "protocol/api_keys.h"
#include "protocol/configuration.h"

#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

const json validDocument = json::parse(R"({
  "failure_domains": ["d1", "d2"],
  "organisations": {"north": {"weight": 2, "limits": {"tokens_per_second": 100, "concurrent_requests": 4}}},
  "keys": {"k1": {"organisation": "north", "salt": "00ff", "hash": "0000000000000000000000000000000000000000000000000000000000000000"}},
  "groups": {"readers": {"kind": "model", "model": "chassis-reader", "min_endpoints": 1, "max_endpoints": 4}, "desks": {"kind": "service"}},
  "endpoints": {"e1": {"group": "readers", "address": "127.0.0.1:20001", "failure_domain": "d1"},
                "s1": {"group": "desks", "address": "[::1]:20101", "failure_domain": "d2"}},
  "routes": {"read": {"kind": "model", "group": "readers", "model": "chassis-reader"},
             "book": {"kind": "service", "group": "desks", "path_prefix": "/bookings", "methods": ["POST"], "repeatable": false}},
  "cells": {"main": {"failure_domains": ["d1", "d2"]}}
})");

struct invalid_document_case
{
    const char *name;
    const char *patch; ///< Merge patch that makes the valid document invalid.
    const char *path; ///< The error must contain this JSON pointer.
};

const invalid_document_case invalidDocuments[] = {
    {"unknown_section", R"({"routers": {}})", "/routers: unknown field"},
    {"unknown_field", R"({"organisations": {"north": {"wieght": 1}}})", "/organisations/north/wieght: unknown field"},
    {"unknown_limit", R"({"organisations": {"north": {"limits": {"tokens": 1}}}})", "/organisations/north/limits/tokens: unknown field"},
    {"missing_field", R"({"keys": {"k1": {"hash": null}}})", "/keys/k1/hash: required field is missing"},
    {"wrong_type", R"({"organisations": {"north": {"weight": "2"}}})", "/organisations/north/weight"},
    {"number_for_boolean", R"({"routes": {"book": {"repeatable": 0}}})", "/routes/book/repeatable"},
    {"fraction_for_count", R"({"groups": {"readers": {"min_endpoints": 1.5}}})", "/groups/readers/min_endpoints"},
    {"negative_limit", R"({"organisations": {"north": {"limits": {"concurrent_requests": -1}}}})", "/organisations/north/limits/concurrent_requests"},
    {"zero_weight", R"({"organisations": {"north": {"weight": 0}}})", "/organisations/north/weight"},
    {"cheap_share_over_one", R"({"groups": {"readers": {"cheap_share": 1.1}}})", "/groups/readers/cheap_share"},
    {"bad_identifier", R"({"organisations": {"a/b": {}}})", "/organisations"},
    {"bad_hash", R"({"keys": {"k1": {"hash": "abc"}}})", "/keys/k1/hash"},
    {"unknown_method", R"({"routes": {"book": {"methods": ["FETCH"]}}})", "/routes/book/methods/0"},
    {"zero_deadline", R"({"routes": {"book": {"deadline_ms": 0}}})", "/routes/book/deadline_ms"},
    {"burst_without_rate",
     R"({"organisations": {"north": {"limits": {"tokens_per_second": 0, "burst_tokens": 5}}}})",
     "/organisations/north/limits/burst_tokens"},
    {"key_of_no_organisation", R"({"keys": {"k1": {"organisation": "south"}}})", "/keys/k1/organisation"},
    {"key_over_organisation", R"({"keys": {"k1": {"concurrent_requests": 5}}})", "/keys/k1/concurrent_requests"},
    {"route_to_no_group", R"({"routes": {"read": {"group": "writers"}}})", "/routes/read/group"},
    {"route_of_other_kind", R"({"routes": {"read": {"group": "desks"}}})", "/routes/read/kind"},
    {"route_of_other_model", R"({"routes": {"read": {"model": "other"}}})", "/routes/read/model"},
    {"service_without_prefix", R"({"routes": {"book": {"path_prefix": null}}})", "/routes/book/path_prefix"},
    {"service_with_model", R"({"routes": {"book": {"model": "m"}}})", "/routes/book/model"},
    {"model_with_prefix", R"({"routes": {"read": {"path_prefix": "/x"}}})", "/routes/read/path_prefix"},
    {"model_with_methods", R"({"routes": {"read": {"methods": ["GET"]}}})", "/routes/read/methods"},
    {"same_model_twice", R"({"routes": {"read2": {"kind": "model", "group": "readers", "model": "chassis-reader"}}})", "/routes/read2/model"},
    {"overlapping_prefix", R"({"routes": {"c": {"kind": "service", "group": "desks", "path_prefix": "/bookings/old"}}})", "/routes/c/path_prefix"},
    {"reserved_prefix", R"({"routes": {"book": {"path_prefix": "/operator/x"}}})", "/routes/book/path_prefix"},
    {"prefix_over_reserved", R"({"routes": {"book": {"path_prefix": "/"}}})", "/routes/book/path_prefix"},
    {"only_reclaimable_for_non_repeatable", R"({"endpoints": {"s1": {"reclaimable": true}}})", "/routes/book/repeatable"},
    {"model_group_without_model", R"({"groups": {"idle": {"kind": "model"}}})", "/groups/idle/model"},
    {"service_group_with_model", R"({"groups": {"desks": {"model": "m"}}})", "/groups/desks/model"},
    {"min_over_max", R"({"groups": {"readers": {"min_endpoints": 5}}})", "/groups/readers/min_endpoints"},
    {"min_over_fleet", R"({"groups": {"readers": {"min_endpoints": 2}}})", "/groups/readers/min_endpoints"},
    {"fleet_over_max", R"({"groups": {"readers": {"min_endpoints": 0, "max_endpoints": 0}}})", "/groups/readers/max_endpoints"},
    {"endpoint_of_no_group", R"({"endpoints": {"e1": {"group": "writers"}}})", "/endpoints/e1/group"},
    {"endpoint_in_no_domain", R"({"endpoints": {"e1": {"failure_domain": "d9"}}})", "/endpoints/e1/failure_domain"},
    {"host_name", R"({"endpoints": {"e1": {"address": "engine:80"}}})", "/endpoints/e1/address"},
    {"no_port", R"({"endpoints": {"e1": {"address": "127.0.0.1"}}})", "/endpoints/e1/address"},
    {"port_too_high", R"({"endpoints": {"e1": {"address": "127.0.0.1:65536"}}})", "/endpoints/e1/address"},
    {"same_address_twice", R"({"endpoints": {"s1": {"address": "127.0.0.1:20001"}}})", "/endpoints/s1/address"},
    {"same_domain_twice", R"({"failure_domains": ["d1", "d2", "d1"]})", "/failure_domains"},
    {"cell_in_no_domain", R"({"cells": {"main": {"failure_domains": ["d9"]}}})", "/cells/main/failure_domains"},
    {"not_an_object", R"([])", "/"},
};

class configuration_checks : public testing::TestWithParam<invalid_document_case>
{
};

}

// Guards against checks that accept an invalid document or report a different field.
TEST_P(configuration_checks, reject_and_name_the_field)
{
    json document = validDocument;
    document.merge_patch(json::parse(GetParam().patch));
    const auto result = parseConfiguration(document, 1);
    ASSERT_FALSE(result.ok());
    EXPECT_NE(std::string(result.status().message()).find(std::string(": ") + GetParam().path), std::string::npos) << result.status();
}

INSTANTIATE_TEST_SUITE_P(table, configuration_checks, testing::ValuesIn(invalidDocuments), [](const auto &each) {
    return std::string(each.param.name);
});

// Guards against checks that reject a valid document, and against fields read into the wrong member.
TEST(configuration, reads_a_valid_document)
{
    const auto result = parseConfiguration(validDocument, 7);
    ASSERT_TRUE(result.ok()) << result.status();
    EXPECT_EQ(result->version, 7U);
    EXPECT_EQ(result->organisations.at("north").limits.concurrentRequests, 4);
    EXPECT_EQ(result->groups.at("desks").maxEndpoints, 1);
    EXPECT_FALSE(result->routes.at("book").repeatable);
    EXPECT_TRUE(result->endpoints.at("e1").checksFencing);
}

// Guards against an overlap check that ignores methods: one path may be open for GET and non-repeatable for POST.
TEST(configuration, same_prefix_with_other_methods_is_no_overlap)
{
    json document = validDocument;
    document["routes"]["list"] = {{"kind", "service"}, {"group", "desks"}, {"path_prefix", "/bookings"}, {"methods", {"GET"}}, {"open", true}};
    EXPECT_TRUE(parseConfiguration(document, 1).ok());
}

// Guards against accepting a withdrawn or altered key or the key of another entry, also when identifiers contain '_'.
TEST(api_keys, only_the_exact_key_matches)
{
    configuration config;
    const auto created = createKey("k_1", "north");
    config.keys["k_1"] = created.entry;
    config.keys["k_2"] = createKey("k_2", "south").entry;
    ASSERT_TRUE(findKey(config, created.text));
    EXPECT_EQ(findKey(config, created.text)->organisation, "north");
    std::string foreign = created.text;
    foreign[5] = '2';
    for (const std::string &wrong : {foreign,
                                     created.text + "0",
                                     created.text.substr(0, created.text.size() - 1),
                                     std::string("lw_"),
                                     std::string("lw_k_1_"),
                                     std::string(),
                                     created.entry.hash}) {
        EXPECT_FALSE(findKey(config, wrong)) << wrong;
    }
    config.keys["k_1"].withdrawn = true;
    EXPECT_FALSE(findKey(config, created.text));
}

}
