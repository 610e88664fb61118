#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Orders the daemons that a caller should try. A small subset is chosen by rendezvous hash of the organisation, so that its requests reach
/// daemons that already have prefix cache estimates for its prompts; the subset spans at least two failure domains if the cell has them.
/// Daemons of the subset come first, those in the caller's failure domain before others. Overloaded daemons come after all others, and draining
/// ones last.
address_result decideAddresses(const address_input &input);

}
