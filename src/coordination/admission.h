#pragma once

#include "protocol/decisions.h"

namespace lacewinglock
{

/// Decides whether a request runs now, waits or is refused. The same input always gives the same result.
admit_result decideAdmission(const admit_input &input);

}
