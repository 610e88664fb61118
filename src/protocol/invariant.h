#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// System invariants, in the order of docs/invariants.md. The values are their numbers there.
enum class invariant {
    NoConflictingOrders = 1,
    NoRequestLostToPlannedChange,
    NoOrderWithoutAuthority,
    KeyDecidesOrganisation,
    SingleProvisioner,
    SingleWindowReport,
    CompleteOwnResponse,
    NotRunIsTrue,
    AtMostOnce,
    NoWorkForLeaving,
    GracefulShutdown,
    ConfigurationNeverReverts,
};

using invariant_handler = std::function<void(invariant which, std::string_view detail)>;

/// Replaces the handler of violations and returns the previous one. The default handler logs the violation and aborts. Thread-safe.
invariant_handler setInvariantHandler(invariant_handler handler);

/// Calls the violation handler when `holds` is false.
void checkInvariant(bool holds, invariant which, std::string_view detail);

}
