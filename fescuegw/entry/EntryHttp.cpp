// HTTP handlers of the entry: the callers' API, and the operators' API on the administrative address.
#include <charconv>

#include <nlohmann/json.hpp>

#include "fescuegw/entry/EntryServer.h"
#include "fescuegw/logging/Log.h"
#include "fescuegw/questionnaire/Questionnaire.h"

namespace fescuegw::entry {

using logging::Event;
using logging::Level;
using nlohmann::json;

namespace {

    constexpr int statusBadRequest = 400;
    constexpr int statusUnauthorized = 401;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;
    constexpr Duration maxReportAge = std::chrono::seconds(40);
    // Several heartbeat replies arrive within this time while the group is reachable.
    constexpr Duration maxContactAge = std::chrono::seconds(3);
    constexpr std::string_view teamsPrefix = "/v1/teams/";
    constexpr std::string_view questionnaireSuffix = "/questionnaire";

    std::string stateName(wire::UpstreamState state)
    {
        switch (state) {
        case wire::SERVING:
            return "serving";
        case wire::LEAVING:
            return "leaving";
        default:
            return "absent";
        }
    }

    std::string parameter(const http::Request& request, const std::string& name)
    {
        const auto it = request.query.find(name);
        return it == request.query.end() ? "" : it->second;
    }

    // Compares in a time that does not depend on where the strings differ, to prevent timing attacks.
    bool constantTimeEquals(std::string_view a, std::string_view b)
    {
        unsigned difference = a.size() == b.size() ? 0 : 1;
        for (size_t i = 0; i < a.size() && i < b.size(); ++i)
            difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
        return difference == 0;
    }

    json renderGroup(const wire::GroupStatusReply& group)
    {
        json replicas = json::array();
        for (const auto& it : group.replicas())
            replicas.push_back(
                { { "id", it.id() }, { "address", it.address() }, { "voter", it.voter() }, { "match_index", it.match_index() } });
        json entries = json::array();
        for (const auto& it : group.entries())
            entries.push_back({ { "entry", it.entry().entry() }, { "address", it.entry().address() },
                { "draining", it.entry().draining() }, { "configuration_version", it.configuration_version() } });
        return { { "leader", group.leader() }, { "term", group.term() }, { "commit_index", group.commit_index() },
            { "replicas", replicas }, { "entries", entries } };
    }

    json renderAgents(const std::vector<wire::AgentReport>& reports)
    {
        json agents = json::array();
        for (const auto& it : reports)
            agents.push_back({ { "agent", it.agent() }, { "incarnation", it.incarnation() }, { "domain", it.domain() },
                { "service", it.service() }, { "state", stateName(it.state()) }, { "slots", it.slots() },
                { "running", it.running() }, { "configuration_version", it.configuration_version() } });
        return agents;
    }

} // namespace

void EntryServer::handleCaller(http::Request request, const http::Responder& respond)
{
    if (const auto answer = daemon::answerAdministrative(request, m_ready, m_metrics)) {
        respond(*answer);
        return;
    }
    const trace::Context parent = trace::parse(request.traceparent);
    const trace::Context span = trace::child(parent);
    const uint64_t startUs = trace::wallClockUs();
    request.traceparent = trace::format(span);
    auto call = parseCall(request);
    if (!call) {
        respond(http::problem(call.error()));
        return;
    }
    const AnswerHook answer = [this, respond, parent, span, startUs](const http::Response* response) {
        // The response is never null here: only calls forwarded by another entry end without one.
        m_recorder.record(parent, span, "entry", startUs, trace::wallClockUs(), response->status < 400);
        respond(*response);
    };
    m_hub->post([this, call = std::move(*call), request = std::move(request), answer](TimePoint now) {
        if (!m_dispatcher->hasView()) {
            const http::Response response
                = http::problem({ Verdict::NotRun, statusUnavailable, "no configuration is confirmed yet" });
            answer(&response);
            return;
        }
        m_router->accept(now, call, request, answer);
    });
}

bool EntryServer::isOperator(const http::Request& request) const
{
    return constantTimeEquals(request.authorization, "Bearer " + m_settings.operatorToken);
}

void EntryServer::handleOperator(const http::Request& request, const http::Responder& respond)
{
    if (const auto answer = daemon::answerAdministrative(request, m_ready, m_metrics)) {
        respond(*answer);
        return;
    }
    if (!isOperator(request)) {
        respond(http::problem({ Verdict::NotRun, statusUnauthorized, "operators need their bearer token" }));
        return;
    }
    const std::string& path = request.path;
    if (path == "/v1/status" && request.method == "GET") {
        m_hub->post([this, respond](TimePoint now) { answerStatus(now, respond); });
        return;
    }
    if (path == "/v1/state/replace" && request.method == "POST") {
        const std::string added = parameter(request, "add");
        const std::string replaced = parameter(request, "replaces");
        const auto address = settings::parseAddress(parameter(request, "address"));
        wire::MembershipRequest change;
        uint64_t id = 0;
        uint64_t replacedId = 0;
        std::from_chars(added.data(), added.data() + added.size(), id);
        std::from_chars(replaced.data(), replaced.data() + replaced.size(), replacedId);
        if (id == 0 || !address) {
            respond(
                http::problem({ Verdict::NotRun, statusBadRequest, "add: a new replica id; address: an IP number and a port" }));
            return;
        }
        change.set_remove_id(replacedId);
        change.mutable_add()->set_id(id);
        change.mutable_add()->set_address(address->text());
        m_hub->post([this, change, respond](TimePoint now) { replaceReplica(now, change, respond); });
        return;
    }
    if (path.starts_with(teamsPrefix) && path.ends_with(questionnaireSuffix) && request.method == "PUT") {
        const std::string team = path.substr(teamsPrefix.size(), path.size() - teamsPrefix.size() - questionnaireSuffix.size());
        const std::string changeId = parameter(request, "change");
        const auto plan = questionnaire::plan("questionnaire", request.body);
        if (!plan || plan->team() != team || !isValidName(changeId)) {
            const std::string why = !plan ? plan.error()
                : plan->team() != team    ? "the questionnaire is of team " + plan->team()
                                          : "change: a name is required";
            respond(http::problem({ Verdict::NotRun, statusBadRequest, why }));
            return;
        }
        wire::ApplyConfiguration change;
        change.set_change_id(changeId);
        *change.mutable_configuration() = *plan;
        m_hub->post([this, change, respond](TimePoint now) { applyQuestionnaire(now, change, respond); });
        return;
    }
    if (path.starts_with(teamsPrefix) && request.method == "GET") {
        m_hub->post([this, team = path.substr(teamsPrefix.size()), respond](TimePoint) { answerTeam(team, respond); });
        return;
    }
    respond(http::problem({ Verdict::NotRun, statusNotFound, "unknown path" }));
}

void EntryServer::applyQuestionnaire(TimePoint /*now*/, const wire::ApplyConfiguration& change, const http::Responder& respond)
{
    wire::Command command;
    *command.mutable_apply() = change;
    m_state->propose(command, [respond, change](TimePoint, const wire::CommandResult& result) {
        if (result.code() != wire::ACCEPTED) {
            respond(http::problem({ Verdict::NotRun, statusConflict, result.detail() }));
            return;
        }
        Event(Level::Info, "questionnaire_applied")
            .with("team", change.configuration().team())
            .with("change", change.change_id())
            .with("version", result.version());
        const json body = { { "team", change.configuration().team() }, { "change", change.change_id() },
            { "configuration_version", result.version() } };
        respond(http::Response { 200, body.dump() });
    });
}

void EntryServer::answerTeam(const std::string& name, const http::Responder& respond)
{
    const wire::TeamConfiguration* team = m_dispatcher->team(name);
    if (team == nullptr) {
        respond(http::problem({ Verdict::NotRun, statusNotFound, "unknown team " + name }));
        return;
    }
    const json body = { { "team", name }, { "version", team->version() }, { "change", team->change_id() },
        { "settings", questionnaire::describe(*team) } };
    respond(http::Response { 200, body.dump() });
}

void EntryServer::replaceReplica(TimePoint now, const wire::MembershipRequest& change, const http::Responder& respond)
{
    wire::StateRequest request;
    *request.mutable_membership() = change;
    m_state->request(now, request, [respond](TimePoint, const wire::StateReply& reply) {
        if (!reply.membership().accepted()) {
            respond(http::problem({ Verdict::NotRun, statusConflict, reply.membership().reason() }));
            return;
        }
        respond(http::Response { 202, json { { "state", "joining" } }.dump() });
    });
}

void EntryServer::answerStatus(TimePoint now, const http::Responder& respond)
{
    json services = json::array();
    for (const auto& it : m_dispatcher->view().ownerships())
        services.push_back({ { "service", it.service() }, { "owner", it.owner() }, { "epoch", it.epoch() } });
    json body = { { "entry", m_identity }, { "configuration_version", m_dispatcher->view().configuration_version() },
        { "services", services }, { "agents", renderAgents(m_dispatcher->agents(now, maxReportAge)) } };
    // Without recent contact to the state group, the entry reports this instead of waiting for a reply.
    const TimePoint* contact = m_state->lastContact();
    if (contact == nullptr || now - *contact > maxContactAge) {
        body["group"] = renderGroup({});
        body["state_contact"] = false;
        respond(http::Response { 200, body.dump() });
        return;
    }
    body["state_contact"] = true;
    wire::StateRequest request;
    request.mutable_group_status();
    m_state->request(now, request, [respond, body](TimePoint, const wire::StateReply& reply) mutable {
        body["group"] = renderGroup(reply.group_status());
        respond(http::Response { 200, body.dump() });
    });
}

} // namespace fescuegw::entry
