#pragma once

#include "soak/asio_helpers.h"
#include "soak/endpoint_demands.h"
#include "soak/oracle.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Stand-ins for the peers of the daemons: the platform's store and API, and endpoints.
namespace faultsoak
{

/// HTTP server that handles each request in a coroutine.
class http_stand_in
{
public:
    using request_handler = std::function<task<bool>(const request &, tcp::socket &)>; ///< Sends the response; false closes the connection.

    http_stand_in(asio::io_context &loop, request_handler handler);
    tcp::endpoint endpoint() const;
    /// Stops listening and resets all connections; the port is free afterwards.
    void stop();

private:
    struct server_state;
    static task<void> accept(std::shared_ptr<server_state> state);
    static task<void> serve(std::shared_ptr<server_state> state, std::shared_ptr<tcp::socket> socket);

    std::shared_ptr<server_state> m_state;
};

/// Sends a complete response with Content-Length. Returns false after a write error. Header fields end with CRLF each.
task<bool> sendResponse(tcp::socket &socket, int status, std::string_view body, std::string_view headerFields = "");

enum class store_mode {
    Normal, ///< Requests are processed.
    Unavailable, ///< Every request gets 503.
    DropResponses, ///< Requests take effect; every second one gets no response.
    Slow, ///< Every response is delayed.
};

/// The platform's store: tables with conditional writes and a change feed, and usage reports checked by fencing token.
class store_stand_in
{
public:
    store_stand_in(asio::io_context &loop, oracle &testOracle);

    tcp::endpoint endpoint() const;
    void setMode(store_mode mode);
    /// Writes a row as the operator or an endpoint would, in any store mode.
    void put(const std::string &table, const std::string &key, const std::string &value);
    /// Removes a row, in any store mode.
    void remove(const std::string &table, const std::string &key);
    /// Discards the feed's history, so that readers of an older version get 410.
    void compact();
    /// Keeps a copy of the tables to restore from; the oldest is dropped when there are many.
    void keepCopy();
    /// Goes back to the newest copy that is at least `ageMs` old, or the oldest one. What was written since is gone, and another era begins.
    void restore(std::int64_t ageMs);
    /// Writes the rows of the operator and of the endpoints that still run again that the last restore lost, except those that were written since.
    /// An endpoint that has ended since can't write its row.
    void writeLostRowsAgain(const std::function<bool(const std::string &id)> &runs);

private:
    struct stored_row
    {
        std::string value; ///< The value in base64.
        std::uint64_t version = 0;
    };
    struct feed_entry
    {
        std::uint64_t version = 0;
        std::string table;
        std::string key;
        bool removed = false;
    };
    struct table_state
    {
        std::map<std::pair<std::string, std::string>, stored_row> rows;
        std::vector<feed_entry> changes;
        std::uint64_t latestVersion = 1;
        std::uint64_t compactedVersion = 0; ///< The feed holds only changes after this version.
    };
    struct table_copy
    {
        std::int64_t timeMs = 0;
        table_state state;
    };

    task<bool> respond(const request &message, tcp::socket &socket);
    task<std::pair<int, std::string>> dispatch(const request &message);
    std::string rowsGet(const std::map<std::string, std::string> &query) const;
    task<std::pair<int, std::string>> rowsFeed(std::map<std::string, std::string> query);
    std::pair<int, std::string> rowsTx(const std::string &body);
    std::pair<int, std::string> acceptUsageReport(const request &message);
    std::string eraField() const;
    void recordChange(const std::string &table, const std::string &key, bool removed);

    oracle &m_oracle;
    table_state m_state;
    std::deque<table_copy> m_copies;
    table_copy m_lost; ///< The tables before the last restore.
    std::uint64_t m_era = 1;
    std::uint64_t m_highestFencingToken = 0;
    store_mode m_mode = store_mode::Normal;
    std::uint64_t m_requestCount = 0;
    http_stand_in m_server;
};

/// Parts of prompts with ids that start like this crash the engine that begins to write an answer on them.
constexpr std::string_view crashingPartPrefix = "dead";

/// One endpoint: a plain service or a streaming engine.
class endpoint_stand_in
{
public:
    using crash_handler = std::function<void(const std::string &id)>;

    /// `onCrash` is called when a prompt has crashed the endpoint.
    endpoint_stand_in(asio::io_context &loop,
                      oracle &testOracle,
                      endpoint_demands &demands,
                      std::string id,
                      bool streaming,
                      std::uint64_t seed,
                      crash_handler onCrash);

    tcp::endpoint endpoint() const;
    const std::string &id() const;
    /// Whether it has not crashed.
    bool running() const;
    /// Stops the server and resets its connections.
    void crash();
    /// While set, every second request on average runs without a complete response.
    void setDropResponses(bool dropResponse);
    /// Requests a second that it names as its limit in every answer; nullopt: none.
    void setLimit(std::optional<double> perSecond);
    /// From now on, every answer says that it leaves; the store does not show it.
    void sayLeaving();
    /// While positive, requests are refused, and each refusal asks for a pause of this length.
    void setPause(std::int64_t pauseMs);
    /// While set, it repeats its last refusal in front of every second answer, and ends every fourth in its head.
    void setGarbles(bool garbles);
    /// While set, it resets the connection of each request without running it.
    void setResets(bool resets);

private:
    task<bool> respond(const request &message, tcp::socket &socket);
    task<bool> refuse(const std::string &id, tcp::socket &socket, int status, std::int64_t pauseMs = 0);
    std::string demandHeaders(const std::string &id);

    oracle &m_oracle;
    endpoint_demands &m_demands;
    std::optional<double> m_limit;
    bool m_leaving = false;
    std::int64_t m_pauseMs = 0;
    bool m_garbles = false;
    bool m_resets = false;
    std::string m_lastRefusal;
    std::string m_id;
    bool m_streaming;
    crash_handler m_onCrash;
    bool m_dropResponses = false;
    int m_runningRequests = 0;
    std::mt19937_64 m_random;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    http_stand_in m_server;
};

}
