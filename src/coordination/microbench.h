#pragma once

#include <ostream>

namespace lacewinglock
{

/// Prints the time of one admission (enter and leave) at several numbers of organisations and waiting requests.
void benchAdmission(std::ostream &out);

/// Prints decisions per second and the time of one route decision at several numbers of endpoints.
void benchRouting(std::ostream &out);

}
