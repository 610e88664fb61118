#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace lacewinglock
{

class byte_share;

/// Bounds the sum of the bytes that a process holds for many exchanges. It belongs to one event loop and is not thread-safe.
class byte_budget
{
public:
    explicit byte_budget(std::size_t limit);

    /// Takes effect with the next change of a share.
    void setLimit(std::size_t limit);
    /// Bytes in all shares.
    std::size_t held() const;
    /// Number of shares that were given up since the start.
    std::uint64_t givenUp() const;

private:
    friend class byte_share;

    void enforce();

    std::size_t m_limit;
    std::size_t m_held = 0;
    std::uint64_t m_givenUp = 0;
    std::set<byte_share *> m_growing;
};

/// The bytes that one exchange holds. When the budget is exceeded, the largest share that still grows is given up: what has no end grows to be that.
class byte_share
{
public:
    /// `giveUp` is called from set() of this or another share; the holder then frees its bytes.
    byte_share(std::shared_ptr<byte_budget> budget, std::function<void()> giveUp);
    ~byte_share();
    byte_share(const byte_share &) = delete;
    byte_share &operator=(const byte_share &) = delete;

    void set(std::size_t bytes);
    /// The bytes are complete: they count until this object ends, but are not given up.
    void complete();

private:
    friend class byte_budget;

    std::shared_ptr<byte_budget> m_budget;
    std::function<void()> m_giveUp;
    std::size_t m_bytes = 0;
    bool m_givenUp = false;
};

}
