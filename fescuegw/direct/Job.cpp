#include "fescuegw/direct/Job.h"

namespace fescuegw::direct {

std::string_view toString(JobOutcome::Kind kind)
{
    switch (kind) {
    case JobOutcome::Kind::Completed:
        return "completed";
    case JobOutcome::Kind::Failed:
        return "failed";
    case JobOutcome::Kind::NotRun:
        return "not-run";
    case JobOutcome::Kind::MayHaveRun:
        return "may-have-run";
    case JobOutcome::Kind::Abandoned:
        return "abandoned";
    }
    return "may-have-run";
}

std::string_view toString(StepTrait trait)
{
    switch (trait) {
    case StepTrait::Together:
        return "together";
    case StepTrait::Lasting:
        return "lasting";
    case StepTrait::Leftover:
        return "leftover";
    }
    return "unknown";
}

} // namespace fescuegw::direct
