// HTTP server for callers, operators and upstreams, over libmicrohttpd.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fescuegw/base/Types.h"
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
    // Names the exchange within its server, for `ServerOptions::onAbandoned`.
    uint64_t exchange = 0;

    // Returns the value of the header `name` (in lower case), or "".
    std::string header(const std::string& name) const;
};

// Status 0 closes the connection without an answer.
struct Response {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    // Seconds; 0 leaves the header out.
    uint32_t retryAfter = 0;
    // Where a redirected caller is to go; empty leaves the header out.
    std::string location {};

    friend bool operator==(const Response&, const Response&) = default;
};

// Returns `error` as an RFC 7807 problem document with its verdict.
Response problem(const Error& error);

// Answers one request. May be called from any thread, once; later calls have no effect.
using Responder = std::function<void(Response)>;

using Handler = std::function<void(Request, Responder)>;

struct ServerOptions {
    settings::Address listen;
    uint32_t threads = 2;
    uint32_t connectionLimit = 4096;
    uint32_t idleSeconds = 30;
    size_t bodyLimit = 4U << 20U;
    // Called on a thread of the server when a caller has closed its connection before it was answered. Empty: not watched.
    std::function<void(uint64_t exchange)> onAbandoned;
};

// Serves HTTP/1.1 on a fixed number of threads. The handler runs on one of them and must not block; the answer may come
// later from any thread. Thread-safe.
class Server {
public:
    Server(ServerOptions, Handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    Server(Server&&) = delete;
    Server& operator=(Server&&) = delete;

    Result<void> start();

    // Accepts no further connection; open ones are served on.
    void quiesce();

    // From now on every answer closes its connection, so that callers move to another server.
    void closeAfterAnswers();

    // Returns the number of requests read and not yet answered.
    uint64_t pending() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace fescuegw::http
