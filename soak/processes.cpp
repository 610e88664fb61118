#include "soak/processes.h"

#include "soak/loop.h"

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

std::string freeAddress()
{
    // Below the ports that the kernel gives out, so that no other socket takes one before the daemon listens there or while it is down.
    constexpr int firstPort = 20000;
    constexpr int ports = 12000;
    constexpr int portsPerRun = 97; // Runs at the same time begin at different places.
    static int next = getpid() * portsPerRun % ports;
    asio::io_context loop;
    while (true) {
        next = (next + 1) % ports;
        const tcp::endpoint address(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(firstPort + next));
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
    , m_addresses(freeAddress())
{
    const nlohmann::json settings = {
        {"id", m_id},
        {"failure_domain", std::move(failureDomain)},
        {"caller_address", freeAddress()},
        {"ready_address", freeAddress()},
        {"addresses_address", m_addresses},
        {"peer_address", freeAddress()},
        {"metrics_address", freeAddress()},
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
    m_sent = 0;
    const std::string flag = "--settings=" + m_settingsFile;
    const std::string log = m_directory + "/" + m_id + ".log";
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execl(m_program.c_str(), m_program.c_str(), flag.c_str(), nullptr);
        _exit(127);
    }
}

void daemon_process::signal(int number)
{
    if (m_pid > 0) {
        if (number == SIGKILL || number == SIGTERM) {
            m_sent = number;
        }
        kill(m_pid, number);
    }
}

bool daemon_process::ended()
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
    const bool expected = bySignal ? m_sent != 0 && (WTERMSIG(status) == m_sent || WTERMSIG(status) == SIGKILL) : m_sent == SIGTERM && WEXITSTATUS(status) == 0;
    m_crashed = m_crashed || !expected;
    return true;
}

bool daemon_process::running() const
{
    return m_pid > 0;
}

bool daemon_process::crashed() const
{
    return m_crashed;
}

const std::string &daemon_process::addressesAddress() const
{
    return m_addresses;
}

const std::string &daemon_process::id() const
{
    return m_id;
}

}
