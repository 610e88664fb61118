#include "transport/http_client.h"

#include "transport/boot_clock.h"
#include "transport/spawn.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sys/socket.h>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxReadBytes = 16U << 10U; // Per read, so that one large response does not delay the others on the event loop.
constexpr std::size_t maxHeadBytes = 32U << 10U; // Response headers of servers have a few hundred bytes.
constexpr std::uint64_t maxBodyBytes = std::uint64_t{1}
    << 40U; // Stands for no limit, because that option fails in Boost.Beast 1.74. Callers limit bodies themselves.
// Of received bytes that the parser has not consumed. It waits for a whole header, chunk header or trailer.
constexpr std::size_t maxBufferedBytes = maxHeadBytes + (64U << 10U);
constexpr std::size_t maxForeignBytes = 1U << 20U; // Of responses to other requests, which are read and dropped.
constexpr std::size_t inlineWriteBytes = 8U << 10U; // Fits into the socket buffer. Longer bodies are written concurrently with reading the response.
constexpr std::size_t maxControlResponseBytes = 16U << 20U; // Above the size of the largest page of the table service or of a list.
constexpr std::size_t defaultBodyBudget = 64U << 20U;
constexpr std::size_t maxIdlePerServer = 64;
constexpr std::size_t maxAddressBytes = sizeof("255.255.255.255:65535") - 1;
constexpr int maxSkippedResponses = 3; // More interim responses and responses to other requests than this mean that the connection can not be used.
constexpr auto maxTimerDelay = std::chrono::milliseconds(20); // A timer that is later than this shows that the process did not run.
constexpr auto lateReadTime = std::chrono::milliseconds(20); // After the deadline, for bytes that arrived while the process did not run.
constexpr auto defaultIdleLimit = std::chrono::seconds(2); // For servers that send no keep-alive timeout.

std::uint64_t poolKey(const tcp::endpoint &server)
{
    return (static_cast<std::uint64_t>(server.address().to_v4().to_uint()) << 16U) | server.port();
}

// False when the server closed the idle connection, or sent bytes that belong to no request.
bool hasNoInput(tcp::socket &socket)
{
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

duration idleLimitOf(const http::response_header<> &head)
{
    const auto text = toView(head["Keep-Alive"]);
    constexpr std::string_view name = "timeout=";
    if (const auto found = text.find(name); found != std::string_view::npos) {
        int seconds = 0;
        const auto digits = text.substr(found + name.size());
        if (const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds); error == std::errc{} && seconds > 0) {
            return std::chrono::seconds(seconds);
        }
    }
    return defaultIdleLimit;
}

}

client_connection::client_connection(asio::io_context &loop)
    : socket(loop)
    , buffer(maxBufferedBytes)
{
}

std::string_view toText(exchange_state state)
{
    constexpr std::array<std::string_view, 7> names{"going", "whole", "not_sent", "lost", "malformed", "timed_out", "cancelled"};
    return names.at(static_cast<std::size_t>(state));
}

connection_pool::connection_pool(asio::io_context &loop)
    : m_loop(loop)
    , m_bodies(std::make_shared<byte_budget>(defaultBodyBudget))
{
}

std::shared_ptr<client_connection> connection_pool::take(const tcp::endpoint &server, duration margin)
{
    const auto found = m_idle.find(poolKey(server));
    if (found == m_idle.end()) {
        return nullptr;
    }
    const instant now = bootNow();
    while (!found->second.empty()) {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        if (now - connection->idleSince + margin < connection->idleLimit && hasNoInput(connection->socket)) {
            return connection;
        }
    }
    return nullptr;
}

void connection_pool::put(const tcp::endpoint &server, std::shared_ptr<client_connection> connection)
{
    auto &idle = m_idle[poolKey(server)];
    connection->idleSince = bootNow();
    idle.push_back(std::move(connection));
    if (idle.size() > maxIdlePerServer) {
        idle.pop_front();
    }
}

void connection_pool::expire()
{
    const instant now = bootNow();
    for (auto server = m_idle.begin(); server != m_idle.end();) {
        std::erase_if(server->second, [&](const auto &connection) {
            return now - connection->idleSince >= connection->idleLimit;
        });
        server = server->second.empty() ? m_idle.erase(server) : std::next(server);
    }
}

asio::io_context &connection_pool::loop() const
{
    return m_loop;
}

client_counters &connection_pool::counters()
{
    return m_counters;
}

const std::shared_ptr<byte_budget> &connection_pool::bodies() const
{
    return m_bodies;
}

absl::StatusOr<tcp::endpoint> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    boost::system::error_code error;
    unsigned port = 0;
    // The conversion of the address ends at a zero byte, and the conversion of the port skips any number of leading zeros.
    const bool plain = text.size() <= maxAddressBytes && text.find('\0') == std::string_view::npos;
    if (plain && colon != std::string_view::npos) {
        const auto address = asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
        const auto digits = text.substr(colon + 1);
        const auto [end, portError] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        if (!error && portError == std::errc{} && end == digits.data() + digits.size() && port > 0 && port <= 65535) {
            return tcp::endpoint(address, static_cast<unsigned short>(port));
        }
    }
    return absl::InvalidArgumentError("address \"" + std::string(text.substr(0, 2 * maxAddressBytes)) + "\" is not IP:port");
}

client_exchange::client_exchange(connection_pool &pool, tcp::endpoint server, exchange_options options)
    : m_pool(pool)
    , m_server(std::move(server))
    , m_options(options)
    , m_timer(pool.loop())
{
}

client_exchange::~client_exchange() = default;

void client_exchange::armTimer(duration time)
{
    m_timer.start(time, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->m_done) {
            return;
        }
        // After a pause of this process, what arrived before the deadline is still to be read.
        if (!self->m_options.resetWhenAbandoned && !self->m_lateReads && bootNow() - self->m_options.deadline > maxTimerDelay) {
            self->m_lateReads = true;
            self->armTimer(lateReadTime);
            return;
        }
        self->m_timedOut = true;
        if (self->m_connection) {
            self->abandonConnection();
        }
    });
}

void client_exchange::abandonConnection()
{
    boost::system::error_code ignored;
    if (m_options.resetWhenAbandoned) {
        m_connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_connection->socket.close(ignored);
}

void client_exchange::setDeadline(instant deadline)
{
    m_options.deadline = deadline;
    m_lateReads = m_lateReads && deadline <= bootNow(); // A deadline that has passed is not extended again.
    armTimer(m_options.deadline - bootNow());
}

void client_exchange::cancel()
{
    m_cancelled = true;
    m_timer.cancel();
    if (m_connection && !m_done) {
        abandonConnection();
    }
}

exchange_state client_exchange::failure(const boost::system::error_code &error) const
{
    if (m_cancelled) {
        return exchange_state::Cancelled;
    }
    if (m_overBudget) {
        return exchange_state::Malformed;
    }
    if (m_timedOut) {
        return exchange_state::TimedOut;
    }
    const bool connectionLost = error == http::error::end_of_stream || error == http::error::partial_message
        || error.category() == asio::error::get_system_category() || error == asio::error::eof;
    return connectionLost ? exchange_state::Lost : exchange_state::Malformed;
}

task<exchange_state> client_exchange::connect()
{
    if (m_options.reuseConnection) {
        m_connection = m_pool.take(m_server, m_options.minIdleTimeLeft);
    }
    if (m_connection) {
        m_reused = true;
        co_return exchange_state::InProgress;
    }
    m_connection = std::make_shared<client_connection>(m_pool.loop());
    ++m_pool.counters().connections;
    const instant exchangeDeadline = m_options.deadline;
    setDeadline(std::min(exchangeDeadline, bootNow() + m_options.connectTimeout));
    boost::system::error_code error;
    co_await m_connection->socket.async_connect(m_server, errorTo(error));
    if (error || m_timedOut || m_cancelled) {
        ++m_pool.counters().connectFailures;
        m_done = true;
        co_return m_cancelled ? exchange_state::Cancelled : exchange_state::NotSent;
    }
    m_connection->socket.set_option(tcp::no_delay(true), error);
    setDeadline(exchangeDeadline);
    co_return exchange_state::InProgress;
}

task<void> client_exchange::writeRequest(std::shared_ptr<const http_request> request)
{
    const auto self = shared_from_this();
    const auto connection = m_connection;
    boost::system::error_code error;
    http::request_serializer<http::string_body> serializer(*request);
    m_pool.counters().sentBytes += co_await http::async_write(connection->socket, serializer, errorTo(error));
    m_requestWritten = !error;
    m_writeFailed = !!error;
}

task<exchange_state> client_exchange::begin(const http_request &request)
{
    const auto self = shared_from_this();
    if (m_cancelled) {
        m_done = true;
        co_return exchange_state::Cancelled;
    }
    const auto state = co_await send(request);
    // The head may have been read before the cancellation closed the connection.
    if (m_cancelled && hasHead(state)) {
        m_done = true;
        co_return exchange_state::Cancelled;
    }
    co_return state;
}

task<exchange_state> client_exchange::send(const http_request &request)
{
    armTimer(m_options.deadline - bootNow());
    if (!m_options.responseIdField.empty()) {
        m_responseId = toView(request[fromView(m_options.responseIdField)]);
        // Without an ID, a late copy of an earlier response would pass for the response to this request.
        m_options.reuseConnection = m_options.reuseConnection && !m_responseId.empty();
    }
    m_connecting = true;
    const auto connected = co_await connect();
    m_connecting = false;
    if (connected != exchange_state::InProgress) {
        co_return connected;
    }
    // The timer runs on a clock that stands still while the machine is suspended, so it may not have expired.
    if (bootNow() >= m_options.deadline) {
        m_done = true;
        m_timer.cancel();
        abandonConnection();
        co_return exchange_state::NotSent;
    }
    if (request.body().size() <= inlineWriteBytes) {
        boost::system::error_code error;
        http::request_serializer<http::string_body> serializer(request);
        m_pool.counters().sentBytes += co_await http::async_write(m_connection->socket, serializer, errorTo(error));
        m_requestWritten = !error;
        m_writeFailed = !!error;
        if (error && (m_timedOut || m_cancelled)) {
            m_done = true;
            co_return failure(error);
        }
        // After a failed write, a response may still have arrived, for example an early error. The read below shows it.
    } else {
        spawnBackground(m_pool.loop(), writeRequest(std::make_shared<http_request>(request)), "write_request");
    }
    co_return co_await readHead(request.method() == http::verb::head);
}

// A late response to an abandoned request may arrive first. It is recognised by its request ID.
bool client_exchange::isForeignResponse() const
{
    if (m_responseId.empty()) {
        return false;
    }
    const auto id = m_parser->get()[fromView(m_options.responseIdField)];
    return !id.empty() && toView(id) != m_responseId;
}

// A late second copy of a response without the ID could not be told from the response to the next request.
bool client_exchange::isCopyRecognisable() const
{
    return m_options.responseIdField.empty() || !m_parser->get()[fromView(m_options.responseIdField)].empty();
}

task<exchange_state> client_exchange::readHead(bool skipBody)
{
    std::size_t foreignBytes = 0;
    for (int skipped = 0; skipped <= maxSkippedResponses;) {
        m_parser.emplace();
        m_parser->header_limit(maxHeadBytes);
        m_parser->body_limit(maxBodyBytes);
        m_parser->skip(skipBody);
        boost::system::error_code error;
        m_pool.counters().receivedBytes += co_await http::async_read_header(m_connection->socket, m_connection->buffer, *m_parser, errorTo(error));
        if (error) {
            m_done = true;
            co_return failure(error);
        }
        if (m_parser->get().result_int() < 200) {
            ++skipped;
            continue;
        }
        if (m_reused && !m_responseId.empty() && !isCopyRecognisable()) {
            // It may be a copy of the response to an earlier request on this connection.
            break;
        }
        if (!isForeignResponse()) {
            m_bodyEndsAtClose = m_parser->need_eof();
            if (m_parser->is_done()) {
                release();
                co_return exchange_state::Complete;
            }
            co_return exchange_state::InProgress;
        }
        std::string foreign;
        while (!m_parser->is_done() && foreignBytes <= maxForeignBytes) {
            if (const auto state = co_await readSome(foreign); state != exchange_state::InProgress && state != exchange_state::Complete) {
                co_return state;
            }
            foreignBytes += foreign.size();
            foreign.clear();
        }
        if (foreignBytes > maxForeignBytes) {
            break;
        }
        ++skipped;
    }
    cancel();
    m_done = true;
    co_return exchange_state::Malformed;
}

task<exchange_state> client_exchange::readSome(std::string &out)
{
    const auto self = shared_from_this();
    if (m_cancelled || m_timedOut || m_overBudget) {
        m_done = true;
        co_return failure({});
    }
    if (m_parser->is_done()) {
        release();
        co_return exchange_state::Complete;
    }
    const std::size_t before = out.size();
    out.resize(before + maxReadBytes);
    auto &body = m_parser->get().body();
    body.data = out.data() + before;
    body.size = maxReadBytes;
    body.more = true;
    boost::system::error_code error;
    m_pool.counters().receivedBytes += co_await http::async_read_some(m_connection->socket, m_connection->buffer, *m_parser, errorTo(error));
    out.resize(before + maxReadBytes - body.size);
    // Bytes that were already in the buffer arrive in a later turn of the loop, which may be after the cancellation.
    if (m_cancelled || m_overBudget) {
        out.resize(before);
        m_done = true;
        co_return failure({});
    }
    if (error == http::error::need_buffer) {
        error = {};
    }
    if (error) {
        m_done = true;
        co_return failure(error);
    }
    if (!m_parser->is_done()) {
        co_return exchange_state::InProgress;
    }
    // The kernel reports a reset once. If the write got that report, the read sees an orderly end.
    if (m_bodyEndsAtClose && m_writeFailed) {
        m_done = true;
        co_return exchange_state::Lost;
    }
    if (!isForeignResponse()) {
        release();
    }
    co_return exchange_state::Complete;
}

task<exchange_state> client_exchange::readAll(std::string &out, std::size_t limit)
{
    while (true) {
        const auto state = co_await readSome(out);
        if (state == exchange_state::Complete) {
            if (m_held) {
                m_held->complete();
            }
            co_return state;
        }
        if (state == exchange_state::InProgress && out.size() <= limit) {
            holdBytes(out.size());
            continue;
        }
        // Nobody reads a part of a body; while the request goes on elsewhere it would only use up the budget.
        out = std::string();
        m_held.reset();
        if (state == exchange_state::InProgress) {
            cancel();
            co_return exchange_state::Malformed;
        }
        co_return state;
    }
}

void client_exchange::holdBytes(std::size_t bytes)
{
    if (!m_options.countBody || (bytes == 0 && !m_held)) {
        return;
    }
    if (!m_held) {
        m_held.emplace(m_pool.bodies(), [this] {
            m_overBudget = true;
            m_timer.cancel();
            if (!m_done) {
                abandonConnection();
            }
        });
    }
    m_held->set(bytes);
}

// Returns the connection to the pool only when the request and response were both complete and nothing is left in the buffer.
void client_exchange::release()
{
    if (m_done) {
        return;
    }
    m_done = true;
    m_timer.cancel();
    const bool reusable = m_options.keepConnection && m_requestWritten && !m_bodyEndsAtClose && m_parser->keep_alive() && m_connection->buffer.size() == 0
        && !m_cancelled && isCopyRecognisable();
    if (!reusable) {
        boost::system::error_code ignored;
        m_connection->socket.close(ignored);
        return;
    }
    m_connection->idleLimit = idleLimitOf(m_parser->get());
    m_pool.put(m_server, m_connection);
}

bool client_exchange::connecting() const
{
    return m_connecting;
}

bool client_exchange::requestSent() const
{
    return m_requestWritten;
}

const http::response_header<> &client_exchange::head() const
{
    return m_parser->get();
}

bool client_exchange::endsWithConnection() const
{
    return m_bodyEndsAtClose;
}

task<absl::StatusOr<http_response>> callServer(connection_pool &pool, tcp::endpoint server, http_request request, exchange_options options)
{
    const auto exchange = std::make_shared<client_exchange>(pool, server, options);
    request.prepare_payload();
    auto state = co_await exchange->begin(request);
    http_response response;
    if (state == exchange_state::InProgress) {
        state = co_await exchange->readAll(response.body(), maxControlResponseBytes);
    }
    if (state != exchange_state::Complete) {
        const std::string message = std::string(toView(request.target())) + ": " + std::string(toText(state));
        co_return state == exchange_state::NotSent ? absl::UnavailableError(message) : absl::UnknownError(message);
    }
    response.base() = exchange->head();
    co_return response;
}

}
