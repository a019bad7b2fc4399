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

// A request crashes each upstream that runs it. While its team has retry tokens, it would be sent to one after another.
Test(Submission, aRequestThatBreaksItsUpstreamsIsGivenUp)
{
    Submission submission = repeatable();
    int starts = 0;
    while (submission.hasQueued() && starts < 10) {
        submission.fail(0, submission.beginAttempt(now, 0, agent), Verdict::MayHaveRun, "broken", true);
        ++starts;
    }
    cr_assert_eq(starts, 3);
    cr_assert(submission.settled());
    cr_assert_eq(submission.outcome().tasks(0).verdict(), wire::MAY_HAVE_RUN);

    Submission answered = repeatable();
    for (int n = 0; n < 5; ++n)
        answered.fail(0, answered.beginAttempt(now, 0, agent), Verdict::Ran, "status 500", true);
    cr_assert(answered.hasQueued(), "an upstream that answers has not crashed");
}
