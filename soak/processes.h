#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace faultsoak
{

/// One daemon process on loopback. Only processes that were started here are signalled, by their ids, and they end with this one.
class daemon_process
{
public:
    daemon_process(std::string program, std::string directory, std::string id, std::string failureDomain, std::string storeAddress);
    ~daemon_process();
    daemon_process(const daemon_process &) = delete;
    daemon_process &operator=(const daemon_process &) = delete;

    void start();
    void signal(int number);
    /// True when the process has ended; takes its status.
    bool ended();
    bool running() const;
    /// It ended by itself with an error, or by a signal that was not sent from here.
    bool crashed() const;
    const std::string &addressesAddress() const;
    const std::string &id() const;

private:
    std::string m_program;
    std::string m_directory;
    std::string m_id;
    std::string m_settingsFile;
    std::string m_addresses;
    pid_t m_pid = -1;
    int m_sent = 0; ///< Last signal that ends a process.
    bool m_crashed = false;
};

/// An unused loopback address.
std::string freeAddress();

}
