// Tests of the ends of attempts of repeatable requests.
#include <criterion/criterion.h>

#include "fescuegw/dispatch/Submission.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::dispatch;

const TimePoint now { std::chrono::hours(1) };
const AgentId agent { "a1", 7 };

Submission repeatable()
{
    SubmissionSpec spec;
    spec.durable = false;
    spec.tasks.resize(1);
    return { now, spec };
}

} // namespace

// A request is to be retried when its caller's deadline passes. Its first attempt may have run, and the caller must not be told
// that nothing has.
Test(Submission, anAbandonedRetryIsNotCalledNotRun)
{
    for (const Verdict verdict : { Verdict::MayHaveRun, Verdict::Ran }) {
        Submission submission = repeatable();
        submission.fail(0, submission.beginAttempt(now, 0, agent), verdict, "broken", true);
        cr_assert(submission.hasQueued());
        submission.abandon("deadline");
        cr_assert_eq(submission.outcome().tasks(0).verdict(), wire::MAY_HAVE_RUN);
    }
    Submission refused = repeatable();
    refused.endNotRun(0, refused.beginAttempt(now, 0, agent));
    refused.abandon("deadline");
    cr_assert_eq(refused.outcome().tasks(0).verdict(), wire::NOT_RUN);
}
