#include "coordination/caller_request.h"

#include "coordination/forwarded_headers.h"
#include "protocol/api_keys.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iomanip>
#include <openssl/evp.h>
#include <random>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

constexpr double defaultOutputTokens = 512; // Assumed output length of requests without `max_tokens`.
constexpr std::int64_t maxOutputTokens = 1'000'000;
constexpr std::int64_t maxDeadlineMs = 3'600'000;
constexpr std::size_t maxIdempotencyKeyBytes = 255;
constexpr double retryAfterNotFreshMs = 1000;
constexpr int maxJsonDepth = 32; // nlohmann::json copies and serialises recursively, so deep nesting would overflow the stack.

// Names of query parameters and JSON fields in which callers send API keys by mistake.
bool isCredentialName(const std::string &name)
{
    static const std::set<std::string, std::less<>> names = {"key", "api_key", "apikey", "api-key", "access_token", "token", "authorization"};
    return names.contains(toLowerAscii(name));
}

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    std::ostringstream text;
    text << std::hex << std::setfill('0');
    for (std::size_t i = 0; i < size; ++i) {
        text << std::setw(2) << static_cast<int>(bytes[i]);
    }
    return text.str();
}

std::string sha256(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(digest.data(), size);
}

std::string hash128(std::string_view text)
{
    XXH128_canonical_t bytes;
    XXH128_canonicalFromHash(&bytes, XXH3_128bits(text.data(), text.size()));
    return toHex(bytes.digest, sizeof(bytes.digest));
}

// Checks for every request: no control characters in headers, and no repetition of headers that may appear only once.
std::optional<refuse_effect> checkHeaders(const httplib::Request &request)
{
    for (const auto &[name, value] : request.headers) {
        if (hasControlCharacter(name) || hasControlCharacter(value)) {
            return makeRefusal(400, "bad_header", "a header contains control characters");
        }
    }
    for (const char *single : {"Authorization", "Idempotency-Key", "X-Deadline-Ms", "Host", "Content-Length"}) {
        if (request.get_header_value_count(single) > 1) {
            return makeRefusal(400, "repeated_header", std::string(single) + " may appear only once");
        }
    }
    // Prevents request smuggling: with two body lengths, another HTTP parser could take a part of the body for a second request.
    if (request.has_header("Content-Length") && request.has_header("Transfer-Encoding")) {
        return makeRefusal(400, "bad_header", "Content-Length and Transfer-Encoding exclude each other");
    }
    const auto key = request.get_header_value("Idempotency-Key");
    if (key.size() > maxIdempotencyKeyBytes || (request.has_header("Idempotency-Key") && key.empty())) {
        return makeRefusal(400, "bad_idempotency_key", "Idempotency-Key must have 1 to 255 characters");
    }
    return std::nullopt;
}

// Allows an API key in the Authorization header only, so that it never reaches an endpoint or an access log of URLs. `key` is the key of
// that header; other keys are recognised by their format.
std::optional<refuse_effect> checkKeyLocation(const httplib::Request &request, std::string_view key, const configuration &config)
{
    const auto containsKey = [&](std::string_view text) {
        return (!key.empty() && text.find(key) != std::string_view::npos) || containsApiKey(config, text);
    };
    const bool inQuery = std::ranges::any_of(request.params, [&](const auto &item) {
        return isCredentialName(item.first) || containsKey(item.second);
    });
    const bool inHeader = std::ranges::any_of(request.headers, [&](const auto &item) {
        return toLowerAscii(item.first) != "authorization" && containsKey(item.second);
    });
    if (inQuery || inHeader || containsKey(request.target) || containsKey(request.path) || containsKey(request.body)) {
        return makeRefusal(400, "key_in_wrong_place", "send the key in the Authorization header only");
    }
    return std::nullopt;
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<refuse_effect> parseDeadline(const httplib::Request &request, const route &target, instant now, session_request &session)
{
    std::int64_t limitMs = target.deadlineMs;
    if (request.has_header("X-Deadline-Ms")) {
        const auto requestedMs = parseNumber(request.get_header_value("X-Deadline-Ms"));
        if (!requestedMs || *requestedMs < 1 || *requestedMs > maxDeadlineMs) {
            return makeRefusal(400, "bad_deadline", "X-Deadline-Ms must be a whole number from 1 to 3600000");
        }
        limitMs = std::min(limitMs, *requestedMs);
    }
    session.deadline = now + std::chrono::milliseconds(limitMs);
    return std::nullopt;
}

// Sets the session's fields from the route, the caller and the headers. On routes that need a key, only the key determines the organisation.
std::optional<refuse_effect>
fillSession(const httplib::Request &request, const serving_context &context, const configuration &config, const route &target, session_request &session)
{
    const auto caller = identifyCaller(request, config);
    if (const auto *refused = std::get_if<refuse_effect>(&caller)) {
        return *refused;
    }
    const auto &match = std::get<caller_identity>(caller).match;
    if (!target.open && !match) {
        return makeRefusal(401, "missing_key", "this route needs a key in the Authorization header");
    }
    if (match && !target.open) {
        session.organisation = match->organisation;
        session.keyId = match->keyId;
        session.keyLimit = config.keys.at(match->keyId).concurrentRequests;
        const auto &organisation = config.organisations.at(match->organisation);
        session.weight = organisation.weight;
        session.limits = organisation.limits;
    }
    session.requestId = makeRequestId();
    session.group = target.group;
    session.kind = target.kind;
    session.repeatable = target.repeatable;
    session.configVersion = config.version;
    session.daemon = context.instanceId;
    session.incarnation = context.incarnation;
    if (const auto key = request.get_header_value("Idempotency-Key"); !key.empty()) {
        session.idempotencyKeyHash = sha256(key);
    }
    session.fingerprint = hash128(session.organisation + '\n' + request.method + '\n' + request.target + '\n' + request.body);
    return parseDeadline(request, target, context.now(), session);
}

std::optional<refuse_effect> checkConfigurationFresh(const serving_context &context)
{
    if (context.fresh()) {
        return std::nullopt;
    }
    return makeRefusal(503, "not_fresh", "this daemon is not certain of the current configuration", retryAfterNotFreshMs);
}

refuse_effect makeBadFieldRefusal(const std::string &field, const std::string &expected)
{
    return makeRefusal(400, "bad_field", field + " must be " + expected);
}

// Validates the messages of a chat and concatenates them into the prompt text from which cached prefixes are estimated.
std::optional<refuse_effect> parseMessages(const nlohmann::json &fields, std::string &prompt)
{
    const auto messages = fields.find("messages");
    if (messages == fields.end() || !messages->is_array() || messages->empty()) {
        return makeBadFieldRefusal("messages", "a non-empty list");
    }
    for (const auto &message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string() || !message.contains("content")
            || !message["content"].is_string()) {
            return makeBadFieldRefusal("messages", "a list of objects with the strings role and content");
        }
        prompt += message["role"].get_ref<const std::string &>() + '\n' + message["content"].get_ref<const std::string &>() + '\n';
    }
    return std::nullopt;
}

std::optional<refuse_effect> parsePrompt(const nlohmann::json &fields, bool chat, std::string &prompt)
{
    if (chat) {
        return parseMessages(fields, prompt);
    }
    const auto found = fields.find("prompt");
    if (found == fields.end() || !found->is_string()) {
        return makeBadFieldRefusal("prompt", "a string");
    }
    prompt = found->get<std::string>();
    return std::nullopt;
}

std::optional<refuse_effect> parseOptions(const nlohmann::json &fields, routed_request &routed)
{
    if (const auto stream = fields.find("stream"); stream != fields.end()) {
        if (!stream->is_boolean()) {
            return makeBadFieldRefusal("stream", "true or false");
        }
        routed.stream = stream->get<bool>();
    }
    routed.session.maxOutputTokens = defaultOutputTokens;
    if (const auto limit = fields.find("max_tokens"); limit != fields.end()) {
        if (!limit->is_number_integer() || *limit < 1 || *limit > maxOutputTokens) {
            return makeBadFieldRefusal("max_tokens", "a whole number from 1 to 1000000");
        }
        routed.session.maxOutputTokens = limit->get<double>();
    }
    if (const auto choices = fields.find("n"); choices != fields.end() && *choices != 1) {
        return makeBadFieldRefusal("n", "1");
    }
    return std::nullopt;
}

// Parses and validates the body of a completion request.
std::optional<refuse_effect> parseFields(const httplib::Request &request, bool chat, routed_request &routed)
{
    bool tooDeep = false;
    const auto checkDepth = [&tooDeep](int depth, nlohmann::json::parse_event_t, const nlohmann::json &) {
        tooDeep = tooDeep || depth > maxJsonDepth;
        return !tooDeep;
    };
    routed.fields = nlohmann::json::parse(request.body, checkDepth, false);
    if (tooDeep) {
        return makeRefusal(400, "malformed_json", "the body is nested too deeply");
    }
    if (routed.fields.is_discarded() || !routed.fields.is_object()) {
        return makeRefusal(400, "malformed_json", "the body must be a JSON object");
    }
    for (const auto &[name, value] : routed.fields.items()) {
        if (isCredentialName(name)) {
            return makeRefusal(400, "key_in_wrong_place", "send the key in the Authorization header only");
        }
    }
    if (const auto model = routed.fields.find("model"); model == routed.fields.end() || !model->is_string()) {
        return makeBadFieldRefusal("model", "a string");
    }
    if (auto refused = parsePrompt(routed.fields, chat, routed.prompt)) {
        return refused;
    }
    return parseOptions(routed.fields, routed);
}

const route *findModelRoute(const configuration &config, const std::string &model)
{
    const auto found = std::ranges::find_if(config.routes, [&](const auto &item) {
        return item.second.kind == route_kind::Model && item.second.model == model;
    });
    return found == config.routes.end() ? nullptr : &found->second;
}

bool hasPrefix(std::string_view path, std::string_view prefix)
{
    return !prefix.empty() && path.starts_with(prefix) && (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

bool allows(const route &candidate, const std::string &method)
{
    return candidate.methods.empty() || std::ranges::find(candidate.methods, method) != candidate.methods.end();
}

// Selects the route with the longest matching prefix; among equal prefixes, one that allows the method.
const route *findServiceRoute(const configuration &config, const std::string &path, const std::string &method)
{
    const route *best = nullptr;
    for (const auto &[id, candidate] : config.routes) {
        if (candidate.kind != route_kind::Service || !hasPrefix(path, candidate.pathPrefix)) {
            continue;
        }
        const bool longer = best == nullptr || candidate.pathPrefix.size() > best->pathPrefix.size();
        if (longer || (candidate.pathPrefix.size() == best->pathPrefix.size() && !allows(*best, method))) {
            best = &candidate;
        }
    }
    return best;
}

// Returns whether the service could resolve the path to a different one, for which another route would have been selected.
bool isAmbiguousPath(std::string_view path)
{
    const std::string terminated = std::string(path) + '/';
    return !path.starts_with('/') || hasControlCharacter(path) || path.find('\\') != std::string_view::npos || terminated.find("//") < path.size() - 1
        || terminated.find("/./") != std::string::npos || terminated.find("/../") != std::string::npos;
}

}

std::string makeRequestId()
{
    thread_local std::mt19937_64 generator{(std::uint64_t{std::random_device{}()} << 32U) ^ std::random_device{}()};
    std::ostringstream text;
    text << "req-" << std::hex << std::setfill('0') << std::setw(16) << generator() << std::setw(16) << generator();
    return text.str();
}

refuse_effect makeRefusal(int status, std::string code, std::string message, double retryAfterMs)
{
    return {.status = status, .code = std::move(code), .message = std::move(message), .state = run_state::NotRun, .retryAfterMs = retryAfterMs};
}

identified_caller identifyCaller(const httplib::Request &request, const configuration &config)
{
    if (const auto refused = checkHeaders(request)) {
        return *refused;
    }
    constexpr std::string_view scheme = "bearer ";
    const auto header = request.get_header_value("Authorization");
    const bool bearer = toLowerAscii(header.substr(0, scheme.size())) == scheme && header.size() > scheme.size();
    const std::string_view key = bearer ? std::string_view(header).substr(scheme.size()) : std::string_view();
    if (const auto refused = checkKeyLocation(request, key, config)) {
        return *refused;
    }
    if (header.empty()) {
        return caller_identity{};
    }
    auto match = bearer ? findKey(config, key) : std::nullopt;
    if (!match) {
        return makeRefusal(401, "wrong_key", "the key is not valid");
    }
    return caller_identity{.match = std::move(match)};
}

parsed_request parseCompletion(const httplib::Request &request, const serving_context &context, bool chat)
{
    if (const auto refused = checkConfigurationFresh(context)) {
        return *refused;
    }
    const auto config = context.config.current();
    routed_request routed;
    if (const auto refused = parseFields(request, chat, routed)) {
        return *refused;
    }
    const route *target = findModelRoute(config->parsed, routed.fields["model"].get<std::string>());
    if (target == nullptr) {
        return makeRefusal(404, "model_not_found", "no route serves this model");
    }
    if (const auto refused = fillSession(request, context, config->parsed, *target, routed.session)) {
        return *refused;
    }
    routed.method = "POST";
    routed.path = chat ? "/v1/chat/completions" : "/v1/completions";
    routed.headers = {{"Content-Type", "application/json"}};
    routed.chat = chat;
    routed.session.promptHash = hash128(routed.prompt);
    routed.session.promptTokens = static_cast<double>(routed.prompt.size()) / tunables::bytesPerToken;
    return routed;
}

parsed_request parseServiceCall(const httplib::Request &request, const serving_context &context)
{
    if (const auto refused = checkConfigurationFresh(context)) {
        return *refused;
    }
    if (isAmbiguousPath(request.path)) {
        return makeRefusal(400, "bad_path", "the path must not contain control characters, empty segments, '.' or '..'");
    }
    const auto config = context.config.current();
    const route *target = findServiceRoute(config->parsed, request.path, request.method);
    if (target == nullptr) {
        return makeRefusal(404, "route_not_found", "no route serves this path");
    }
    if (!allows(*target, request.method)) {
        return makeRefusal(405, "method_not_allowed", "the route does not allow this method");
    }
    routed_request routed;
    if (const auto refused = fillSession(request, context, config->parsed, *target, routed.session)) {
        return *refused;
    }
    routed.method = request.method;
    routed.path = request.target;
    routed.headers = forwardedRequestHeaders(request.headers);
    routed.body = request.body;
    return routed;
}

}
