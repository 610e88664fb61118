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
constexpr auto answerTimeout = std::chrono::seconds(30);
constexpr auto lateStart = std::chrono::milliseconds(50);
constexpr int maxConnections = 6;

double msBetween(clock::time_point from, clock::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

void noteRefusal(const std::string &body, call_result &result)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    const auto error = answer.is_object() ? answer.value("error", nlohmann::json::object()) : nlohmann::json::object();
    result.runState = error.is_object() ? error.value("run_state", "unstated") : "unstated";
    const auto code = error.is_object() && error.contains("code") ? error.at("code") : nlohmann::json("none");
    result.refusalCode = code.is_string() ? code.get<std::string>() : code.dump();
}

void noteTimes(const answer_check &check, clock::time_point began, call_result &result)
{
    const auto &arrivals = check.arrivals();
    if (arrivals.empty()) {
        return;
    }
    result.firstTokenMs = msBetween(began, arrivals.front());
    for (std::size_t index = 1; index < arrivals.size(); ++index) {
        result.gapsMs.push_back(static_cast<float>(msBetween(arrivals[index - 1], arrivals[index])));
    }
}

// A booking is ours when the answer carries its id.
answer_verdict checkBooking(const planned_call &call, const std::string &body)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    const bool own = answer.is_object() && answer.value("idempotency_id", "") == call.bookingId;
    return own ? answer_verdict::Whole : answer_verdict::Wrong;
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
    if (call.booking && call.withKey) {
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
            work(start);
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return m_results;
}

// Takes calls in the order of their times; each result is written by one thread only.
void load_generator::work(clock::time_point start)
{
    for (std::size_t index = m_next++; index < m_plan.size(); index = m_next++) {
        const auto due = start + m_plan[index].at;
        m_results[index].late = clock::now() > due + lateStart;
        std::this_thread::sleep_until(due);
        perform(m_plan[index], m_results[index]);
    }
}

// Tries addresses in turn. After a broken connection only a completion or a booking with an idempotency key is sent again.
void load_generator::perform(const planned_call &call, call_result &result)
{
    const auto began = clock::now();
    const bool maySendAgain = !call.booking || call.withKey;
    result.sent = true;
    while (result.connections < maxConnections) {
        const auto addresses = m_addresses.addressesFor(call.organisation, m_settings.keys.at(call.organisation));
        if (addresses.empty()) {
            break;
        }
        ++result.connections;
        const auto end = attempt(call, addresses.front(), began, result);
        if (end == attempt_end::Answered) {
            return;
        }
        m_addresses.noteFailure(call.organisation, addresses.front());
        if (end == attempt_end::Broken && !maySendAgain) {
            break;
        }
    }
    result.lost = true;
}

load_generator::attempt_end load_generator::attempt(const planned_call &call, const std::string &address, clock::time_point began, call_result &result)
{
    const auto [host, port] = splitAddress(address);
    httplib::Client client(host, port);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(answerTimeout);
    client.set_tcp_nodelay(true);
    const auto body = callBody(m_settings, call);
    auto request = makeRequest(m_settings, call, body);
    answer_check check(body, call.booking ? 0 : call.outputTokens);
    int status = 0;
    bool streamed = false;
    std::string received;
    request.response_handler = [&](const httplib::Response &response) {
        status = response.status;
        streamed = response.get_header_value("Content-Type").starts_with("text/event-stream");
        return true;
    };
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        streamed ? check.takeStream({data, size}, clock::now()) : static_cast<void>(received.append(data, size));
        return true;
    };
    result.verdict.reset();
    if (const auto answer = client.send(request); !answer) {
        // Counts as cut unless the call gets a whole answer on another connection.
        result.verdict = check.arrivals().empty() ? std::nullopt : std::optional(answer_verdict::Cut);
        return answer.error() == httplib::Error::Connection || answer.error() == httplib::Error::ConnectionTimeout ? attempt_end::NotConnected
                                                                                                                   : attempt_end::Broken;
    }
    if (status >= 300) {
        noteRefusal(received, result);
    } else if (call.booking) {
        result.verdict = checkBooking(call, received);
    } else {
        if (!streamed) {
            check.takeWhole(received, clock::now());
        }
        result.verdict = check.verdict();
        noteTimes(check, began, result);
    }
    return attempt_end::Answered;
}

}
