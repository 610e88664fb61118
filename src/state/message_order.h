#pragma once

#include <cstdint>
#include <optional>
#include <utility>

namespace lacewinglock
{

/// Tells new messages of a sender from late and repeated ones. Messages carry an epoch, which changes when the sender starts anew, and a sequence that
/// increases within an epoch.
class message_order
{
public:
    /// Returns true for a message that is newer than all before it.
    bool accept(std::uint64_t epoch, std::uint64_t sequence)
    {
        if (m_formerEpoch == epoch || (m_epoch == epoch && sequence <= m_sequence)) {
            return false;
        }
        if (m_epoch != epoch) {
            m_formerEpoch = std::exchange(m_epoch, epoch);
        }
        m_sequence = sequence;
        return true;
    }

private:
    std::optional<std::uint64_t> m_epoch; ///< Empty before the first message.
    std::optional<std::uint64_t> m_formerEpoch;
    std::uint64_t m_sequence = 0;
};

}
