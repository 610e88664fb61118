// A sound engine falls silent for a second in a resumable stream, and another engine is asked to go on. The machine of the daemon freezes for a moment, in
// which both engines send. Checks that the client gets each piece of the stream once.

#include "common/deployment.h"

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace review
{

namespace
{

using nlohmann::json;

constexpr int streamCount = 10;
constexpr int engineCount = 2;
constexpr int pieceCount = 20;
constexpr int piecesBeforeSilence = 7;
constexpr int piecesInFreeze = 12; // Up to this one, the engine that was silent sends at once when it goes on.
constexpr std::int64_t pieceMs = 20;
constexpr std::int64_t stepMs = 60; // Between the freeze and what the engines send in it.
constexpr std::int64_t freezeMs = 400;
constexpr std::int64_t deadlineMs = 4000;

std::string view(beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

/// An event with the pieces from `first` to `last`, marked with the run that made them. Its id is the number of its last piece.
std::string event(const std::string &run, int first, int last)
{
    std::string data;
    for (int piece = first; piece <= last; ++piece) {
        data += (data.empty() ? "" : ",") + run + std::to_string(piece);
    }
    return "id: " + std::to_string(last) + "\ndata: " + data + "\n\n";
}

task<bool> write(tcp::socket &socket, std::string bytes)
{
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(bytes), errorTo(error));
    co_return !error;
}

class silence_case
{
public:
    silence_case(asio::io_context &loop, const std::string &folder, const std::string &temporary)
        : m_loop(loop)
        , m_record(folder + "/record.txt")
        , m_store(loop, m_oracle)
    {
        writeConfiguration();
        for (int i = 0; i < engineCount; ++i) {
            startEngine(i);
        }
        m_daemons.push_back(std::make_unique<edge_process>(temporary, "edge-0", "zone-0", "127.0.0.1:" + std::to_string(m_store.endpoint().port())));
        m_daemons.back()->start();
    }

    task<int> run()
    {
        if (!co_await awaitReady(m_daemons)) {
            m_record.write("the daemon did not become ready");
            co_return notRun;
        }
        for (int i = 0; i < streamCount; ++i) {
            co_await sendStream(i);
            co_await sleepMs(300);
        }
        m_record.write("streams: " + std::to_string(streamCount) + ", asked for at a second engine: " + std::to_string(m_takeovers)
                       + ", with a piece that is missing or comes twice: " + std::to_string(m_spoilt));
        if (m_daemons.front()->hasEnded() || m_whole + m_spoilt == 0 || m_takeovers == 0) {
            co_return notRun;
        }
        co_return m_spoilt > 0 ? broken : held;
    }

private:
    void writeConfiguration()
    {
        const json route = {
            {"name", "lookup"},
            {"hostname", "host.example"},
            {"path-prefix", "/lookup/"},
            {"route-type", "streaming"},
            {"timeout-ms", deadlineMs},
            {"target-latency-ms", 300},
            {"target-gap-ms", 200},
            {"priority", 0},
            {"session-affinity", true},
            {"resumable", true},
            {"service", "manual-reader"},
            {"max-attempts", 2},
            {"auth-exempt", false},
        };
        const json engine
            = {{"slots", 64}, {"kv-tokens", 502633}, {"kv-token-bytes", 18432}, {"link-mbps", 170000.0}, {"handle-ttl-s", 5.0}, {"reconfig-s", 3.0}};
        const json document = {
            {"version", 7},
            {"routes", {route}},
            {"services", {{{"name", "manual-reader"}, {"health-path", "/healthz"}, {"max-connections", 370}, {"engine", engine}}}},
            {"tenants", {{{"name", "osier"}, {"api-keys", {"key-osier"}}}}},
        };
        m_store.put("op", "config", document.dump());
    }

    void startEngine(int index)
    {
        const std::string id = "engine-" + std::to_string(index);
        m_engines.push_back(std::make_unique<http_stand_in>(m_loop, [this, id](const request &message, tcp::socket &socket) {
            return serve(id, message, socket);
        }));
        const json row = {
            {"service", "manual-reader"},
            {"address", "127.0.0.1:" + std::to_string(m_engines.back()->endpoint().port())},
            {"zone", "zone-0"},
            {"version", "v1"},
            {"slots", 64},
            {"state", "ready"},
            {"stage", "decode"},
            {"cold-remaining-ms", 0},
            {"sequence", 1},
            {"born", std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()},
        };
        m_store.put("servers", id, row.dump());
    }

    task<bool> serve(std::string id, const request &message, tcp::socket &socket)
    {
        const std::string requestId = view(message["X-Request-Id"]);
        if (view(message["X-Expect-Instance"]) != id) {
            co_return co_await sendResponse(socket, 421, "", "X-Request-Id: " + requestId + "\r\nX-Not-Executed: 1\r\n");
        }
        const std::string lastEvent = view(message["Last-Event-Id"]);
        m_record.write(id + " runs " + requestId + (lastEvent.empty() ? "" : ", goes on after event " + lastEvent));
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: " + requestId
            + "\r\nX-Response-Seal: seal-" + id + "\r\nKeep-Alive: timeout=5\r\n\r\n";
        if (lastEvent.empty()) {
            co_return co_await serveFirst(head, socket);
        }
        co_return co_await serveSecond(head, std::stoi(lastEvent), socket);
    }

    // Falls silent between two events, and goes on when the other engine has been asked.
    task<bool> serveFirst(std::string head, tcp::socket &socket)
    {
        m_goOn = std::make_shared<asio::steady_timer>(m_loop, std::chrono::milliseconds(1500));
        const auto goOn = m_goOn;
        bool open = co_await write(socket, head);
        for (int piece = 1; open && piece <= piecesBeforeSilence; ++piece) {
            open = co_await write(socket, chunk(event("a", piece, piece)));
            co_await sleepMs(pieceMs);
        }
        boost::system::error_code ignored; // Cancelled when the engine goes on.
        co_await goOn->async_wait(errorTo(ignored));
        std::string events;
        for (int piece = piecesBeforeSilence + 1; piece <= piecesInFreeze; ++piece) {
            events += event("a", piece, piece);
        }
        open = co_await write(socket, chunk(events));
        for (int piece = piecesInFreeze + 1; open && piece <= pieceCount; ++piece) {
            co_await sleepMs(pieceMs);
            open = co_await write(socket, chunk(event("a", piece, piece)));
        }
        open = open && co_await write(socket, "0\r\n\r\n");
        m_record.write(open ? "the first engine has sent the whole stream" : "the first engine's connection is closed");
        co_return open;
    }

    // Goes on after the event that it is told, with several pieces in an event.
    task<bool> serveSecond(std::string head, int last, tcp::socket &socket)
    {
        ++m_takeovers;
        const auto &daemon = m_daemons.front();
        if (withTrouble()) {
            daemon->signal(SIGSTOP);
            m_record.write("the daemon is frozen");
        }
        co_await sleepMs(stepMs);
        m_goOn->cancel();
        co_await sleepMs(stepMs);
        bool open = co_await write(socket, head);
        for (int first = last + 1; open && first <= pieceCount; first += 3) {
            open = co_await write(socket, chunk(event("b", first, std::min(first + 2, pieceCount))));
        }
        if (withTrouble()) {
            co_await sleepMs(freezeMs - 2 * stepMs);
            daemon->signal(SIGCONT);
            m_record.write("the daemon goes on");
        }
        co_return open &&co_await write(socket, "0\r\n\r\n");
    }

    task<void> sendStream(int number)
    {
        const std::string id = "lookup-" + std::to_string(number);
        const std::map<std::string, std::string> fields{{"Host", "host.example"},
                                                        {"X-Request-Id", id},
                                                        {"X-Deadline-Ms", std::to_string(deadlineMs)},
                                                        {"X-Api-Key", "key-osier"},
                                                        {"X-Model-Name", "m"},
                                                        {"X-Token-Counts", "383,20"},
                                                        {"X-Prefix-Hash", "5c1e:92,91bd:37," + std::to_string(1000 + number) + ":254"}};
        const std::string body(770, 'x');
        const auto answer = co_await sendRequest(m_daemons.front()->front, http::verb::post, "/lookup/1", fields, body, deadlineMs);
        checkStream(id, answer);
    }

    void checkStream(const std::string &id, const client_answer &answer)
    {
        std::string pieces;
        int expected = 1;
        bool inOrder = true;
        std::istringstream lines(answer.body);
        for (std::string line; std::getline(lines, line);) {
            if (!line.starts_with("data: ")) {
                continue;
            }
            std::istringstream list(line.substr(6));
            for (std::string piece; std::getline(list, piece, ',');) {
                pieces += " " + piece;
                inOrder = inOrder && std::stoi(piece.substr(1)) == expected++;
            }
        }
        const bool spoilt = answer.status == 200 && (!inOrder || (answer.whole && expected != pieceCount + 1));
        m_spoilt += spoilt ? 1 : 0;
        m_whole += answer.status == 200 && answer.whole && !spoilt ? 1 : 0;
        m_record.write(id + " answered " + std::to_string(answer.status) + (answer.whole ? ", whole" : ", broken off")
                       + (spoilt ? ", a piece is missing or comes twice:" : ", pieces:") + pieces);
    }

    asio::io_context &m_loop;
    record m_record;
    oracle m_oracle;
    store_stand_in m_store;
    std::vector<std::unique_ptr<http_stand_in>> m_engines;
    std::vector<std::unique_ptr<edge_process>> m_daemons;
    std::shared_ptr<asio::steady_timer> m_goOn; ///< Cancelled when the silent engine is to go on.
    int m_takeovers = 0;
    int m_spoilt = 0;
    int m_whole = 0;
};

}

}

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: case FOLDER TEMPORARY_FOLDER\n";
        return review::notRun;
    }
    return review::runCase<review::silence_case>(argv[1], argv[2]);
}
