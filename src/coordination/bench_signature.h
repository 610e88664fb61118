#pragma once

#include <cmath>
#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace lacewinglock
{

/// Hash over a series of decisions. Floating-point values are rounded to thousandths and hashed as little-endian integers, which avoids any formatting.
class bench_signature
{
public:
    void add(std::string_view text)
    {
        add(static_cast<std::uint64_t>(text.size()));
        m_value = XXH64(text.data(), text.size(), m_value);
    }

    void add(double number)
    {
        add(static_cast<std::uint64_t>(std::llround(number * 1000)));
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
