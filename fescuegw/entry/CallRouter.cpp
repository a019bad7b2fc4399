#include "fescuegw/entry/CallRouter.h"

#include <vector>

namespace fescuegw::entry {

namespace {

    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr int statusGone = 410;
    constexpr int statusUnavailable = 503;
    constexpr int statusTimeout = 504;
    // A forwarded call or its reply may be lost when a link breaks. Sending the call again is idempotent by its key.
    constexpr Duration forwardRetryInterval = std::chrono::seconds(5);
    constexpr Duration tickInterval = std::chrono::milliseconds(50);
    // Added to the caller's wait time so that the owner's "still running" reply arrives before the call expires here.
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
    PendingCall pending;
    pending.deadline = now + call.wait;
    pending.call = std::move(call);
    pending.answer = std::move(answerHook);
    pending.request = request;
    add(now, std::move(pending));
}

void CallRouter::acceptForwarded(TimePoint now, Call call, Duration wait, AnswerHook answerHook)
{
    PendingCall pending;
    pending.deadline = now + wait;
    pending.call = std::move(call);
    pending.answer = std::move(answerHook);
    pending.forwardable = false;
    add(now, std::move(pending));
}

void CallRouter::add(TimePoint now, PendingCall pending)
{
    const uint64_t id = ++m_nextId;
    pending.receivedAt = now;
    m_calls[id] = std::move(pending);
    route(now, id);
}

// Returns an error if the team or service of `call` is not in the current view. A service that has been removed from the
// configuration keeps its owner, so that its earlier submissions are still found.
std::optional<Error> CallRouter::checkTarget(const Call& call) const
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

// Refuses a call whose team or service does not exist. The view may be out of date by up to one heartbeat, and the caller
// may have learnt of a newer configuration through another entry, so the call waits for a view that was confirmed after it
// was received.
bool CallRouter::refuseUnknownTarget(TimePoint now, uint64_t id)
{
    PendingCall& pending = m_calls.at(id);
    const auto error = checkTarget(pending.call);
    if (!error)
        return false;
    const TimePoint* confirmed = m_state.confirmedAsOf();
    if (confirmed != nullptr && *confirmed >= pending.receivedAt) {
        answer(id, http::problem(*error));
    } else if (!m_state.reachable()) {
        answer(id, http::problem({ Verdict::NotRun, statusUnavailable, error->detail + ", as far as a cut-off entry can tell" }));
    } else {
        pending.needsRouting = true;
        m_state.refreshView(now);
    }
    return true;
}

void CallRouter::route(TimePoint now, uint64_t id)
{
    PendingCall& pending = m_calls.at(id);
    pending.needsRouting = false;
    pending.forwardedTo.clear();
    if (pending.call.service.empty()) {
        lookUpSubmission(now, id);
        return;
    }
    if (refuseUnknownTarget(now, id))
        return;
    if (dispatch::ServiceDispatcher* service = m_dispatcher.owned(pending.call.service)) {
        serveLocally(now, id, *service);
        return;
    }
    if (!pending.forwardable) {
        const AnswerHook hook = std::move(pending.answer);
        m_calls.erase(id);
        hook(nullptr);
        return;
    }
    const std::string owner = m_dispatcher.owner(pending.call.service);
    if (owner.empty() || owner == m_self)
        pending.needsRouting = true;
    else
        forward(now, id, owner);
}

void CallRouter::lookUpSubmission(TimePoint now, uint64_t id)
{
    m_state.lookup(now, m_calls.at(id).call.key, [this, id](TimePoint then, const wire::LookupReply& reply) {
        const auto it = m_calls.find(id);
        if (it == m_calls.end())
            return;
        PendingCall& pending = it->second;
        if (!reply.found()) {
            answer(id, http::problem({ Verdict::NotRun, statusNotFound, "no such submission, or older than the retention" }));
            return;
        }
        const wire::StoredClaim& claim = reply.claim();
        if (!claim.finished()) {
            pending.call.service = claim.claim().service();
            route(then, id);
            return;
        }
        if (pending.call.kind == CallKind::Cancel) {
            answer(id, http::problem({ Verdict::Ran, statusConflict, "the submission has finished" }));
            return;
        }
        dispatch::Reply done { dispatch::Reply::Kind::Done, claim.outcome(), {} };
        if (claim.answer_expired())
            done = { dispatch::Reply::Kind::Refused, {},
                { Verdict::Ran, statusGone, "finished earlier; its answer is no longer kept" } };
        answer(id, renderReply(pending.call, done));
    });
}

void CallRouter::serveLocally(TimePoint now, uint64_t id, dispatch::ServiceDispatcher& service)
{
    PendingCall& pending = m_calls.at(id);
    const dispatch::ReplyHook reply = [this, id](const dispatch::Reply& it) { onReply(id, it); };
    pending.handedToOwner = true;
    if (pending.call.kind == CallKind::Submit || pending.call.kind == CallKind::SingleRequest) {
        service.submit(now, pending.call.spec, *m_dispatcher.team(pending.call.key.team), pending.deadline, reply);
        return;
    }
    const SubmissionKey key = pending.call.key;
    const bool cancels = pending.call.kind == CallKind::Cancel;
    if (!service.attach(now, key, pending.deadline, reply)) {
        // The submission has finished, or is still being loaded after a takeover: look it up in the replicated state again.
        pending.call.service.clear();
        pending.needsRouting = true;
        return;
    }
    if (cancels)
        service.cancel(now, key);
}

void CallRouter::forward(TimePoint now, uint64_t id, const std::string& owner)
{
    PendingCall& pending = m_calls.at(id);
    pending.forwardedTo = owner;
    pending.forwardedAt = now;
    pending.handedToOwner = true;
    ++m_forwardedCount;
    wire::ForwardRequest request;
    request.set_forward_id(id);
    request.set_method(pending.request.method);
    request.set_path(pending.request.path);
    request.set_body(pending.request.body);
    request.set_traceparent(pending.request.traceparent);
    request.set_service(pending.call.service);
    const Duration left = pending.deadline > now ? pending.deadline - now : Duration(0);
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
        it->second.needsRouting = true;
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
    it->second.needsRouting = true;
}

void CallRouter::onReply(uint64_t id, const dispatch::Reply& reply)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    if (reply.kind == dispatch::Reply::Kind::NotOwner) {
        it->second.needsRouting = true;
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
    const PendingCall& pending = m_calls.at(id);
    if (!pending.handedToOwner) {
        answer(id, http::problem({ Verdict::NotRun, statusUnavailable, "no entry owns the service yet" }));
        return;
    }
    answer(id, http::problem({ Verdict::MayHaveRun, statusTimeout, "no answer in time; ask again with the same id" }));
}

void CallRouter::tick(TimePoint now)
{
    if (now < m_nextTick)
        return;
    m_nextTick = now + tickInterval;
    std::vector<uint64_t> toReroute;
    std::vector<uint64_t> expired;
    for (const auto& it : m_calls) {
        const PendingCall& pending = it.second;
        const bool forwarded = !pending.forwardedTo.empty();
        const bool ownerChanged = forwarded && m_dispatcher.owner(pending.call.service) != pending.forwardedTo;
        const bool retryDue = forwarded && now - pending.forwardedAt >= forwardRetryInterval;
        const TimePoint end = pending.deadline + forwardGrace;
        if (now >= end)
            expired.push_back(it.first);
        else if (pending.needsRouting || ownerChanged || retryDue)
            toReroute.push_back(it.first);
    }
    for (const uint64_t id : expired)
        if (m_calls.contains(id))
            expire(id);
    for (const uint64_t id : toReroute)
        if (m_calls.contains(id))
            route(now, id);
}

} // namespace fescuegw::entry
