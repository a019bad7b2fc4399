// The HTTP client against a server that breaks connections.
#include <atomic>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fescuegw/http/Client.h"

using namespace fescuegw;
using namespace fescuegw::http;

namespace {

enum class Listening : uint8_t {
    Always,
    // Refuses connections after the first one.
    Once,
};

// Answers the first request of each connection and resets the connection without a response on the next one.
class BreakingServer {
public:
    explicit BreakingServer(Listening listening = Listening::Always)
        : m_listening(listening)
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        (void)bind(m_listener, reinterpret_cast<sockaddr*>(&address), length);
        (void)getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
        (void)listen(m_listener, 1);
        m_thread = std::thread([this] { run(); });
    }

    ~BreakingServer()
    {
        (void)shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        if (m_listening == Listening::Always)
            close(m_listener);
    }
    BreakingServer(const BreakingServer&) = delete;
    BreakingServer& operator=(const BreakingServer&) = delete;
    BreakingServer(BreakingServer&&) = delete;
    BreakingServer& operator=(BreakingServer&&) = delete;

    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_port) + "/"; }
    int received() const { return m_received; }

private:
    void run()
    {
        while (true) {
            const int connection = accept(m_listener, nullptr, nullptr);
            if (connection < 0)
                return;
            if (m_listening == Listening::Once)
                close(m_listener);
            for (int n = 0; receiveRequest(connection) && n == 0; ++n) {
                const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                (void)!write(connection, response.data(), response.size());
            }
            const linger reset { 1, 0 };
            (void)setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            close(connection);
            if (m_listening == Listening::Once)
                return;
        }
    }

    // The body of each request is "{}", or empty with GET.
    bool receiveRequest(int connection)
    {
        std::string request;
        while (!request.ends_with(request.starts_with("GET") ? "\r\n\r\n" : "{}")) {
            char buf[512];
            const ssize_t n = read(connection, buf, sizeof buf);
            if (n <= 0)
                return false;
            request.append(buf, static_cast<size_t>(n));
        }
        ++m_received;
        return true;
    }

    const Listening m_listening;
    int m_listener;
    uint16_t m_port = 0;
    std::atomic<int> m_received { 0 };
    std::thread m_thread;
};

} // namespace

// A kept connection breaks after the server has received a request: sent again, the request would run twice, and a refusal of
// the second one would be taken for the fate of the first.
Test(Client, aRequestOnABrokenConnectionIsNotRepeated)
{
    initialiseClients();
    BreakingServer server;
    Client client(Connections::Kept);
    ClientRequest request;
    request.method = "POST";
    request.url = server.url();
    request.body = "{}";
    cr_assert(client.call(request).has_value());
    const auto response = client.call(request);
    cr_assert_not(response.has_value());
    cr_assert(response.error().verdict == Verdict::MayHaveRun);
    cr_assert_eq(server.received(), 2);
    cr_assert(client.call(request).has_value(), "the next request uses a new connection");
}

// An upstream receives a request on a kept connection and crashes. The refusal of the next connection says nothing about the
// request: called not run, it would be started elsewhere, or its caller told that it has not run.
Test(Client, aRefusedReconnectDoesNotMakeASentRequestNotRun)
{
    initialiseClients();
    for (const std::string method : { "POST", "GET" }) {
        BreakingServer server(Listening::Once);
        Client client(Connections::Kept);
        ClientRequest request;
        request.method = "POST";
        request.url = server.url();
        request.body = "{}";
        cr_assert(client.call(request).has_value());
        request.method = method;
        request.body = method == "GET" ? "" : "{}";
        const auto response = client.call(request);
        cr_assert_not(response.has_value());
        cr_expect(response.error().verdict == Verdict::MayHaveRun, "%s: %s", method.c_str(), response.error().detail.c_str());
        cr_assert_eq(server.received(), 2);
        const auto refused = client.call(request);
        cr_assert_not(refused.has_value());
        cr_assert(refused.error().verdict == Verdict::NotRun, "a refused connection, and nothing sent: %s",
            refused.error().detail.c_str());
    }
}

// An upstream sends more than its listing can have; collecting it would use up the memory of the process.
Test(Client, responsesAreLimited)
{
    initialiseClients();
    BreakingServer server;
    Client client;
    ClientRequest request;
    request.method = "POST";
    request.url = server.url();
    request.body = "{}";
    request.responseLimit = 2;
    cr_assert(client.call(request).has_value());
    request.responseLimit = 1;
    const auto response = client.call(request);
    cr_assert_not(response.has_value());
    cr_assert(response.error().verdict == Verdict::MayHaveRun);
}

// Bodies are sent whole, whatever their size.
Test(Client, sendsLargeBodies)
{
    initialiseClients();
    BreakingServer server;
    Client client;
    ClientRequest request;
    request.method = "PUT";
    request.url = server.url();
    request.body = std::string(300000, 'x') + "{}";
    cr_assert(client.call(request).has_value());
    cr_assert_eq(server.received(), 1);
}
