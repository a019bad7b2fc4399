// Conversions between fescuegw::Verdict and its protobuf enum.
#pragma once

#include <registry.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::wire {

inline Verdict toWire(fescuegw::Verdict verdict)
{
    switch (verdict) {
    case fescuegw::Verdict::NotRun:
        return NOT_RUN;
    case fescuegw::Verdict::MayHaveRun:
        return MAY_HAVE_RUN;
    case fescuegw::Verdict::Ran:
        return RAN;
    }
    return MAY_HAVE_RUN;
}

// Returns MayHaveRun for values unknown to this version.
inline fescuegw::Verdict fromWire(Verdict verdict)
{
    switch (verdict) {
    case NOT_RUN:
        return fescuegw::Verdict::NotRun;
    case RAN:
        return fescuegw::Verdict::Ran;
    default:
        return fescuegw::Verdict::MayHaveRun;
    }
}

} // namespace fescuegw::wire
