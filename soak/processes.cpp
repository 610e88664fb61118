#include "soak/processes.h"

#include "soak/asio_helpers.h"

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace faultsoak
{

std::string unusedAddress()
{
    // Below the kernel's ephemeral port range, so that no other socket takes the port before the daemon listens on it or while the daemon is down.
    constexpr int firstPort = 20000;
    constexpr int portCount = 12000;
    constexpr int startOffsetStep = 97; // Concurrent runs start their search at different ports.
    static int nextOffset = getpid() * startOffsetStep % portCount;
    asio::io_context loop;
    while (true) {
        nextOffset = (nextOffset + 1) % portCount;
        const tcp::endpoint address(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(firstPort + nextOffset));
        tcp::acceptor probe(loop);
        boost::system::error_code error;
        probe.open(tcp::v4());
        if (!probe.bind(address, error)) {
            return loopbackAddress(probe);
        }
    }
}

daemon_process::daemon_process(std::string program, std::string directory, std::string id, std::string failureDomain, std::string storeAddress)
    : m_program(std::move(program))
    , m_directory(std::move(directory))
    , m_id(std::move(id))
    , m_settingsFile(m_directory + "/" + m_id + ".json")
    , m_resolverAddress(unusedAddress())
    , m_callerAddress(unusedAddress())
{
    const nlohmann::json settings = {
        {"id", m_id},
        {"failure_domain", std::move(failureDomain)},
        {"caller_address", m_callerAddress},
        {"ready_address", unusedAddress()},
        {"addresses_address", m_resolverAddress},
        {"peer_address", unusedAddress()},
        {"metrics_address", unusedAddress()},
        {"store_address", storeAddress},
        {"orders_address", storeAddress},
        {"orders_endpoints", false},
        {"address_life_ms", 500},
    };
    std::ofstream(m_settingsFile) << settings.dump(2);
}

daemon_process::~daemon_process()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void daemon_process::start()
{
    m_terminationSignal = 0;
    const std::string flag = "--settings=" + m_settingsFile;
    const std::string log = m_directory + "/" + m_id + ".log";
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int logFile = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(logFile, STDOUT_FILENO);
        dup2(logFile, STDERR_FILENO);
        closefrom(STDERR_FILENO + 1); // A listening socket that the daemon inherits would accept connections after it was closed here.
        execl(m_program.c_str(), m_program.c_str(), flag.c_str(), nullptr);
        _exit(127);
    }
}

void daemon_process::sendSignal(int signalNumber)
{
    if (m_pid > 0) {
        if (signalNumber == SIGKILL || signalNumber == SIGTERM) {
            m_terminationSignal = signalNumber;
        }
        kill(m_pid, signalNumber);
    }
}

bool daemon_process::reapIfEnded()
{
    if (m_pid <= 0) {
        return true;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return false;
    }
    m_pid = -1;
    const bool bySignal = WIFSIGNALED(status);
    const bool expected = bySignal ? m_terminationSignal != 0 && (WTERMSIG(status) == m_terminationSignal || WTERMSIG(status) == SIGKILL)
                                   : m_terminationSignal == SIGTERM && WEXITSTATUS(status) == 0;
    m_crashed = m_crashed || !expected;
    return true;
}

bool daemon_process::running() const
{
    return m_pid > 0;
}

bool daemon_process::ending() const
{
    return m_pid > 0 && m_terminationSignal != 0;
}

bool daemon_process::crashed() const
{
    return m_crashed;
}

const std::string &daemon_process::resolverAddress() const
{
    return m_resolverAddress;
}

const std::string &daemon_process::callerAddress() const
{
    return m_callerAddress;
}

const std::string &daemon_process::id() const
{
    return m_id;
}

}
