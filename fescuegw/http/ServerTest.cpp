// The HTTP server and callers that leave before their requests are answered or read, or whose bodies are too large or too slow.
#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <sys/time.h>
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

// Sends `request` and returns the connection.
int sendText(uint16_t port, const std::string& request)
{
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    cr_assert_eq(connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    // A read that lasts longer fails the test.
    const timeval limit { 30, 0 };
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    cr_assert_eq(write(connection, request.data(), request.size()), static_cast<ssize_t>(request.size()));
    return connection;
}

// Sends one request for `path` and returns the connection.
int sendRequest(uint16_t port, const std::string& path)
{
    return sendText(port, "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n");
}

// Returns all that is received until the server closes the connection.
std::string readToEnd(int connection)
{
    std::string text;
    std::array<char, 4096> buf {};
    for (ssize_t n = 1; n > 0;) {
        n = read(connection, buf.data(), buf.size());
        if (n > 0)
            text.append(buf.data(), static_cast<size_t>(n));
    }
    return text;
}

// Returns the status of the response to `request`, after which the server must close the connection.
std::string statusOf(uint16_t port, const std::string& request)
{
    const int connection = sendText(port, request);
    const std::string text = readToEnd(connection);
    close(connection);
    return text.substr(0, std::string("HTTP/1.1 200").size());
}

// A server that answers each request with the size of its body, except those for "/hold".
class CountingServer {
public:
    explicit CountingServer(const std::function<void(ServerOptions&)>& change)
        : port(freePort())
        , server(options(change), [this](const Request& request, const Responder& respond) {
            const std::lock_guard<std::mutex> lock(mutex);
            held.push_back(respond);
            if (request.path != "/hold")
                respond({ 200, std::to_string(request.body.size()) });
        })
    {
        cr_assert(server.start().has_value());
    }
    ~CountingServer()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const auto& it : held)
            it({ 200, "{}" });
    }
    CountingServer(const CountingServer&) = delete;
    CountingServer& operator=(const CountingServer&) = delete;
    CountingServer(CountingServer&&) = delete;
    CountingServer& operator=(CountingServer&&) = delete;

    ServerOptions options(const std::function<void(ServerOptions&)>& change)
    {
        ServerOptions options;
        options.listen = { "127.0.0.1", port };
        options.threads = 1;
        options.bodyLimit = 1000;
        options.onRefused = [this](Refusal refusal) { ++refused.at(static_cast<size_t>(refusal)); };
        change(options);
        return options;
    }

    std::array<std::atomic<int>, 4> refused {};
    std::mutex mutex;
    std::vector<Responder> held;
    uint16_t port;
    Server server;
};

std::string post(const std::string& path, const std::string& headers)
{
    return "POST " + path + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n" + headers + "\r\n";
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

// Guards against the end of the process by libmicrohttpd, which allows no daemon to stop with suspended connections. A response
// after the end of the server must not use it.
Test(Server, isDestroyedWithUnansweredRequests)
{
    Responder late;
    int connection = -1;
    {
        std::mutex mutex;
        std::condition_variable held;
        const uint16_t port = freePort();
        ServerOptions options;
        options.listen = { "127.0.0.1", port };
        options.threads = 1;
        Server server(options, [&](const Request& /*request*/, const Responder& respond) {
            const std::lock_guard<std::mutex> lock(mutex);
            late = respond;
            held.notify_all();
        });
        cr_assert(server.start().has_value());
        connection = sendRequest(port, "/unanswered");
        std::unique_lock<std::mutex> lock(mutex);
        cr_assert(held.wait_for(lock, waitLimit, [&] { return late != nullptr; }));
    }
    cr_assert_eq(readToEnd(connection), "");
    late({ 200, "{}" });
    close(connection);
}

// A body over the limit is refused before it is sent; reading it to its end would keep the connection occupied.
Test(Server, anAnnouncedBodyOverTheLimitIsRefusedAtOnce)
{
    CountingServer counting([](ServerOptions& /*options*/) {});
    cr_assert_eq(statusOf(counting.port, post("/a", "Content-Length: 1001\r\n")), "HTTP/1.1 413");
    cr_assert_eq(
        statusOf(counting.port, post("/a", "Content-Length: 99999999999999999999999\r\n")).find("HTTP/1.1 2"), std::string::npos);
    cr_assert_eq(statusOf(counting.port, post("/a", "Content-Length: 1000\r\n") + std::string(1000, 'x')), "HTTP/1.1 200");
    cr_assert(counting.held.size() == 1);
}

// The sum of the chunks exceeds the limit and the last chunk never comes.
Test(Server, chunksOverTheLimitAreRefusedBeforeTheirEnd)
{
    CountingServer counting([](ServerOptions& /*options*/) {});
    const std::string chunk = "1f4\r\n" + std::string(500, 'x') + "\r\n";
    const std::string head = post("/a", "Transfer-Encoding: chunked\r\n");
    cr_assert_eq(statusOf(counting.port, head + chunk + chunk + chunk), "HTTP/1.1 413");
    cr_assert_eq(counting.refused.at(static_cast<size_t>(Refusal::TooLarge)), 1);
    cr_assert_eq(statusOf(counting.port, head + chunk + chunk + "0\r\n\r\n"), "HTTP/1.1 200");
}

// A body that stops short would otherwise keep its connection and its memory.
Test(Server, aBodyThatStopsShortIsEndedAtItsDeadline)
{
    const auto budget = std::make_shared<BodyBudget>(100000);
    CountingServer counting([&](ServerOptions& options) {
        options.bodyDeadline = std::chrono::milliseconds(100);
        options.budget = budget;
    });
    cr_assert_eq(statusOf(counting.port, post("/a", "Content-Length: 10\r\n") + "123456789"), "HTTP/1.1 408");
    cr_assert_eq(counting.refused.at(static_cast<size_t>(Refusal::TooSlow)), 1);
    const TimePoint deadline = monotonicNow() + waitLimit;
    while (budget->held() > 0 && monotonicNow() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    cr_assert_eq(budget->held(), 0);
}

// A trickling body makes progress all the time, so an idle time-out never ends it.
Test(Server, aBodyThatTricklesIsEndedAtItsDeadline)
{
    CountingServer counting([](ServerOptions& options) { options.bodyDeadline = std::chrono::milliseconds(200); });
    const int connection = sendText(counting.port, post("/a", "Content-Length: 1000\r\n"));
    const TimePoint deadline = monotonicNow() + waitLimit;
    while (counting.refused.at(static_cast<size_t>(Refusal::TooSlow)) == 0 && monotonicNow() < deadline) {
        (void)send(connection, "x", 1, MSG_NOSIGNAL);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    cr_assert_eq(readToEnd(connection).substr(0, 12), "HTTP/1.1 408");
    close(connection);
}

// Requests that wait for their answers hold the budget: the next one is refused as not run, and served after an answer.
Test(Server, aRequestBeyondTheBudgetIsRefusedAsNotRun)
{
    const auto budget = std::make_shared<BodyBudget>(2000);
    CountingServer counting([&](ServerOptions& options) { options.budget = budget; });
    const std::string body(1000, 'x');
    const int first = sendText(counting.port, post("/hold", "Content-Length: 1000\r\n") + body);
    const TimePoint deadline = monotonicNow() + waitLimit;
    while (counting.server.pending() == 0 && monotonicNow() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    const int second = sendText(counting.port, post("/a", "Content-Length: 1000\r\n"));
    const std::string refusal = readToEnd(second);
    close(second);
    cr_assert_eq(refusal.substr(0, 12), "HTTP/1.1 503");
    cr_assert_neq(refusal.find(toString(Verdict::NotRun)), std::string::npos);
    counting.held.front()({ 200, "{}" });
    cr_assert_eq(readToEnd(first).substr(0, 12), "HTTP/1.1 200");
    close(first);
    cr_assert_eq(statusOf(counting.port, post("/a", "Content-Length: 1000\r\n") + body), "HTTP/1.1 200");
}

// A budget below the size of one request must not refuse every request.
Test(Server, aSingleRequestIsServedWithABudgetThatIsTooSmall)
{
    CountingServer counting([](ServerOptions& options) { options.budget = std::make_shared<BodyBudget>(1); });
    cr_assert_eq(statusOf(counting.port, post("/a", "Content-Length: 1000\r\n") + std::string(1000, 'x')), "HTTP/1.1 200");
}

// Unfinished bodies use up the budget; ordinary callers are served again long before the deadline of these bodies.
Test(Server, theSlowestBodiesAreShedWhenTheBudgetIsUsedUp)
{
    const auto budget = std::make_shared<BodyBudget>(10000);
    CountingServer counting([&](ServerOptions& options) {
        options.budget = budget;
        options.bodyDeadline = std::chrono::hours(1);
    });
    std::vector<int> stalled;
    constexpr int count = 20;
    stalled.reserve(count);
    for (int n = 0; n < count; ++n)
        stalled.push_back(sendText(counting.port, post("/a", "Content-Length: 1000\r\n") + "x"));
    const std::string request = post("/a", "Content-Length: 1000\r\n") + std::string(1000, 'x');
    const TimePoint deadline = monotonicNow() + waitLimit;
    while (statusOf(counting.port, request) != "HTTP/1.1 200" && monotonicNow() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    cr_assert_eq(statusOf(counting.port, request), "HTTP/1.1 200");
    cr_assert_gt(counting.refused.at(static_cast<size_t>(Refusal::Shed)), 0);
    for (const int it : stalled)
        close(it);
}

// Callers may send headers of 16,384 bytes in all.
Test(Server, headersWithinTheCallersLimitAreServed)
{
    CountingServer counting([](ServerOptions& /*options*/) {});
    std::string headers;
    while (headers.size() + 200 < 16000)
        headers += "X-Header-" + std::to_string(headers.size()) + ": " + std::string(100, 'v') + "\r\n";
    cr_assert_eq(statusOf(counting.port, post("/a", headers + "Content-Length: 3\r\n") + "abc"), "HTTP/1.1 200");
}
