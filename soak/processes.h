#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace faultsoak
{

/// One daemon process on loopback. Signals go only to the process started here, by its process id; it is killed when this process ends.
class daemon_process
{
public:
    /// Writes the settings file of the daemon.
    daemon_process(std::string program, std::string directory, std::string id, std::string failureDomain, std::string storeAddress);
    ~daemon_process();
    daemon_process(const daemon_process &) = delete;
    daemon_process &operator=(const daemon_process &) = delete;

    /// Starts the process; its output is appended to ID.log in the directory.
    void start();
    /// Sends a signal unless the process has ended.
    void sendSignal(int signalNumber);
    /// Returns whether the process has ended, and reaps it.
    bool reapIfEnded();
    bool running() const;
    /// Whether it runs and was sent SIGTERM or SIGKILL.
    bool ending() const;
    /// Returns whether the process has ever ended other than by a signal sent from here or with status 0 after SIGTERM.
    bool crashed() const;
    /// Address at which the daemon answers name resolution, as HOST:PORT.
    const std::string &resolverAddress() const;
    /// Address at which the daemon takes requests, as HOST:PORT.
    const std::string &callerAddress() const;
    const std::string &id() const;

private:
    std::string m_program;
    std::string m_directory;
    std::string m_id;
    std::string m_settingsFile;
    std::string m_resolverAddress;
    std::string m_callerAddress;
    pid_t m_pid = -1;
    int m_terminationSignal = 0; ///< The last SIGKILL or SIGTERM sent since the start; 0 without one.
    bool m_crashed = false;
};

/// Selects an unused loopback address, as HOST:PORT.
std::string unusedAddress();

}
