// fescuectl: command-line tool for operators.
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>
#include <sys/stat.h>

#include "fescuegw/daemon/Daemon.h"
#include "fescuegw/http/Client.h"
#include "fescuegw/http/Json.h"
#include "fescuegw/net/Hub.h"
#include "fescuegw/questionnaire/Questionnaire.h"
#include "fescuegw/settings/Settings.h"

using namespace fescuegw;
using nlohmann::json;

namespace {

namespace options = boost::program_options;

constexpr const char* usage = R"(fescuectl COMMAND [ARGUMENT ...] [options]

Commands
  keygen FILE                 make the key file that all processes of an installation share
  plan FILE                   show the configuration that a questionnaire means, and what would change
  apply FILE                  put a questionnaire's configuration in force
  team NAME                   show a team's configuration in force
  submit TEAM ID FILE         submit a job (JSON: service, tasks) and wait for its answer
  get TEAM ID                 read a submission's answer
  cancel TEAM ID              cancel a submission
  status                      show replicas, entries, services and agents, and who lags behind
  replace ADD ADDRESS OLD     replace replica OLD of the state group by ADD at ADDRESS
)";

struct Context {
    options::variables_map arguments;
    std::vector<std::string> positionals;
    bool asJson = false;
};

std::string argumentAt(const Context& context, size_t n) { return n < context.positionals.size() ? context.positionals[n] : ""; }

int fail(const std::string& what, int code = daemon::exitFailure)
{
    std::cerr << "fescuectl: " << what << '\n';
    return code;
}

Result<std::string> readFile(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return tl::unexpected(Error { Verdict::NotRun, 400, path + ": can't be read" });
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

// Sends a request to an entry. If `administrative` is set, uses the administrative address and adds the operators' token.
Result<http::ClientResponse> call(
    const Context& context, bool administrative, const std::string& method, const std::string& path, const std::string& body = "")
{
    const char* option = administrative ? "entry" : "callers";
    if (context.arguments.count(option) == 0)
        return tl::unexpected(Error { Verdict::NotRun, 400, std::string("--") + option + " IP:PORT is required" });
    http::ClientRequest request;
    request.method = method;
    request.url = "http://" + context.arguments[option].as<std::string>() + path;
    request.body = body;
    request.timeout = std::chrono::seconds(context.arguments["timeout"].as<unsigned>());
    if (administrative) {
        if (context.arguments.count("token") == 0)
            return tl::unexpected(Error { Verdict::NotRun, 400, "--token FILE is required" });
        const auto token = settings::readSecret(context.arguments["token"].as<std::string>());
        if (!token)
            return tl::unexpected(Error { Verdict::NotRun, 400, token.error() });
        request.headers.push_back("Authorization: Bearer " + *token);
    }
    http::Client client;
    return client.call(request);
}

// Prints a response and returns the exit code.
int printResponse(const Context& context, const Result<http::ClientResponse>& response)
{
    if (!response)
        return fail(response.error().detail + " (" + std::string(toString(response.error().verdict)) + ")");
    const json body = http::parseJson(response->body);
    if (context.asJson || body.is_discarded())
        std::cout << response->body << '\n';
    else if (response->status >= 400)
        return fail(body.value("detail", "") + " (" + body.value("verdict", "") + ")");
    else
        std::cout << body.dump(2) << '\n';
    return response->status < 400 ? 0 : daemon::exitFailure;
}

int keygen(const Context& context)
{
    const std::string path = argumentAt(context, 1);
    if (path.empty())
        return fail("keygen FILE", daemon::exitUsage);
    const mode_t oldMask = umask(077);
    std::ofstream stream(path, std::ios::trunc);
    umask(oldMask);
    const net::KeyPair keys = net::generateKeyPair();
    stream << keys.publicKey << '\n' << keys.secretKey << '\n';
    stream.close();
    return stream ? 0 : fail(path + ": can't be written");
}

Result<wire::TeamConfiguration> readPlan(const std::string& path, std::string& content)
{
    auto read = readFile(path);
    if (!read)
        return tl::unexpected(read.error());
    content = *read;
    auto plan = questionnaire::plan(path, content);
    if (!plan)
        return tl::unexpected(Error { Verdict::NotRun, 400, plan.error() });
    return *plan;
}

int showPlan(const Context& context)
{
    std::string content;
    const auto planned = readPlan(argumentAt(context, 1), content);
    if (!planned)
        return fail(planned.error().detail, daemon::exitUsage);
    const std::string described = questionnaire::describe(*planned);
    if (context.arguments.count("entry") == 0) {
        std::cout << described;
        return 0;
    }
    const auto response = call(context, true, "GET", "/v1/teams/" + planned->team());
    if (!response)
        return fail(response.error().detail);
    const json body = http::parseJson(response->body);
    const std::string current = response->status == 200 ? body.value("settings", "") : "";
    std::istringstream lines(described);
    for (std::string line; std::getline(lines, line);)
        if (current.find(line + "\n") == std::string::npos)
            std::cout << "+ " << line << '\n';
    std::istringstream currentLines(current);
    for (std::string line; std::getline(currentLines, line);)
        if (described.find(line + "\n") == std::string::npos)
            std::cout << "- " << line << '\n';
    return 0;
}

int apply(const Context& context)
{
    std::string content;
    const auto planned = readPlan(argumentAt(context, 1), content);
    if (!planned)
        return fail(planned.error().detail, daemon::exitUsage);
    // The default change id is derived from the content, so that applying the same file again after a lost response is
    // idempotent.
    const std::string change
        = context.arguments.count("change") > 0 ? context.arguments["change"].as<std::string>() : contentDigest(content);
    return printResponse(
        context, call(context, true, "PUT", "/v1/teams/" + planned->team() + "/questionnaire?change=" + change, content));
}

int submission(const Context& context, const std::string& method)
{
    if (argumentAt(context, 2).empty())
        return fail("TEAM and ID are required", daemon::exitUsage);
    std::string body;
    if (method == "PUT") {
        const auto content = readFile(argumentAt(context, 3));
        if (!content)
            return fail(content.error().detail, daemon::exitUsage);
        body = *content;
    }
    return printResponse(context,
        call(context, false, method, "/v1/teams/" + argumentAt(context, 1) + "/submissions/" + argumentAt(context, 2), body));
}

void printStatus(const json& status)
{
    const uint64_t version = status.value("configuration_version", uint64_t { 0 });
    const json& group = status["group"];
    std::cout << "configuration " << version << ", leader " << group.value("leader", 0) << ", term " << group.value("term", 0)
              << ", committed " << group.value("commit_index", 0) << "\n\nREPLICA  ADDRESS                VOTER  MATCH\n";
    for (const auto& it : group["replicas"])
        std::cout << std::left << std::setw(9) << it.value("id", 0) << std::setw(23) << it.value("address", "") << std::setw(7)
                  << (it.value("voter", false) ? "yes" : "no") << it.value("match_index", 0) << '\n';
    std::cout << "\nENTRY                      ADDRESS                CONFIGURATION\n";
    for (const auto& it : group["entries"]) {
        const uint64_t activeVersion = it.value("configuration_version", uint64_t { 0 });
        std::cout << std::left << std::setw(27) << it.value("entry", "") << std::setw(23) << it.value("address", "")
                  << activeVersion << (activeVersion < version ? " lags" : "") << (it.value("draining", false) ? " draining" : "")
                  << '\n';
    }
    std::cout << "\nSERVICE           EPOCH  OWNER\n";
    for (const auto& it : status["services"])
        std::cout << std::left << std::setw(18) << it.value("service", "") << std::setw(7) << it.value("epoch", 0)
                  << it.value("owner", "") << '\n';
    std::cout << "\nAGENT             DOMAIN      SERVICE           STATE    SLOTS  RUNNING  CONFIGURATION\n";
    for (const auto& it : status["agents"]) {
        const uint64_t activeVersion = it.value("configuration_version", uint64_t { 0 });
        std::cout << std::left << std::setw(18) << it.value("agent", "") << std::setw(12) << it.value("domain", "")
                  << std::setw(18) << it.value("service", "") << std::setw(9) << it.value("state", "") << std::setw(7)
                  << it.value("slots", 0) << std::setw(9) << it.value("running", 0) << activeVersion
                  << (activeVersion < version ? " lags" : "") << '\n';
    }
}

int status(const Context& context)
{
    const auto response = call(context, true, "GET", "/v1/status");
    if (!response || response->status != 200 || context.asJson)
        return printResponse(context, response);
    printStatus(http::parseJson(response->body));
    return 0;
}

int replace(const Context& context)
{
    if (argumentAt(context, 3).empty())
        return fail("replace ADD ADDRESS OLD", daemon::exitUsage);
    const std::string query
        = "add=" + argumentAt(context, 1) + "&address=" + argumentAt(context, 2) + "&replaces=" + argumentAt(context, 3);
    return printResponse(context, call(context, true, "POST", "/v1/state/replace?" + query));
}

int runCommand(const Context& context)
{
    const std::string command = argumentAt(context, 0);
    if (command == "keygen")
        return keygen(context);
    if (command == "plan")
        return showPlan(context);
    if (command == "apply")
        return apply(context);
    if (command == "team")
        return printResponse(context, call(context, true, "GET", "/v1/teams/" + argumentAt(context, 1)));
    if (command == "submit")
        return submission(context, "PUT");
    if (command == "get")
        return submission(context, "GET");
    if (command == "cancel")
        return submission(context, "DELETE");
    if (command == "status")
        return status(context);
    if (command == "replace")
        return replace(context);
    return fail("unknown command '" + command + "'; see --help", daemon::exitUsage);
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description visible("Options");
    visible.add_options()("entry", options::value<std::string>(), "an entry's administrative address, IP:PORT")("callers",
        options::value<std::string>(),
        "an entry's address for callers, IP:PORT")("token", options::value<std::string>(), "the file with the operators' token")(
        "change", options::value<std::string>(), "the change id of apply (default: digest of the file)")(
        "timeout", options::value<unsigned>()->default_value(70), "seconds to wait for an answer")(
        "json", "print answers as they came")("help", "print this text")("version", "print the version");
    options::options_description hidden;
    hidden.add_options()("words", options::value<std::vector<std::string>>());
    options::options_description all;
    all.add(visible).add(hidden);
    options::positional_options_description positions;
    positions.add("words", -1);
    Context context;
    try {
        options::store(options::command_line_parser(argc, argv).options(all).positional(positions).run(), context.arguments);
    } catch (const options::error& error) {
        return fail(std::string(error.what()) + "; see --help", daemon::exitUsage);
    }
    if (context.arguments.count("version") > 0) {
        std::cout << "fescuectl " << daemon::version << '\n';
        return 0;
    }
    if (context.arguments.count("help") > 0 || context.arguments.count("words") == 0) {
        std::cout << usage << '\n' << visible << '\n';
        return context.arguments.count("help") > 0 ? 0 : daemon::exitUsage;
    }
    context.positionals = context.arguments["words"].as<std::vector<std::string>>();
    context.asJson = context.arguments.count("json") > 0;
    http::initialiseClients();
    return runCommand(context);
}
