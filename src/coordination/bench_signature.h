#pragma once

#include <cmath>
#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace lacewinglock
{

/// Signature of a series of decisions. Figures enter as whole thousandths in little-endian order, so that no formatting is involved.
class bench_signature
{
public:
    void add(std::string_view text)
    {
        add(static_cast<std::uint64_t>(text.size()));
        m_value = XXH64(text.data(), text.size(), m_value);
    }

    void add(double figure)
    {
        add(static_cast<std::uint64_t>(std::llround(figure * 1000)));
    }

    void add(std::uint64_t number)
    {
        unsigned char bytes[8];
        for (unsigned index = 0; index < 8; ++index) {
            bytes[index] = static_cast<unsigned char>(number >> (8 * index));
        }
        m_value = XXH64(bytes, sizeof(bytes), m_value);
    }

    std::uint64_t value() const
    {
        return m_value;
    }

private:
    std::uint64_t m_value = 0;
};

}
