// HTTP client over libcurl. Each error carries a verdict on whether the request may have run.
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
    // Longer responses fail with MayHaveRun.
    size_t responseLimit = 256U << 20U;
};

struct ClientResponse {
    int status = 0;
    std::string body;
    // The X-Content-Digest header, empty when the server sent none.
    std::string digest;

    friend bool operator==(const ClientResponse&, const ClientResponse&) = default;
};

// Whether connections are reused. A server may close a kept connection just as a request is sent on it, so a request on a kept
// connection fails with MayHaveRun more often.
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

    // Sends the request at most once. Returns the response whatever its status. Fails when there is no complete response or the
    // body does not match its digest; the verdict is NotRun only when the request was not begun on any connection.
    Result<ClientResponse> call(const ClientRequest&);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

// Initialises libcurl. Must be called once, before any thread starts.
void initialiseClients();

} // namespace fescuegw::http
