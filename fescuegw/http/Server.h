// HTTP server for callers, operators and upstreams, over libmicrohttpd.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fescuegw/base/Types.h"
#include "fescuegw/http/BodyBudget.h"
#include "fescuegw/settings/Settings.h"

namespace fescuegw::http {

struct Request {
    std::string method;
    std::string path;
    // Decoded query parameters.
    std::map<std::string, std::string> query;
    std::string body;
    std::string authorization;
    std::string traceparent;
    // The X-Agent-Incarnation header, which agents send to upstreams.
    std::string incarnation;
    // All headers, with names in lower case.
    std::map<std::string, std::string> headers;
    // Number of the exchange within its server, as returned by `Server::goneCallers`.
    uint64_t exchange = 0;
    // Reserves bytes for what the handler keeps of the request beside its body until the response. Returns false if the budget is
    // used up. May be called by the handler only, before it returns or responds; empty for requests of other origin.
    std::function<bool(size_t)> reserve;

    // Returns the value of the header `name` (in lower case), or "".
    std::string header(const std::string& name) const;
};

// Status 0 closes the connection without a response.
struct Response {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    // Value of the Retry-After header in seconds; 0 omits the header.
    uint32_t retryAfter = 0;
    // Value of the Location header of a redirect; empty omits the header.
    std::string location {};

    friend bool operator==(const Response&, const Response&) = default;
};

// Returns `error` and its verdict as an RFC 7807 problem document.
Response problem(const Error& error);

// Sends the response to one request. May be called on any thread; calls after the first have no effect.
using Responder = std::function<void(Response)>;

using Handler = std::function<void(Request, Responder)>;

// Why a request was not read to its end.
enum class Refusal : uint8_t {
    // The body exceeds the limit.
    TooLarge,
    // The budget of held bytes is used up.
    BudgetUsed,
    // The headers or the body were not complete in time.
    TooSlow,
    // The connection was among the slowest while the budget was used up.
    Shed,
};

struct ServerOptions {
    settings::Address listen;
    uint32_t threads = 2;
    uint32_t connectionLimit = 4096;
    uint32_t idleSeconds = 30;
    size_t bodyLimit = 4U << 20U;
    // Time from the end of the headers to the end of the body.
    Duration bodyDeadline = std::chrono::seconds(20);
    // Bounds the bytes held in requests until they are answered; none if empty. Servers may share a budget.
    std::shared_ptr<BodyBudget> budget;
    // Called on a thread of the server, for each request that is refused.
    std::function<void(Refusal)> onRefused;
    // Whether `Server::goneCallers` is used. A request whose caller has gone when it has been read does not reach the handler.
    bool tracksCallers = false;
    // Called on a thread of the server with such a request.
    std::function<void(const Request&)> onDropped;
};

// HTTP/1.1 server with a fixed number of threads. The handler runs on one of them and must not block; the response may be sent
// later on any thread. Thread-safe.
class Server {
public:
    Server(ServerOptions, Handler);
    // Waits up to 2 s for the responses to requests that were read, then closes the connections of the others. Requests that
    // arrive meanwhile do not reach the handler.
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    Server(Server&&) = delete;
    Server& operator=(Server&&) = delete;

    // Starts to listen. Fails when the address cannot be bound.
    Result<void> start();

    // Stops accepting connections; open ones are still served.
    void quiesce();

    // Returns the exchanges that have no response yet and whose callers have closed their connections.
    std::vector<uint64_t> goneCallers() const;

    // Makes every further response close its connection, so that callers reconnect to another server.
    void closeAfterAnswers();

    // Returns the number of requests that were read and whose responses are not yet sent.
    uint64_t pending() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace fescuegw::http
