#pragma once

#include <httplib.h>

namespace lacewinglock
{

/// The connection of one caller request, watched for the caller's leaving. cpp-httplib gives handlers no access to the socket before
/// the answer starts, so the socket is found by its addresses. Valid while the request's handler runs.
class caller_connection
{
public:
    explicit caller_connection(const httplib::Request &request);

    /// The caller has closed its side. False when the socket was not found.
    bool gone() const;

private:
    int m_socket = -1;
};

}
