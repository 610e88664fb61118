#include "soak/stand_ins.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace faultsoak
{

namespace
{

using nlohmann::json;

constexpr std::int64_t slowResponseMs = 400;
constexpr std::size_t maxCopies = 40;
constexpr int slotCount = 6;
constexpr int queueCapacity = 12;

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string decodePercent(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::map<std::string, std::string> parseQuery(std::string_view target)
{
    std::map<std::string, std::string> out;
    const auto queryStart = target.find('?');
    std::string_view rest = queryStart == std::string_view::npos ? std::string_view() : target.substr(queryStart + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        out[std::string(pair.substr(0, equals))] = decodePercent(pair.substr(std::min(equals + 1, pair.size())));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return out;
}

std::string responseText(int status, std::string_view body, std::string_view headerFields)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    return text.append(headerFields).append("\r\n").append(body);
}

std::string crashingPart(std::string_view parts)
{
    const auto start = parts.find(crashingPartPrefix);
    return start == std::string_view::npos ? std::string() : std::string(parts.substr(start, parts.find(':', start) - start));
}

}

struct http_stand_in::server_state
{
    server_state(asio::io_context &eventLoop, request_handler requestHandler)
        : loop(eventLoop)
        , acceptor(eventLoop, anyLoopbackPort())
        , handler(std::move(requestHandler))
    {
    }

    asio::io_context &loop;
    tcp::acceptor acceptor;
    request_handler handler;
    std::set<std::shared_ptr<tcp::socket>> openSockets;
    bool stopped = false;
};

http_stand_in::http_stand_in(asio::io_context &loop, request_handler handler)
    : m_state(std::make_shared<server_state>(loop, std::move(handler)))
{
    asio::co_spawn(loop, accept(m_state), asio::detached);
}

tcp::endpoint http_stand_in::endpoint() const
{
    return m_state->acceptor.local_endpoint();
}

void http_stand_in::stop()
{
    m_state->stopped = true;
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
    for (const auto &socket : m_state->openSockets) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

task<void> http_stand_in::accept(std::shared_ptr<server_state> state)
{
    while (!state->stopped) {
        auto socket = std::make_shared<tcp::socket>(state->loop);
        boost::system::error_code error;
        co_await state->acceptor.async_accept(*socket, errorTo(error));
        if (error) {
            co_return;
        }
        state->openSockets.insert(socket);
        asio::co_spawn(state->loop, serve(state, socket), asio::detached);
    }
}

task<void> http_stand_in::serve(std::shared_ptr<server_state> state, std::shared_ptr<tcp::socket> socket)
{
    beast::flat_buffer buffer;
    bool keepAlive = true;
    while (keepAlive && !state->stopped) {
        boost::system::error_code error;
        request message;
        co_await http::async_read(*socket, buffer, message, errorTo(error));
        if (error || state->stopped) {
            break;
        }
        keepAlive = co_await state->handler(message, *socket);
    }
    boost::system::error_code ignored;
    socket->close(ignored);
    state->openSockets.erase(socket);
}

task<bool> sendResponse(tcp::socket &socket, int status, std::string_view body, std::string_view headerFields)
{
    const std::string text = responseText(status, body, headerFields);
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(text), errorTo(error));
    co_return !error;
}

store_stand_in::store_stand_in(asio::io_context &loop, oracle &testOracle)
    : m_oracle(testOracle)
    , m_server(loop, [this](const request &message, tcp::socket &socket) {
        return respond(message, socket);
    })
{
}

tcp::endpoint store_stand_in::endpoint() const
{
    return m_server.endpoint();
}

void store_stand_in::setMode(store_mode mode)
{
    m_mode = mode;
}

void store_stand_in::recordChange(const std::string &table, const std::string &key, bool removed)
{
    m_state.changes.push_back({m_state.latestVersion, table, key, removed});
}

void store_stand_in::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_state.rows[{table, key}] = {absl::Base64Escape(value), ++m_state.latestVersion};
    recordChange(table, key, false);
}

void store_stand_in::remove(const std::string &table, const std::string &key)
{
    ++m_state.latestVersion;
    m_state.rows.erase({table, key});
    recordChange(table, key, true);
}

void store_stand_in::compact()
{
    m_state.compactedVersion = m_state.latestVersion;
    m_state.changes.clear();
}

void store_stand_in::keepCopy()
{
    m_copies.push_back({nowMs(), m_state});
    if (m_copies.size() > maxCopies) {
        m_copies.pop_front();
    }
}

void store_stand_in::restore(std::int64_t ageMs)
{
    while (m_copies.size() > 1 && m_copies.back().timeMs > nowMs() - ageMs) {
        m_copies.pop_back();
    }
    m_lost = {nowMs(), std::exchange(m_state, m_copies.back().state)};
    ++m_era;
}

void store_stand_in::writeLostRowsAgain(const std::function<bool(const std::string &id)> &runs)
{
    const auto &copy = m_copies.back().state.rows;
    const auto versionIn = [](const auto &rows, const auto &key) {
        const auto found = rows.find(key);
        return found == rows.end() ? 0 : found->second.version;
    };
    auto keys = m_lost.state.rows;
    keys.insert(copy.begin(), copy.end());
    for (const auto &[key, row] : keys) {
        const auto copied = versionIn(copy, key);
        const bool unchanged = versionIn(m_state.rows, key) == copied;
        if ((key.first != "op" && key.first != "servers") || !unchanged || versionIn(m_lost.state.rows, key) == copied) {
            continue;
        }
        if (const auto lost = m_lost.state.rows.find(key); lost == m_lost.state.rows.end()) {
            remove(key.first, key.second);
        } else if (key.first == "op" || runs(key.second)) {
            ++m_state.latestVersion;
            m_state.rows[key] = {lost->second.value, m_state.latestVersion};
            recordChange(key.first, key.second, false);
        }
    }
}

task<bool> store_stand_in::respond(const request &message, tcp::socket &socket)
{
    ++m_requestCount;
    if (m_mode != store_mode::Normal) {
        m_oracle.recordStoreFault(nowMs());
    }
    if (m_mode == store_mode::Unavailable) {
        co_return co_await sendResponse(socket, 503, "{}", eraField());
    }
    if (m_mode == store_mode::Slow) {
        co_await sleepMs(slowResponseMs);
    }
    const bool dropResponse = m_mode == store_mode::DropResponses && m_requestCount % 2 == 0;
    const auto result = co_await dispatch(message);
    if (dropResponse) {
        co_return false;
    }
    co_return co_await sendResponse(socket, result.first, result.second, eraField());
}

std::string store_stand_in::eraField() const
{
    return "Store-Era: " + std::to_string(m_era) + "\r\n";
}

task<std::pair<int, std::string>> store_stand_in::dispatch(const request &message)
{
    const auto target = view(message.target());
    if (target.starts_with("/-/rows-get")) {
        co_return std::pair(200, rowsGet(parseQuery(target)));
    }
    if (target.starts_with("/-/rows-feed")) {
        co_return co_await rowsFeed(parseQuery(target));
    }
    if (target == "/-/rows-tx") {
        co_return rowsTx(message.body());
    }
    if (target == "/usage") {
        co_return acceptUsageReport(message);
    }
    co_return std::pair(404, std::string("{}"));
}

std::string store_stand_in::rowsGet(const std::map<std::string, std::string> &query) const
{
    const auto get = [&](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    json rows = json::array();
    for (const auto &[rowKey, row] : m_state.rows) {
        const bool inRange = rowKey.second >= get("from") && (get("to").empty() || rowKey.second < get("to"));
        if (rowKey.first == get("table") && inRange) {
            rows.push_back({{"table", rowKey.first}, {"part", ""}, {"key", rowKey.second}, {"value", row.value}, {"ver", row.version}});
        }
    }
    return json{{"rows", rows}, {"has-more", false}, {"ver", m_state.latestVersion}, {"now-ms", nowMs()}}.dump();
}

task<std::pair<int, std::string>> store_stand_in::rowsFeed(std::map<std::string, std::string> query)
{
    const std::string table = query["table"];
    const std::uint64_t after = std::stoull(query["after"]);
    const std::int64_t end = nowMs() + std::stoll(query["wait-ms"]);
    const std::uint64_t era = m_era;
    while (true) {
        if (after < m_state.compactedVersion || after > m_state.latestVersion || era != m_era) {
            co_return std::pair(410, std::string("{}"));
        }
        json rows = json::array();
        for (const auto &entry : m_state.changes) {
            if (entry.version <= after || entry.table != table) {
                continue;
            }
            json row = {{"table", entry.table}, {"part", ""}, {"key", entry.key}, {"ver", entry.version}};
            const auto found = m_state.rows.find({entry.table, entry.key});
            if (entry.removed || found == m_state.rows.end()) {
                row["tombstone"] = true;
            } else {
                row["value"] = found->second.value;
            }
            rows.push_back(std::move(row));
        }
        if (!rows.empty() || nowMs() >= end) {
            co_return std::pair(200, json{{"rows", rows}, {"ver", m_state.latestVersion}, {"now-ms", nowMs()}}.dump());
        }
        co_await sleepMs(10);
    }
}

std::pair<int, std::string> store_stand_in::rowsTx(const std::string &body)
{
    const auto transaction = json::parse(body, nullptr, false);
    if (!transaction.is_object()) {
        return {400, "{}"};
    }
    for (const auto &condition : transaction["expected"]) {
        const auto found = m_state.rows.find({condition["table"], condition["key"]});
        if ((found == m_state.rows.end() ? 0 : found->second.version) != condition["ver"].get<std::uint64_t>()) {
            return {412, json{{"rows", json::array()}, {"ver", m_state.latestVersion}, {"now-ms", nowMs()}}.dump()};
        }
    }
    ++m_state.latestVersion;
    for (const auto &put : transaction["put"]) {
        m_state.rows[{put["table"], put["key"]}] = {put["value"], m_state.latestVersion};
        recordChange(put["table"], put["key"], false);
    }
    for (const auto &removed : transaction["remove"]) {
        m_state.rows.erase({removed["table"], removed["key"]});
        recordChange(removed["table"], removed["key"], true);
    }
    return {200, json{{"ver", m_state.latestVersion}, {"now-ms", nowMs()}}.dump()};
}

std::pair<int, std::string> store_stand_in::acceptUsageReport(const request &message)
{
    const std::uint64_t fencingToken = std::stoull(std::string(view(message["X-Fencing-Token"])));
    if (fencingToken < m_highestFencingToken) {
        return {409, "{}"};
    }
    m_highestFencingToken = fencingToken;
    m_oracle.recordFencingToken("usage", fencingToken, std::string(view(message["X-Lease-Holder"])));
    const auto report = json::parse(message.body(), nullptr, false);
    m_oracle.recordUsageReport(report["window-id"], report["counts"].dump());
    return {200, "{}"};
}

endpoint_stand_in::endpoint_stand_in(asio::io_context &loop,
                                     oracle &testOracle,
                                     endpoint_demands &demands,
                                     std::string id,
                                     bool streaming,
                                     std::uint64_t seed,
                                     crash_handler onCrash)
    : m_oracle(testOracle)
    , m_demands(demands)
    , m_id(std::move(id))
    , m_streaming(streaming)
    , m_onCrash(std::move(onCrash))
    , m_random(seed)
    , m_server(loop, [this](const request &message, tcp::socket &socket) {
        return respond(message, socket);
    })
{
}

tcp::endpoint endpoint_stand_in::endpoint() const
{
    return m_server.endpoint();
}

const std::string &endpoint_stand_in::id() const
{
    return m_id;
}

bool endpoint_stand_in::running() const
{
    return *m_alive;
}

void endpoint_stand_in::crash()
{
    *m_alive = false;
    m_server.stop();
}

void endpoint_stand_in::setDropResponses(bool dropResponse)
{
    m_dropResponses = dropResponse;
}

void endpoint_stand_in::setLimit(std::optional<double> perSecond)
{
    m_limit = perSecond;
    m_demands.recordLimit(m_id, perSecond, nowMs());
}

void endpoint_stand_in::sayLeaving()
{
    m_leaving = true;
}

void endpoint_stand_in::setPause(std::int64_t pauseMs)
{
    m_pauseMs = pauseMs;
}

void endpoint_stand_in::setGarbles(bool garbles)
{
    m_garbles = garbles;
}

void endpoint_stand_in::setResets(bool resets)
{
    m_resets = resets;
}

// What the endpoint says of itself in the answer to a request.
std::string endpoint_stand_in::demandHeaders(const std::string &id)
{
    std::string out;
    if (m_limit) {
        m_demands.recordToldLimit(m_id, id, nowMs());
        out += "Server-Limit: " + std::to_string(*m_limit) + "\r\n";
    }
    if (m_leaving) {
        m_demands.recordToldLeaving(m_id, id, nowMs());
        out += "Server-Leaving: 1\r\n";
    }
    return out;
}

task<bool> endpoint_stand_in::refuse(const std::string &id, tcp::socket &socket, int status, std::int64_t pauseMs)
{
    std::string fields = "X-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\n" + demandHeaders(id);
    if (pauseMs > 0) {
        m_demands.recordToldPause(m_id, id, nowMs(), pauseMs);
        fields += "Retry-After: " + std::to_string(static_cast<double>(pauseMs) / 1000) + "\r\n";
    }
    m_lastRefusal = responseText(status, "", fields);
    co_return co_await sendResponse(socket, status, "", fields);
}

task<bool> endpoint_stand_in::respond(const request &message, tcp::socket &socket)
{
    const std::string id(view(message["X-Request-Id"]));
    m_oracle.recordArrival(id, nowMs());
    m_demands.recordArrival(m_id, id, nowMs());
    if (m_resets) {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        co_return false;
    }
    if (view(message["X-Expect-Instance"]) != m_id) {
        co_return co_await refuse(id, socket, 421);
    }
    if (m_runningRequests >= slotCount + queueCapacity || m_pauseMs > 0) {
        co_return co_await refuse(id, socket, 503, m_pauseMs);
    }
    ++m_runningRequests;
    m_oracle.recordExecution({
        .id = id,
        .endpoint = m_id,
        .organisation = std::string(view(message["X-Tenant-Id"])),
        .receivedKey = !message["X-Api-Key"].empty(),
        .timeMs = nowMs(),
    });
    const auto alive = m_alive;
    const std::string responseHeaders = "X-Request-Id: " + id + "\r\nX-Response-Seal: seal-of-" + id + "\r\nKeep-Alive: timeout=5\r\n" + demandHeaders(id);
    if (m_garbles && !m_lastRefusal.empty() && m_random() % 2 == 0) {
        boost::system::error_code ignored;
        co_await asio::async_write(socket, asio::buffer(m_lastRefusal), errorTo(ignored));
    }
    if (m_garbles && m_random() % 4 == 0) {
        boost::system::error_code ignored;
        const auto head = responseText(200, "", responseHeaders);
        const auto cut = head.substr(0, m_random() % (head.size() - 2));
        co_await asio::async_write(socket, asio::buffer(cut), errorTo(ignored));
        --m_runningRequests;
        co_return false;
    }
    const bool dropResponse = m_dropResponses && m_random() % 2 == 0;
    bool keepAlive = true;
    if (!m_streaming) {
        co_await sleepMs(static_cast<std::int64_t>(5 + m_random() % 50));
        keepAlive = *alive && !dropResponse && co_await sendResponse(socket, 200, expectedBody(call_kind::Idempotent, id), responseHeaders);
    } else {
        boost::system::error_code error;
        std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + responseHeaders + "\r\n";
        const auto part = crashingPart(view(message["X-Prefix-Hash"]));
        const int crashAt = part.empty() ? 0 : static_cast<int>(1 + m_random() % 2);
        for (int number = 1; number <= streamEventCount && *alive && !error; ++number) {
            if (number == crashAt) {
                m_oracle.recordCrash(part, nowMs());
                crash();
                m_onCrash(m_id);
                break;
            }
            const std::string event = streamEvent(id, number);
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            text += size + event + "\r\n";
            co_await asio::async_write(socket, asio::buffer(text), errorTo(error));
            text.clear();
            co_await sleepMs(15);
            if (dropResponse && number == 2) {
                error = asio::error::connection_reset;
            }
        }
        if (!error && *alive) {
            co_await asio::async_write(socket, asio::buffer(std::string("0\r\n\r\n")), errorTo(error));
        }
        keepAlive = !error && *alive;
    }
    --m_runningRequests;
    co_return keepAlive;
}

}
