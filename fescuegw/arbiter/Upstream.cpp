#include "fescuegw/arbiter/Upstream.h"

namespace fescuegw::arbiter {

std::string_view toString(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::Lapsed:
        return "lapsed";
    case RunEnd::Other:
        return "other";
    }
    return "other";
}

std::string_view toString(StartVerdict verdict)
{
    switch (verdict) {
    case StartVerdict::Accepted:
        return "accepted";
    case StartVerdict::Fenced:
        return "fenced";
    case StartVerdict::Superseded:
        return "superseded";
    case StartVerdict::Late:
        return "late";
    case StartVerdict::NoRoom:
        return "no_room";
    case StartVerdict::Unhealthy:
        return "unhealthy";
    case StartVerdict::Invalid:
        return "invalid";
    case StartVerdict::OtherProcess:
        return "other_process";
    case StartVerdict::Unanswered:
        return "unanswered";
    }
    return "unanswered";
}

} // namespace fescuegw::arbiter
