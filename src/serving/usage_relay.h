#pragma once

#include "serving/edge_context.h"

namespace lacewinglock
{

/// Writes a row of final usage counts, through the relay of the own failure domain if there is one, which commits the rows of many daemons in one call.
/// If the relay fails, this daemon writes the row itself. A repeated write of the same row changes nothing, because final counts do not change.
task<commit_outcome> writeFinalUsage(edge_context &context, row_write write);

/// Handles the HTTP request of another member to write a row of its usage counts.
task<void> serveUsageWrite(edge_context &context, received_request &request, server_reply &reply);
/// Whether the request is one for serveUsageWrite().
bool isUsageWrite(const received_request &request);

}
