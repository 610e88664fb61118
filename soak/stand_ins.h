#pragma once

#include "soak/loop.h"
#include "soak/oracle.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// Small stand-ins of what surrounds the daemons: the platform's store and API, and endpoints.
namespace faultsoak
{

/// An HTTP server that answers each request by a coroutine. Its connections can be closed all at once.
class http_stand_in
{
public:
    using answer = std::function<task<bool>(const request &, tcp::socket &)>; ///< False closes the connection.

    http_stand_in(asio::io_context &loop, answer handler);
    tcp::endpoint endpoint() const;
    /// Closes everything; the port is free afterwards.
    void stop();

private:
    struct shared;
    static task<void> accept(std::shared_ptr<shared> state);
    static task<void> serve(std::shared_ptr<shared> state, std::shared_ptr<tcp::socket> socket);

    std::shared_ptr<shared> m_state;
};

/// Writes a whole answer with a length.
task<bool> sendAnswer(tcp::socket &socket, int status, std::string_view body, std::string_view fields = "");

enum class store_mode {
    Up,
    Down, ///< 503.
    LosesAnswers, ///< Calls take effect; every second one is not answered.
    Slow,
};

/// Tables with conditional writes and a feed, usage reports with fences.
class store_stand_in
{
public:
    store_stand_in(asio::io_context &loop, oracle &judge);

    tcp::endpoint endpoint() const;
    void setMode(store_mode mode);
    /// Writes as the operator or an endpoint does; acknowledged at once.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /// Forgets the feed's history.
    void compact();

private:
    struct stored_row
    {
        std::string value; ///< base64
        std::uint64_t version = 0;
    };
    struct change
    {
        std::uint64_t version = 0;
        std::string table;
        std::string key;
        bool removed = false;
    };

    task<bool> answer(const request &message, tcp::socket &socket);
    task<std::pair<int, std::string>> handle(const request &message);
    std::string rowsGet(const std::map<std::string, std::string> &query) const;
    task<std::pair<int, std::string>> rowsFeed(std::map<std::string, std::string> query);
    std::pair<int, std::string> rowsTx(const std::string &body);
    std::pair<int, std::string> usage(const request &message);
    void note(const std::string &table, const std::string &key, bool removed);

    oracle &m_oracle;
    std::map<std::pair<std::string, std::string>, stored_row> m_rows;
    std::vector<change> m_changes;
    std::uint64_t m_version = 1;
    std::uint64_t m_oldest = 0; ///< The feed knows what came after it.
    std::uint64_t m_highestFence = 0;
    store_mode m_mode = store_mode::Up;
    std::uint64_t m_calls = 0;
    http_stand_in m_server;
};

/// One endpoint: a plain service, or an engine that streams.
class endpoint_stand_in
{
public:
    endpoint_stand_in(asio::io_context &loop, oracle &judge, std::string id, bool streams, std::uint64_t seed);

    tcp::endpoint endpoint() const;
    const std::string &id() const;
    void crash();
    /// Every second request is run and its answer lost.
    void loseAnswers(bool lose);

private:
    task<bool> answer(const request &message, tcp::socket &socket);

    oracle &m_oracle;
    std::string m_id;
    bool m_streams;
    bool m_lose = false;
    int m_running = 0;
    std::mt19937_64 m_random;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    http_stand_in m_server;
};

}
