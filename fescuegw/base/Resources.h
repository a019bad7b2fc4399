// What a task needs and an upstream has.
#pragma once

#include <compare>
#include <cstdint>

namespace fescuegw {

struct Resources {
    // Thousandths of a core.
    int64_t coresMilli = 0;
    int64_t memoryMb = 0;
    int64_t gpus = 0;

    // Returns whether all of this is at most what `room` has.
    bool fitsInto(const Resources& room) const
    {
        return coresMilli <= room.coresMilli && memoryMb <= room.memoryMb && gpus <= room.gpus;
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

} // namespace fescuegw
