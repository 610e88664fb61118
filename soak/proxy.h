#pragma once

#include "soak/loop.h"

#include <memory>
#include <set>

namespace faultsoak
{

enum class link_mode {
    Pass,
    Delay, ///< Each piece waits.
    Silent, ///< Connections stay open and carry nothing, new ones neither.
    OneWay, ///< Nothing comes back.
    Refuse, ///< Connections are reset, new ones too.
};

/// A TCP proxy on loopback whose connections can be harmed from outside the processes.
class proxy
{
public:
    proxy(asio::io_context &loop, tcp::endpoint target);

    std::string address() const;
    void setMode(link_mode mode);
    void setTarget(tcp::endpoint target);
    /// Resets the open connections; new ones pass.
    void resetConnections();

private:
    struct link;
    task<void> accept();
    task<void> open(std::shared_ptr<link> pair);
    task<void> pump(std::shared_ptr<link> pair, bool back);

    asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    link_mode m_mode = link_mode::Pass;
    std::set<std::shared_ptr<link>> m_links;
};

}
