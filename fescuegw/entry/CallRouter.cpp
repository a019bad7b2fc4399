#include "fescuegw/entry/CallRouter.h"

#include <vector>

namespace fescuegw::entry {

namespace {

    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr int statusGone = 410;
    constexpr int statusUnavailable = 503;
    constexpr int statusTimeout = 504;
    // A forwarded call, or its answer, may have been lost with a link: it is sent again, which is idempotent by its key.
    constexpr Duration forwardRepeat = std::chrono::seconds(5);
    constexpr Duration tickInterval = std::chrono::milliseconds(50);
    // Added to the caller's wait so that the owner's own "still running" comes first.
    constexpr Duration forwardGrace = std::chrono::milliseconds(1000);

} // namespace

CallRouter::CallRouter(std::string self, dispatch::Dispatcher& dispatcher, group::StateClient& state, RouterHooks hooks)
    : m_self(std::move(self))
    , m_dispatcher(dispatcher)
    , m_state(state)
    , m_hooks(std::move(hooks))
{
}

void CallRouter::accept(TimePoint now, Call call, const http::Request& request, AnswerHook answerHook)
{
    Routed routed;
    routed.due = now + call.wait;
    routed.call = std::move(call);
    routed.answer = std::move(answerHook);
    routed.request = request;
    add(now, std::move(routed));
}

void CallRouter::acceptForwarded(TimePoint now, Call call, Duration wait, AnswerHook answerHook)
{
    Routed routed;
    routed.due = now + wait;
    routed.call = std::move(call);
    routed.answer = std::move(answerHook);
    routed.forwardable = false;
    add(now, std::move(routed));
}

void CallRouter::add(TimePoint now, Routed routed)
{
    const uint64_t id = ++m_nextId;
    routed.received = now;
    m_calls[id] = std::move(routed);
    route(now, id);
}

// Returns what the view in force doesn't know of `call`. Submissions that ran under a configuration that is gone are still
// found: their service keeps its owner.
std::optional<Error> CallRouter::unknown(const Call& call) const
{
    if (call.kind != CallKind::Submit && call.kind != CallKind::SingleRequest)
        return std::nullopt;
    if (m_dispatcher.team(call.key.team) == nullptr)
        return Error { Verdict::NotRun, statusNotFound, "unknown team " + call.key.team };
    if (!m_dispatcher.owner(call.service).empty())
        return std::nullopt;
    for (const auto& team : m_dispatcher.view().teams())
        for (const auto& service : team.services())
            if (service.name() == call.service)
                return std::nullopt;
    return Error { Verdict::NotRun, statusNotFound, "unknown service " + call.service };
}

// Refuses a call of a team or service that does not exist. Views lag by up to a heartbeat, and the caller may know of a
// configuration through another entry: the call waits until a view that is at least as new as itself says the same.
bool CallRouter::refuseUnknown(TimePoint now, uint64_t id)
{
    Routed& routed = m_calls.at(id);
    const auto error = unknown(routed.call);
    if (!error)
        return false;
    const TimePoint* confirmed = m_state.confirmedAsOf();
    if (confirmed != nullptr && *confirmed >= routed.received) {
        answer(id, http::problem(*error));
    } else if (!m_state.reachable()) {
        answer(id, http::problem({ Verdict::NotRun, statusUnavailable, error->detail + ", as far as a cut-off entry can tell" }));
    } else {
        routed.parked = true;
        m_state.refreshView(now);
    }
    return true;
}

void CallRouter::route(TimePoint now, uint64_t id)
{
    Routed& routed = m_calls.at(id);
    routed.parked = false;
    routed.forwardedTo.clear();
    if (routed.call.service.empty()) {
        locate(now, id);
        return;
    }
    if (refuseUnknown(now, id))
        return;
    if (dispatch::ServiceDispatcher* service = m_dispatcher.owned(routed.call.service)) {
        serveHere(now, id, *service);
        return;
    }
    if (!routed.forwardable) {
        const AnswerHook hook = std::move(routed.answer);
        m_calls.erase(id);
        hook(nullptr);
        return;
    }
    const std::string owner = m_dispatcher.owner(routed.call.service);
    if (owner.empty() || owner == m_self)
        routed.parked = true;
    else
        forward(now, id, owner);
}

void CallRouter::locate(TimePoint now, uint64_t id)
{
    m_state.lookup(now, m_calls.at(id).call.key, [this, id](TimePoint then, const wire::LookupReply& reply) {
        const auto it = m_calls.find(id);
        if (it == m_calls.end())
            return;
        Routed& routed = it->second;
        if (!reply.found()) {
            answer(id, http::problem({ Verdict::NotRun, statusNotFound, "no such submission, or older than the retention" }));
            return;
        }
        const wire::StoredClaim& claim = reply.claim();
        if (!claim.finished()) {
            routed.call.service = claim.claim().service();
            route(then, id);
            return;
        }
        if (routed.call.kind == CallKind::Cancel) {
            answer(id, http::problem({ Verdict::Ran, statusConflict, "the submission has finished" }));
            return;
        }
        dispatch::Reply done { dispatch::Reply::Kind::Done, claim.outcome(), {} };
        if (claim.answer_expired())
            done = { dispatch::Reply::Kind::Refused, {},
                { Verdict::Ran, statusGone, "finished earlier; its answer is no longer kept" } };
        answer(id, renderReply(routed.call, done));
    });
}

void CallRouter::serveHere(TimePoint now, uint64_t id, dispatch::ServiceDispatcher& service)
{
    Routed& routed = m_calls.at(id);
    const dispatch::ReplyHook reply = [this, id](const dispatch::Reply& it) { onReply(id, it); };
    routed.handedOver = true;
    if (routed.call.kind == CallKind::Submit || routed.call.kind == CallKind::SingleRequest) {
        service.submit(now, routed.call.spec, *m_dispatcher.team(routed.call.key.team), routed.due, reply);
        return;
    }
    const SubmissionKey key = routed.call.key;
    const bool cancels = routed.call.kind == CallKind::Cancel;
    if (!service.attach(now, key, routed.due, reply)) {
        // It ended meanwhile, or is being loaded after a takeover: the replicated state knows.
        routed.call.service.clear();
        routed.parked = true;
        return;
    }
    if (cancels)
        service.cancel(now, key);
}

void CallRouter::forward(TimePoint now, uint64_t id, const std::string& owner)
{
    Routed& routed = m_calls.at(id);
    routed.forwardedTo = owner;
    routed.forwardedAt = now;
    routed.handedOver = true;
    ++m_forwarded;
    wire::ForwardRequest request;
    request.set_forward_id(id);
    request.set_method(routed.request.method);
    request.set_path(routed.request.path);
    request.set_body(routed.request.body);
    request.set_traceparent(routed.request.traceparent);
    request.set_service(routed.call.service);
    const Duration left = routed.due > now ? routed.due - now : Duration(0);
    request.set_wait_ms(static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
    m_hooks.forward(owner, request);
}

void CallRouter::onForwardReply(TimePoint /*now*/, const wire::ForwardReply& reply)
{
    const auto it = m_calls.find(reply.forward_id());
    if (it == m_calls.end() || it->second.forwardedTo.empty())
        return;
    if (reply.not_owner()) {
        it->second.forwardedTo.clear();
        it->second.parked = true;
        return;
    }
    http::Response response;
    response.status = static_cast<int>(reply.status());
    response.body = reply.body();
    response.contentType = reply.content_type();
    response.retryAfter = reply.retry_after();
    answer(reply.forward_id(), response);
}

void CallRouter::onForwardUndeliverable(TimePoint /*now*/, uint64_t forwardId)
{
    const auto it = m_calls.find(forwardId);
    if (it == m_calls.end())
        return;
    it->second.forwardedTo.clear();
    it->second.parked = true;
}

void CallRouter::onReply(uint64_t id, const dispatch::Reply& reply)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    if (reply.kind == dispatch::Reply::Kind::NotOwner) {
        it->second.parked = true;
        return;
    }
    answer(id, renderReply(it->second.call, reply));
}

void CallRouter::answer(uint64_t id, const http::Response& response)
{
    const auto it = m_calls.find(id);
    const AnswerHook hook = std::move(it->second.answer);
    m_calls.erase(it);
    hook(&response);
}

void CallRouter::expire(uint64_t id)
{
    const Routed& routed = m_calls.at(id);
    if (!routed.handedOver) {
        answer(id, http::problem({ Verdict::NotRun, statusUnavailable, "no entry owns the service yet" }));
        return;
    }
    answer(id, http::problem({ Verdict::MayHaveRun, statusTimeout, "no answer in time; ask again with the same id" }));
}

void CallRouter::tick(TimePoint now)
{
    if (now < m_tickDue)
        return;
    m_tickDue = now + tickInterval;
    std::vector<uint64_t> again;
    std::vector<uint64_t> expired;
    for (const auto& it : m_calls) {
        const Routed& routed = it.second;
        const bool forwarded = !routed.forwardedTo.empty();
        const bool moved = forwarded && m_dispatcher.owner(routed.call.service) != routed.forwardedTo;
        const bool overdue = forwarded && now - routed.forwardedAt >= forwardRepeat;
        const TimePoint end = routed.due + forwardGrace;
        if (now >= end)
            expired.push_back(it.first);
        else if (routed.parked || moved || overdue)
            again.push_back(it.first);
    }
    for (const uint64_t id : expired)
        if (m_calls.contains(id))
            expire(id);
    for (const uint64_t id : again)
        if (m_calls.contains(id))
            route(now, id);
}

} // namespace fescuegw::entry
