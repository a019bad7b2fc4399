#include "fescuegw/entry/Call.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include <nlohmann/json.hpp>

#include "fescuegw/http/Json.h"
#include "fescuegw/wire/Verdicts.h"

namespace fescuegw::entry {

namespace {

    using nlohmann::json;

    constexpr int statusAccepted = 202;
    constexpr int statusBadRequest = 400;
    constexpr int statusNotFound = 404;
    constexpr int statusNotAllowed = 405;
    constexpr int statusTooLarge = 413;
    constexpr int statusBadGateway = 502;
    constexpr uint64_t maxWaitSeconds = 600;
    constexpr uint64_t defaultWaitSeconds = 60;
    constexpr uint32_t milliPerCore = 1000;
    // Separates the ids of single requests from those of submissions: names given by callers cannot contain a colon.
    constexpr const char* singleRequestPrefix = "request:";

    Error invalid(const std::string& what, int status = statusBadRequest) { return Error { Verdict::NotRun, status, what }; }

    std::vector<std::string> splitPath(const std::string& path)
    {
        std::vector<std::string> parts;
        size_t start = 1;
        while (start <= path.size()) {
            const size_t end = std::min(path.find('/', start), path.size());
            parts.push_back(path.substr(start, end - start));
            start = end + 1;
        }
        return parts;
    }

    Result<Duration> parseWait(const http::Request& request)
    {
        const auto it = request.query.find("wait");
        uint64_t seconds = defaultWaitSeconds;
        if (it != request.query.end()) {
            const char* last = it->second.data() + it->second.size();
            const auto parsed = std::from_chars(it->second.data(), last, seconds);
            if (parsed.ec != std::errc() || parsed.ptr != last || seconds > maxWaitSeconds)
                return tl::unexpected(invalid("wait: 0 to " + std::to_string(maxWaitSeconds) + " seconds"));
        }
        return std::chrono::seconds(seconds);
    }

    Result<uint32_t> parseCount(const json& object, const char* key, uint64_t defaultValue, uint64_t max)
    {
        const auto it = object.find(key);
        if (it == object.end())
            return static_cast<uint32_t>(defaultValue);
        if (!it->is_number_unsigned() || it->get<uint64_t>() > max)
            return tl::unexpected(invalid(std::string(key) + ": a whole number up to " + std::to_string(max)));
        return it->get<uint32_t>();
    }

    Result<std::string> parseText(const json& object, const char* key)
    {
        const auto it = object.find(key);
        if (it == object.end() || !it->is_string())
            return tl::unexpected(invalid(std::string(key) + ": a string is required"));
        return it->get<std::string>();
    }

    Result<wire::TaskInput> parseTask(const json& object)
    {
        if (!object.is_object())
            return tl::unexpected(invalid("tasks: a list of objects"));
        for (const auto& it : object.items())
            if (it.key() != "index" && it.key() != "input" && it.key() != "cores" && it.key() != "memory_mb"
                && it.key() != "run_ms")
                return tl::unexpected(invalid("unknown member of a task: " + it.key()));
        if (!object.contains("index"))
            return tl::unexpected(invalid("index: a whole number is required"));
        const auto index = parseCount(object, "index", 0, std::numeric_limits<uint32_t>::max());
        const auto input = parseText(object, "input");
        const auto cores = parseCount(object, "cores", 1, 1U << 20U);
        const auto memory = parseCount(object, "memory_mb", 0, std::numeric_limits<uint32_t>::max() / 2);
        const auto run = parseCount(object, "run_ms", 0, std::numeric_limits<uint32_t>::max());
        for (const auto* it : { &index, &cores, &memory, &run })
            if (!*it)
                return tl::unexpected(it->error());
        if (!input)
            return tl::unexpected(input.error());
        if (input->size() > maxInputBytes)
            return tl::unexpected(invalid("input: at most " + std::to_string(maxInputBytes) + " bytes", statusTooLarge));
        wire::TaskInput task;
        task.set_index(*index);
        task.set_input(*input);
        task.set_cores_milli(*cores * milliPerCore);
        task.set_memory_mb(*memory);
        task.set_run_ms(*run);
        return task;
    }

    Result<json> parseBody(const http::Request& request, const std::vector<std::string>& allowed)
    {
        json body = http::parseJson(request.body);
        if (!body.is_object())
            return tl::unexpected(invalid("the body must be one whole JSON object"));
        for (const auto& it : body.items())
            if (std::find(allowed.begin(), allowed.end(), it.key()) == allowed.end())
                return tl::unexpected(invalid("unknown member: " + it.key()));
        return body;
    }

    Result<Call> parseSubmit(const http::Request& request, Call call)
    {
        auto body = parseBody(request, { "service", "tasks" });
        if (!body)
            return tl::unexpected(body.error());
        const auto service = parseText(*body, "service");
        if (!service || !isValidName(*service))
            return tl::unexpected(invalid("service: a name is required"));
        const auto tasks = body->find("tasks");
        if (tasks == body->end() || !tasks->is_array() || tasks->empty() || tasks->size() > maxTasks)
            return tl::unexpected(invalid("tasks: a list of 1 to " + std::to_string(maxTasks)));
        dispatch::SubmissionSpec& spec = call.spec;
        for (const auto& it : *tasks) {
            auto task = parseTask(it);
            if (!task)
                return tl::unexpected(task.error());
            spec.tasks.push_back(std::move(*task));
        }
        std::sort(spec.tasks.begin(), spec.tasks.end(), [](const auto& a, const auto& b) { return a.index() < b.index(); });
        for (size_t i = 1; i < spec.tasks.size(); ++i)
            if (spec.tasks[i].index() == spec.tasks[i - 1].index())
                return tl::unexpected(invalid("tasks: index " + std::to_string(spec.tasks[i].index()) + " stands twice"));
        // The digest covers the canonical form, so that it does not depend on the order of members or tasks.
        std::sort(tasks->begin(), tasks->end(), [](const json& a, const json& b) { return a["index"] < b["index"]; });
        spec.digest = contentDigest(body->dump());
        call.service = *service;
        return call;
    }

    Result<Call> parseSingleRequest(const http::Request& request, Call call)
    {
        const auto body = parseBody(request, { "team", "key", "input", "repeatable", "deadline_ms", "cores", "memory_mb" });
        if (!body)
            return tl::unexpected(body.error());
        const auto team = parseText(*body, "team");
        const auto key = parseText(*body, "key");
        if (!team || !isValidName(*team) || !key || !isValidName(*key))
            return tl::unexpected(invalid("team, key: names are required"));
        const auto repeatable = body->find("repeatable");
        if (repeatable != body->end() && !repeatable->is_boolean())
            return tl::unexpected(invalid("repeatable: true or false"));
        const auto deadline = parseCount(*body, "deadline_ms", 0, maxWaitSeconds * 1000);
        if (!deadline)
            return tl::unexpected(deadline.error());
        json task = *body;
        for (const char* it : { "team", "key", "repeatable", "deadline_ms" })
            task.erase(it);
        task["index"] = 0U;
        auto input = parseTask(task);
        if (!input)
            return tl::unexpected(input.error());
        call.key = { *team, singleRequestPrefix + *key };
        call.spec.tasks.push_back(std::move(*input));
        call.spec.durable = repeatable == body->end() || !repeatable->get<bool>();
        call.spec.digest = contentDigest(call.service + body->dump());
        call.spec.deadline = std::chrono::milliseconds(*deadline);
        if (*deadline > 0)
            call.wait = std::min(call.wait, call.spec.deadline);
        return call;
    }

    void finishSpec(const http::Request& request, Call& call)
    {
        call.spec.key = call.key;
        call.spec.service = call.service;
        call.spec.traceparent = request.traceparent;
    }

    json renderTasks(const wire::Outcome& outcome)
    {
        json tasks = json::array();
        for (const auto& it : outcome.tasks()) {
            json task = { { "index", it.index() } };
            if (outcome.complete()) {
                task["output"] = it.output();
            } else {
                task["verdict"] = toString(wire::fromWire(it.verdict()));
                if (!it.reason().empty())
                    task["reason"] = it.reason();
            }
            tasks.push_back(std::move(task));
        }
        return tasks;
    }

    http::Response renderOutcome(const Call& call, const wire::Outcome& outcome)
    {
        const auto replace = json::error_handler_t::replace;
        if (call.kind == CallKind::SingleRequest) {
            if (outcome.complete() && outcome.tasks_size() == 1)
                return http::Response { 200, json { { "output", outcome.tasks(0).output() } }.dump(-1, ' ', false, replace) };
            const Verdict verdict = outcome.tasks_size() == 1 ? wire::fromWire(outcome.tasks(0).verdict()) : Verdict::MayHaveRun;
            return http::problem({ verdict, statusBadGateway, outcome.reason() });
        }
        json body = { { "team", outcome.team() }, { "id", outcome.id() }, { "service", outcome.service() },
            { "state", outcome.complete() ? "complete" : "failed" }, { "tasks", renderTasks(outcome) } };
        if (!outcome.complete())
            body["reason"] = outcome.reason();
        return http::Response { 200, body.dump(-1, ' ', false, replace) };
    }

} // namespace

Result<Call> parseCall(const http::Request& request)
{
    Call call;
    const auto wait = parseWait(request);
    if (!wait)
        return tl::unexpected(wait.error());
    call.wait = *wait;
    const std::vector<std::string> path = splitPath(request.path);
    const bool submission = path.size() == 5 && path[1] == "teams" && path[3] == "submissions";
    const bool single = path.size() == 4 && path[1] == "services" && path[3] == "requests";
    if (path.empty() || path[0] != "v1" || (!submission && !single))
        return tl::unexpected(invalid("unknown path", statusNotFound));
    if (single) {
        if (request.method != "POST")
            return tl::unexpected(invalid("allowed: POST", statusNotAllowed));
        if (!isValidName(path[2]))
            return tl::unexpected(invalid("service: a name is required"));
        call.kind = CallKind::SingleRequest;
        call.service = path[2];
        auto parsed = parseSingleRequest(request, std::move(call));
        if (parsed)
            finishSpec(request, *parsed);
        return parsed;
    }
    if (!isValidName(path[2]) || !isValidName(path[4]))
        return tl::unexpected(invalid("team, submission: names are required"));
    call.key = { path[2], path[4] };
    if (request.method == "PUT") {
        call.kind = CallKind::Submit;
        auto parsed = parseSubmit(request, std::move(call));
        if (parsed)
            finishSpec(request, *parsed);
        return parsed;
    }
    if (request.method != "GET" && request.method != "DELETE")
        return tl::unexpected(invalid("allowed: PUT, GET, DELETE", statusNotAllowed));
    call.kind = request.method == "GET" ? CallKind::Read : CallKind::Cancel;
    return call;
}

http::Response renderReply(const Call& call, const dispatch::Reply& reply)
{
    switch (reply.kind) {
    case dispatch::Reply::Kind::Done:
        return renderOutcome(call, reply.outcome);
    case dispatch::Reply::Kind::Refused:
        return http::problem(reply.error);
    case dispatch::Reply::Kind::Pending:
    case dispatch::Reply::Kind::NotOwner:
        break;
    }
    if (call.kind == CallKind::SingleRequest) {
        constexpr int statusTimeout = 504;
        return http::problem({ Verdict::MayHaveRun, statusTimeout, "no answer yet; ask again with the same key" });
    }
    const json body = { { "team", call.key.team }, { "id", call.key.id }, { "state", "running" } };
    return http::Response { statusAccepted, body.dump() };
}

} // namespace fescuegw::entry
