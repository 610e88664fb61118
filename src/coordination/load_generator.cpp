#include "coordination/load_generator.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace lacewinglock
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr auto connectTimeout = std::chrono::milliseconds(1000);
constexpr auto responseTimeout = std::chrono::seconds(30);
constexpr auto maxStartDelay = std::chrono::milliseconds(50);
constexpr int maxConnections = 6;

double msBetween(clock::time_point from, clock::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

void recordRefusal(const std::string &body, call_result &result)
{
    const auto response = nlohmann::json::parse(body, nullptr, false);
    const auto error = response.is_object() ? response.value("error", nlohmann::json::object()) : nlohmann::json::object();
    result.runState = error.is_object() ? error.value("run_state", "unstated") : "unstated";
    const auto code = error.is_object() && error.contains("code") ? error.at("code") : nlohmann::json("none");
    result.refusalCode = code.is_string() ? code.get<std::string>() : code.dump();
}

void recordTimes(const answer_checker &check, clock::time_point startTime, call_result &result)
{
    const auto &tokenTimes = check.tokenTimes();
    if (tokenTimes.empty()) {
        return;
    }
    result.firstTokenMs = msBetween(startTime, tokenTimes.front());
    for (std::size_t index = 1; index < tokenTimes.size(); ++index) {
        result.gapsMs.push_back(static_cast<float>(msBetween(tokenTimes[index - 1], tokenTimes[index])));
    }
}

// A response belongs to a booking when it carries the booking's identifier.
answer_verdict checkBooking(const planned_call &call, const std::string &body)
{
    const auto response = nlohmann::json::parse(body, nullptr, false);
    const bool own = response.is_object() && response.value("idempotency_id", "") == call.bookingId;
    return own ? answer_verdict::Complete : answer_verdict::Incorrect;
}

httplib::Request makeRequest(const load_settings &settings, const planned_call &call, const nlohmann::json &body)
{
    httplib::Request request;
    request.method = "POST";
    request.path = callPath(settings, call);
    request.body = body.dump();
    request.set_header("Content-Type", "application/json");
    request.set_header("Authorization", "Bearer " + settings.keys.at(call.organisation));
    request.set_header("X-Deadline-Ms", std::to_string(settings.deadlineMs));
    if (call.booking && call.hasIdempotencyKey) {
        request.set_header("Idempotency-Key", call.bookingId);
    }
    return request;
}

}

load_generator::load_generator(load_settings settings)
    : m_settings(std::move(settings))
    , m_plan(makeLoadPlan(m_settings))
    , m_results(m_plan.size())
    , m_addresses(m_settings.servers)
{
}

std::vector<call_result> load_generator::run()
{
    const auto start = clock::now();
    std::vector<std::thread> threads;
    threads.reserve(m_settings.workers);
    for (int index = 0; index < m_settings.workers; ++index) {
        threads.emplace_back([this, start] {
            runWorker(start);
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return m_results;
}

// Performs calls in the order of their start times. Each result is written by one thread only.
void load_generator::runWorker(clock::time_point start)
{
    for (std::size_t index = m_next++; index < m_plan.size(); index = m_next++) {
        const auto dueTime = start + m_plan[index].at;
        m_results[index].late = clock::now() > dueTime + maxStartDelay;
        std::this_thread::sleep_until(dueTime);
        perform(m_plan[index], m_results[index]);
    }
}

// Tries the addresses one after another. After a connection was lost, only a completion or a booking with an idempotency key is retried.
void load_generator::perform(const planned_call &call, call_result &result)
{
    const auto startTime = clock::now();
    const bool isRetryable = !call.booking || call.hasIdempotencyKey;
    result.sent = true;
    while (result.connections < maxConnections) {
        const auto addresses = m_addresses.addressesFor(call.organisation, m_settings.keys.at(call.organisation));
        if (addresses.empty()) {
            break;
        }
        ++result.connections;
        const auto outcome = attempt(call, addresses.front(), startTime, result);
        if (outcome == attempt_outcome::Answered) {
            return;
        }
        m_addresses.noteFailure(call.organisation, addresses.front());
        if (outcome == attempt_outcome::ConnectionLost && !isRetryable) {
            break;
        }
    }
    result.lost = true;
}

load_generator::attempt_outcome load_generator::attempt(const planned_call &call, const std::string &address, clock::time_point startTime, call_result &result)
{
    const auto [host, port] = splitAddress(address);
    httplib::Client client(host, port);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(responseTimeout);
    client.set_tcp_nodelay(true);
    const auto body = callBody(m_settings, call);
    auto request = makeRequest(m_settings, call, body);
    answer_checker check(body, call.booking ? 0 : call.outputTokens);
    int status = 0;
    bool streamed = false;
    std::string received;
    request.response_handler = [&](const httplib::Response &response) {
        status = response.status;
        streamed = response.get_header_value("Content-Type").starts_with("text/event-stream");
        return true;
    };
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        streamed ? check.addStreamBytes({data, size}, clock::now()) : static_cast<void>(received.append(data, size));
        return true;
    };
    result.verdict.reset();
    if (const auto response = client.send(request); !response) {
        // The response counts as truncated unless a retry on another connection completes.
        result.verdict = check.tokenTimes().empty() ? std::nullopt : std::optional(answer_verdict::Truncated);
        return response.error() == httplib::Error::Connection || response.error() == httplib::Error::ConnectionTimeout ? attempt_outcome::NotConnected
                                                                                                                       : attempt_outcome::ConnectionLost;
    }
    if (status >= 300) {
        recordRefusal(received, result);
    } else if (call.booking) {
        result.verdict = checkBooking(call, received);
    } else {
        if (!streamed) {
            check.setBody(received, clock::now());
        }
        result.verdict = check.verdict();
        recordTimes(check, startTime, result);
    }
    return attempt_outcome::Answered;
}

}
