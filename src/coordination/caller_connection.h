#pragma once

#include <httplib.h>

namespace lacewinglock
{

/// Detects that the caller of one request has closed its connection. cpp-httplib gives handlers no access to the socket before the
/// response starts, so the socket is found by its addresses. Valid while the request's handler runs.
class caller_connection
{
public:
    explicit caller_connection(const httplib::Request &request);

    /// Returns whether the caller has closed its side of the connection; false when the socket was not found.
    bool isClosedByCaller() const;

private:
    int m_socket = -1;
};

}
