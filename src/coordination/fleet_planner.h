#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Decides which endpoints of a group to order and which to give back, by failure domain. After the steps, the loss of all reclaimable
/// endpoints of any one failure domain leaves the promised service. Where the cheaper kind cannot be had, the ordinary kind is ordered.
/// An endpoint is given back when its idle time has cost more than getting it back would.
provision_result decideProvision(const provision_input &input);

}
