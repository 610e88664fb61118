#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Orders the daemons a caller should try: a few chosen by rendezvous hash of the organisation, so that its requests meet warm prefix cache
/// estimates, in at least two failure domains; those close to the caller first, loaded and draining ones last.
address_result decideAddresses(const address_input &input);

}
