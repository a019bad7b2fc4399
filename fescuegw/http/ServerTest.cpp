// The HTTP server and callers that leave before their requests are answered or read.
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fescuegw/http/Server.h"

using namespace fescuegw;
using namespace fescuegw::http;

namespace {

// Upper bound; what is waited for happens much earlier.
constexpr Duration waitLimit = std::chrono::seconds(30);

// Returns a free port of the loopback address.
uint16_t freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    (void)bind(descriptor, reinterpret_cast<sockaddr*>(&address), length);
    (void)getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    close(descriptor);
    return ntohs(address.sin_port);
}

// Sends one request for `path` and returns the connection.
int sendRequest(uint16_t port, const std::string& path)
{
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    cr_assert_eq(connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n";
    cr_assert_eq(write(connection, request.data(), request.size()), static_cast<ssize_t>(request.size()));
    return connection;
}

// A server whose only thread stands still in the handler of "/hold" until it is let go.
class StallingServer {
public:
    StallingServer()
        : port(freePort())
        , server(options(port), [this](const Request& request, const Responder& respond) { handle(request, respond); })
    {
        cr_assert(server.start().has_value());
    }

    static ServerOptions options(uint16_t port)
    {
        ServerOptions options;
        options.listen = { "127.0.0.1", port };
        options.threads = 1;
        options.tracksCallers = true;
        return options;
    }

    void handle(const Request& request, const Responder& respond)
    {
        std::unique_lock<std::mutex> lock(mutex);
        paths.push_back(request.path);
        responders.push_back(respond);
        condition.notify_all();
        if (request.path == "/hold")
            condition.wait(lock, [&] { return released; });
    }

    void release()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        released = true;
        condition.notify_all();
    }

    bool awaitRequests(size_t n)
    {
        std::unique_lock<std::mutex> lock(mutex);
        return condition.wait_for(lock, waitLimit, [&] { return paths.size() >= n; });
    }

    void answerAll()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const auto& it : responders)
            it({ 200, "{}" });
    }

    std::mutex mutex;
    std::condition_variable condition;
    bool released = false;
    std::vector<std::string> paths;
    std::vector<Responder> responders;
    uint16_t port;
    Server server;
};

} // namespace

// A process stands still while a caller sends a request and leaves. The request is still there to be read when it goes on.
Test(Server, aRequestWhoseCallerHasGoneIsNotHandled)
{
    StallingServer stalling;
    const int first = sendRequest(stalling.port, "/hold");
    cr_assert(stalling.awaitRequests(1));
    close(sendRequest(stalling.port, "/gone"));
    const int last = sendRequest(stalling.port, "/present");
    stalling.release();
    cr_assert(stalling.awaitRequests(2));
    cr_assert_eq(stalling.paths.size(), 2);
    cr_assert_eq(stalling.paths[1], "/present");
    stalling.answerAll();
    close(first);
    close(last);
}

Test(Server, callersThatHaveGoneAreTold)
{
    StallingServer stalling;
    const int gone = sendRequest(stalling.port, "/gone");
    const int present = sendRequest(stalling.port, "/present");
    cr_assert(stalling.awaitRequests(2));
    cr_assert(stalling.server.goneCallers().empty());
    close(gone);
    const TimePoint deadline = monotonicNow() + waitLimit;
    while (stalling.server.goneCallers().empty() && monotonicNow() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    cr_assert_eq(stalling.server.goneCallers().size(), 1);
    stalling.answerAll();
    cr_assert(stalling.server.goneCallers().empty());
    close(present);
}
