#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// The twelve properties of docs/invariants.md, in its order.
enum class invariant {
    NoConflictingOrders = 1,
    NoCutByPlannedChange,
    NoOrderWithoutAuthority,
    KeyDecidesOrganisation,
    SingleProvisioner,
    SingleWindowReport,
    WholeOwnAnswer,
    TrueNotRun,
    AtMostOnce,
    NoWorkForLeaving,
    GracefulShutdown,
    ConfigurationNeverReverts,
};

using invariant_handler = std::function<void(invariant which, std::string_view detail)>;

/// Replaces the action taken on a violation and returns the former one. The default logs the violation and aborts.
invariant_handler setInvariantHandler(invariant_handler handler);

/// Reports a violation when the condition is false.
void checkInvariant(bool holds, invariant which, std::string_view detail);

}
