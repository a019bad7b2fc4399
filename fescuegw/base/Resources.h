// Resources of tasks and upstreams.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace fescuegw {

struct Resources {
    // Thousandths of a core.
    int64_t coresMilli = 0;
    int64_t memoryMb = 0;
    int64_t gpus = 0;

    // Returns whether no component exceeds that of `available`.
    bool fitsInto(const Resources& available) const
    {
        return coresMilli <= available.coresMilli && memoryMb <= available.memoryMb && gpus <= available.gpus;
    }

    Resources& operator+=(const Resources& other)
    {
        coresMilli += other.coresMilli;
        memoryMb += other.memoryMb;
        gpus += other.gpus;
        return *this;
    }

    Resources& operator-=(const Resources& other)
    {
        coresMilli -= other.coresMilli;
        memoryMb -= other.memoryMb;
        gpus -= other.gpus;
        return *this;
    }

    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
    friend bool operator==(const Resources&, const Resources&) = default;
};

// Componentwise minimum and maximum.
inline Resources componentMin(const Resources& a, const Resources& b)
{
    return { std::min(a.coresMilli, b.coresMilli), std::min(a.memoryMb, b.memoryMb), std::min(a.gpus, b.gpus) };
}

inline Resources componentMax(const Resources& a, const Resources& b)
{
    return { std::max(a.coresMilli, b.coresMilli), std::max(a.memoryMb, b.memoryMb), std::max(a.gpus, b.gpus) };
}

} // namespace fescuegw
