#include "common/deployment.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

record::record(const std::string &path)
    : m_file(path)
    , m_startMs(nowMs())
{
}

void record::write(const std::string &line)
{
    m_file << elapsedMs() << " " << line << std::endl;
}

std::int64_t record::elapsedMs() const
{
    return nowMs() - m_startMs;
}

std::string unusedAddress()
{
    constexpr int firstPort = 20000;
    constexpr int portCount = 12000;
    static int offset = getpid() * 97 % portCount;
    asio::io_context loop;
    while (true) {
        offset = (offset + 1) % portCount;
        tcp::acceptor probe(loop);
        boost::system::error_code error;
        probe.open(tcp::v4());
        probe.bind({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(firstPort + offset)}, error);
        if (!error) {
            return loopbackAddress(probe);
        }
    }
}

bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

namespace
{

tcp::endpoint toEndpoint(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}

task<client_answer>
sendRequest(std::string address, http::verb method, std::string target, std::map<std::string, std::string> fields, std::string body, std::int64_t timeoutMs)
{
    client_answer out;
    tcp::socket socket(co_await asio::this_coro::executor);
    close_timer timer(socket, timeoutMs);
    boost::system::error_code error;
    co_await socket.async_connect(toEndpoint(address), errorTo(error));
    if (error) {
        co_return out;
    }
    request message(method, target, 11);
    for (const auto &[name, value] : fields) {
        message.set(name, value);
    }
    message.body() = std::move(body);
    message.prepare_payload();
    co_await http::async_write(socket, message, errorTo(error));
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::uint64_t{1} << 30U);
    co_await http::async_read_header(socket, buffer, parser, errorTo(error));
    if (error) {
        co_return out;
    }
    co_await http::async_read(socket, buffer, parser, errorTo(error));
    timer.cancel();
    out.status = parser.get().result_int();
    out.whole = !error && parser.is_done();
    out.sealed = parser.get().find("X-Response-Seal") != parser.get().end();
    out.body = parser.get().body();
    co_return out;
}

edge_process::edge_process(std::string directory, std::string id, std::string zone, std::string platformAddress)
    : front(unusedAddress())
    , ready(unusedAddress())
    , m_settingsFile(directory + "/" + id + ".json")
    , m_logFile(directory + "/" + id + ".log")
{
    // The fields of deploy/settings.json.tmpl, with the bounds of the site.
    const nlohmann::json settings = {
        {"id", id},
        {"failure_domain", zone},
        {"caller_address", front},
        {"ready_address", ready},
        {"addresses_address", unusedAddress()},
        {"peer_address", unusedAddress()},
        {"metrics_address", unusedAddress()},
        {"store_address", platformAddress},
        {"orders_address", platformAddress},
        {"revoke_bound_ms", 5000},
        {"configuration_bound_ms", 2000},
        {"drain_bound_ms", 2000},
        {"shutdown_grace_ms", 8000},
        {"usage_window_ms", 5000},
        {"usage_due_ms", 10000},
        {"retry_window_ms", 10000},
        {"retry_ratio", 0.2},
        {"retry_slack", 58},
        {"capacity", 0.25},
    };
    std::ofstream(m_settingsFile) << settings.dump(2);
}

edge_process::~edge_process()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void edge_process::start()
{
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        closefrom(STDERR_FILENO + 1);
        setenv("LACEWINGLOCK_CONFIG", m_settingsFile.c_str(), 1);
        execl("target/lacewinglock-edge", "target/lacewinglock-edge", nullptr);
        _exit(127);
    }
}

void edge_process::signal(int number)
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

bool edge_process::hasEnded()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid <= 0;
}

std::size_t edge_process::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return file && m_pid > 0 ? resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

task<bool> awaitReady(const std::vector<std::unique_ptr<edge_process>> &daemons)
{
    const auto end = nowMs() + 15000;
    for (const auto &daemon : daemons) {
        while ((co_await sendRequest(daemon->ready, http::verb::get, "/-/ready", {}, "", 500)).status != 200) {
            if (nowMs() > end) {
                co_return false;
            }
            co_await sleepMs(100);
        }
    }
    co_return true;
}

}
