// HTTP client over libcurl, with a verdict for every failure.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fescuegw/base/Types.h"

namespace fescuegw::http {

struct ClientRequest {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers;
    std::string body;
    Duration timeout { std::chrono::seconds(30) };
};

struct ClientResponse {
    int status = 0;
    std::string body;
    // The X-Content-Digest header, empty when the server sent none.
    std::string digest;

    friend bool operator==(const ClientResponse&, const ClientResponse&) = default;
};

// libcurl silently repeats a request that finds a kept-alive connection dead, which would start work twice: connections are
// kept only for requests that are idempotent.
enum class Connections : uint8_t {
    Fresh,
    Kept,
};

// Sends one request at a time. Not thread-safe.
class Client {
public:
    explicit Client(Connections = Connections::Fresh);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    Client(Client&&) = delete;
    Client& operator=(Client&&) = delete;

    // Returns the response whatever its status, or an error whose verdict is NotRun only when no connection was made.
    // A body that is cut short or does not match its digest is an error.
    Result<ClientResponse> call(const ClientRequest&);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

// Initialises libcurl. Called once, before any thread starts.
void initialiseClients();

} // namespace fescuegw::http
