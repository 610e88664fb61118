#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Decides which endpoints of a group to order and which to release, by failure domain. After the steps, the remaining endpoints still cover the
/// demand and the group's minimum if any one failure domain loses all its reclaimable endpoints. Ordinary endpoints are ordered where reclaimable
/// ones are not available. An endpoint is released once its idle time has cost more than reacquiring it would.
provision_result decideProvision(const provision_input &input);

}
