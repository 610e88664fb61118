#pragma once

#include "soak/asio_helpers.h"
#include "soak/oracle.h"
#include "soak/stand_ins.h"

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

/// A small deployment on loopback for the cases of the review: daemons as processes, and stand-ins of the platform, clients and servers.
namespace review
{

using namespace faultsoak;

/// Exit codes of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

/// Lines of record.txt, with the milliseconds since the start of the case.
class record
{
public:
    explicit record(const std::string &path);
    void write(const std::string &line);
    std::int64_t elapsedMs() const;

private:
    std::ofstream m_file;
    std::int64_t m_startMs;
};

/// A response as a client received it.
struct client_answer
{
    int status = 0; ///< 0 without a whole response head.
    bool whole = false; ///< The body reached the end that the framing announced.
    bool sealed = false;
    std::string body;
};

/// Sends a request on a new connection and reads the response.
task<client_answer>
sendRequest(std::string address, http::verb method, std::string target, std::map<std::string, std::string> fields, std::string body, std::int64_t timeoutMs);

/// A daemon, started with the command of the deploy file. It is killed when this object ends.
class edge_process
{
public:
    edge_process(std::string directory, std::string id, std::string zone, std::string platformAddress);
    ~edge_process();
    edge_process(const edge_process &) = delete;
    edge_process &operator=(const edge_process &) = delete;

    void start();
    void signal(int number);
    /// Returns whether the process has ended, and reaps it.
    bool hasEnded();
    /// Resident memory in bytes; 0 if the process has ended.
    std::size_t residentBytes() const;

    std::string front;
    std::string ready;

private:
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_pid = -1;
};

/// An unused loopback address, as HOST:PORT, outside the range of ephemeral ports.
std::string unusedAddress();

/// Whether the environment asks for the run with the disruption.
bool withTrouble();

/// Waits until all daemons are ready. Returns false after 15 s.
task<bool> awaitReady(const std::vector<std::unique_ptr<edge_process>> &daemons);

/// Runs a case, which is constructed from the event loop, the folder of its record and a temporary folder. Returns its exit code.
template <typename Case>
int runCase(const char *folder, const char *temporary)
{
    asio::io_context loop(1);
    int result = notRun;
    Case run(loop, folder, temporary);
    asio::co_spawn(loop, run.run(), [&](const std::exception_ptr &failure, int code) {
        result = failure ? notRun : code;
        loop.stop();
    });
    loop.run();
    return result;
}

}
