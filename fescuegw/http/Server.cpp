#include "fescuegw/http/Server.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fescuegw::http {

namespace {

    constexpr int statusTimeout = 408;
    constexpr int statusTooLarge = 413;
    constexpr int statusUnavailable = 503;
    // Memory of libmicrohttpd for one connection: half of it is read buffer, which holds headers of up to 16,384 bytes.
    constexpr size_t connectionMemory = 32768;
    // Bytes that a header occupies in the maps of `Request` beside its name and value.
    constexpr size_t headerOverhead = 128;
    // A body of unknown length reserves at least this much, and then twice as much each time.
    constexpr size_t firstReservation = 4096;
    // Deadlines are 10 s and more by default. Each wake-up costs processor time in every process, so it is rare.
    constexpr Duration sweepInterval = std::chrono::seconds(1);
    // While the budget is used up.
    constexpr Duration shedInterval = std::chrono::milliseconds(250);
    // Connections younger than this are not shed: 262,144 bytes take 84 ms at 25 Mbit/s.
    constexpr Duration shedAge = std::chrono::seconds(1);
    // Share of the budget that shedding frees at a time.
    constexpr size_t shedDivisor = 4;
    // Beyond the idle time, within which libmicrohttpd closes connections that send nothing.
    constexpr Duration headerGrace = std::chrono::seconds(5);
    constexpr std::chrono::milliseconds drainPollInterval { 5 };
    constexpr int maxDrainPolls = 400;

    struct ListenAddress {
        sockaddr_storage storage {};
    };

    ListenAddress resolve(const settings::Address& address)
    {
        ListenAddress listenAddress;
        auto* v4 = reinterpret_cast<sockaddr_in*>(&listenAddress.storage);
        auto* v6 = reinterpret_cast<sockaddr_in6*>(&listenAddress.storage);
        if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
            v4->sin_family = AF_INET;
            v4->sin_port = htons(address.port);
        } else {
            inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr);
            v6->sin6_family = AF_INET6;
            v6->sin6_port = htons(address.port);
        }
        return listenAddress;
    }

    std::string header(MHD_Connection* connection, const char* name)
    {
        const char* value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
        return value == nullptr ? "" : value;
    }

    MHD_Result collectQuery(void* user, MHD_ValueKind /*kind*/, const char* key, const char* value)
    {
        auto* query = static_cast<std::map<std::string, std::string>*>(user);
        (*query)[key] = value == nullptr ? "" : value;
        return MHD_YES;
    }

    MHD_Result collectHeader(void* user, MHD_ValueKind /*kind*/, const char* key, const char* value)
    {
        std::string name = key;
        for (char& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        (*static_cast<std::map<std::string, std::string>*>(user))[name] = value == nullptr ? "" : value;
        return MHD_YES;
    }

    MHD_Result queueResponse(MHD_Connection* connection, const Response& response, bool closesConnection)
    {
        if (response.status == 0)
            return MHD_NO;
        auto* body = const_cast<char*>(response.body.data());
        MHD_Response* reply = MHD_create_response_from_buffer(response.body.size(), body, MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(reply, MHD_HTTP_HEADER_CONTENT_TYPE, response.contentType.c_str());
        if (response.status < 300 && !response.body.empty())
            MHD_add_response_header(reply, "X-Content-Digest", contentDigest(response.body).c_str());
        if (response.retryAfter > 0)
            MHD_add_response_header(reply, MHD_HTTP_HEADER_RETRY_AFTER, std::to_string(response.retryAfter).c_str());
        if (!response.location.empty())
            MHD_add_response_header(reply, MHD_HTTP_HEADER_LOCATION, response.location.c_str());
        if (closesConnection)
            MHD_add_response_header(reply, MHD_HTTP_HEADER_CONNECTION, "close");
        const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(response.status), reply);
        MHD_destroy_response(reply);
        return result;
    }

    int descriptorOf(MHD_Connection* connection)
    {
        const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        return info == nullptr ? -1 : info->connect_fd;
    }

    bool isClosed(const pollfd& it) { return (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0; }

    // Returns whether the other end has closed its side of the connection.
    bool isGone(int descriptor)
    {
        pollfd it { descriptor, POLLRDHUP, 0 };
        return poll(&it, 1, 0) > 0 && isClosed(it);
    }

    // Returns the value of Content-Length, or 0 for a body of unknown length and for none.
    size_t announcedLength(MHD_Connection* connection)
    {
        const std::string value = header(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);
        size_t length = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), length);
        if (parsed.ec == std::errc::result_out_of_range)
            return SIZE_MAX;
        return parsed.ec == std::errc() ? length : 0;
    }

    // Sends `response` past libmicrohttpd, which can't queue one while it reads a body. Nothing of another response has been sent
    // by then. What the socket does not take at once is dropped.
    void sendDirectly(int descriptor, const Response& response)
    {
        std::string text = "HTTP/1.1 " + std::to_string(response.status) + " "
            + MHD_get_reason_phrase_for(static_cast<unsigned>(response.status)) + "\r\nContent-Type: " + response.contentType
            + "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\nConnection: close\r\n";
        if (response.retryAfter > 0)
            text += "Retry-After: " + std::to_string(response.retryAfter) + "\r\n";
        text += "\r\n" + response.body;
        (void)send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }

    // What is known of one connection, for deadlines.
    struct Connection {
        int descriptor = -1;
        enum class Phase : uint8_t {
            // Between requests, or before the end of a request's headers.
            Waiting,
            ReadingBody,
            // The request is complete or refused.
            Answering,
            Closing,
        };
        Phase phase = Phase::Waiting;
        TimePoint since;
        size_t received = 0;
        size_t held = 0;
    };

    // One HTTP exchange. The request is filled in by a server thread; the response may be set on any thread.
    struct Exchange {
        std::mutex mutex;
        MHD_Connection* connection = nullptr;
        Request request;
        Response response;
        bool started = false;
        bool answered = false;
        int descriptor = -1;
        // Bytes reserved for the whole request, and for its body alone.
        size_t held = 0;
        size_t bodyReserved = 0;
    };

} // namespace

std::string Request::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
}

Response problem(const Error& error)
{
    const nlohmann::json body = {
        { "type", "about:blank" },
        { "title", MHD_get_reason_phrase_for(static_cast<unsigned>(error.status)) },
        { "status", error.status },
        { "detail", error.detail },
        { "verdict", toString(error.verdict) },
    };
    constexpr int statusTooMany = 429;
    const bool retryLater = error.status == statusTooMany || error.status == statusUnavailable;
    const auto replace = nlohmann::json::error_handler_t::replace;
    return Response { error.status, body.dump(-1, ' ', false, replace), "application/problem+json", retryLater ? 1U : 0U };
}

struct Server::Impl {
    MHD_Daemon* daemon = nullptr;
    std::atomic<uint64_t> pending { 0 };
    std::atomic<uint64_t> lastExchange { 0 };
    std::thread sweeper;
    Handler handler;
    mutable std::mutex unansweredMutex;
    // Exchanges whose connections are suspended, by number.
    std::map<uint64_t, std::shared_ptr<Exchange>> unansweredExchanges;
    std::mutex connectionsMutex;
    std::condition_variable sweeperWakeUp;
    std::map<MHD_Connection*, Connection> connections;
    ServerOptions options;
    int quiescedDescriptor = -1;
    std::atomic<bool> closesAfterResponse { false };
    // Guarded by `unansweredMutex`.
    bool refusesRequests = false;
    // Guarded by `connectionsMutex`.
    bool stopped = false;
    std::atomic<bool> budgetWasUsedUp { false };

    static MHD_Result onAccess(void* user, MHD_Connection* connection, const char* url, const char* method,
        const char* /*version*/, const char* uploadData, size_t* uploadSize, void** slot)
    {
        auto* self = static_cast<Impl*>(user);
        if (*slot == nullptr) {
            auto exchange = self->createExchange(connection, url, method);
            *slot = new std::shared_ptr<Exchange>(exchange);
            return self->admit(*exchange);
        }
        const std::shared_ptr<Exchange> exchange = *static_cast<std::shared_ptr<Exchange>*>(*slot);
        if (*uploadSize > 0) {
            const size_t size = *uploadSize;
            *uploadSize = 0;
            return self->appendBody(*exchange, uploadData, size);
        }
        if (!exchange->started)
            return self->dispatch(exchange);
        return queueResponse(connection, exchange->response, self->closesAfterResponse);
    }

    static void onConnection(void* user, MHD_Connection* connection, void** /*context*/, MHD_ConnectionNotificationCode code)
    {
        auto* self = static_cast<Impl*>(user);
        const std::lock_guard<std::mutex> lock(self->connectionsMutex);
        if (code == MHD_CONNECTION_NOTIFY_STARTED)
            self->connections[connection] = { descriptorOf(connection), Connection::Phase::Waiting, monotonicNow(), 0, 0 };
        else
            // libmicrohttpd closes the descriptor after this call, so the sweeper never sees one that is used again.
            self->connections.erase(connection);
    }

    static void onCompleted(void* user, MHD_Connection* connection, void** slot, MHD_RequestTerminationCode /*code*/)
    {
        if (*slot == nullptr)
            return;
        auto* self = static_cast<Impl*>(user);
        auto* exchange = static_cast<std::shared_ptr<Exchange>*>(*slot);
        if ((*exchange)->started)
            --self->pending;
        if (self->options.budget)
            self->options.budget->release((*exchange)->held);
        self->enter(connection, Connection::Phase::Waiting, 0, 0);
        delete exchange;
        *slot = nullptr;
    }

    std::shared_ptr<Exchange> createExchange(MHD_Connection* connection, const char* url, const char* method) const
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->connection = connection;
        exchange->request.method = method;
        exchange->request.path = url;
        exchange->request.authorization = header(connection, "Authorization");
        exchange->request.traceparent = header(connection, "traceparent");
        exchange->request.incarnation = header(connection, "X-Agent-Incarnation");
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectQuery, &exchange->request.query);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &exchange->request.headers);
        return exchange;
    }

    // Records the state of a connection. The deadline of a phase runs from its first call. Returns false if the sweeper has ended
    // the connection.
    bool enter(MHD_Connection* connection, Connection::Phase phase, size_t received, size_t held)
    {
        const std::lock_guard<std::mutex> lock(connectionsMutex);
        const auto it = connections.find(connection);
        if (it == connections.end() || it->second.phase == Connection::Phase::Closing)
            return false;
        if (it->second.phase != phase)
            it->second.since = monotonicNow();
        it->second.phase = phase;
        it->second.received = received;
        it->second.held = held;
        return true;
    }

    void reportRefusal(Refusal refusal) const
    {
        if (options.onRefused)
            options.onRefused(refusal);
    }

    void onBudgetUsedUp()
    {
        if (!budgetWasUsedUp.exchange(true))
            sweeperWakeUp.notify_all();
    }

    Response refuse(Refusal refusal)
    {
        reportRefusal(refusal);
        if (refusal == Refusal::TooLarge)
            return problem({ Verdict::NotRun, statusTooLarge, "allowed: " + std::to_string(options.bodyLimit) + " bytes" });
        if (refusal == Refusal::TooSlow)
            return problem({ Verdict::NotRun, statusTimeout, "the request was not complete in time" });
        onBudgetUsedUp();
        return problem({ Verdict::NotRun, statusUnavailable, "too many bytes are held in requests" });
    }

    bool reserve(Exchange& exchange, size_t more) const
    {
        if (options.budget && !options.budget->reserve(exchange.held, more))
            return false;
        exchange.held += more;
        return true;
    }

    // Called at the end of the headers, before anything of the body is read. libmicrohttpd closes a connection whose request is
    // answered here without reading its body.
    MHD_Result admit(Exchange& exchange)
    {
        const size_t announced = announcedLength(exchange.connection);
        size_t size = exchange.request.path.size();
        for (const auto& it : exchange.request.headers)
            size += it.first.size() + it.second.size() + headerOverhead;
        for (const auto& it : exchange.request.query)
            size += it.first.size() + it.second.size() + headerOverhead;
        std::optional<Refusal> refusal;
        if (announced > options.bodyLimit)
            refusal = Refusal::TooLarge;
        else if (!reserve(exchange, size + announced))
            refusal = Refusal::BudgetUsed;
        if (refusal) {
            // The exchange lives until the connection has ended, and what it holds is not reserved.
            exchange.request = {};
            enter(exchange.connection, Connection::Phase::Answering, 0, 0);
            return queueResponse(exchange.connection, refuse(*refusal), true);
        }
        exchange.bodyReserved = announced;
        enter(exchange.connection, Connection::Phase::ReadingBody, 0, exchange.held);
        return MHD_YES;
    }

    MHD_Result appendBody(Exchange& exchange, const char* data, size_t size)
    {
        std::string& body = exchange.request.body;
        const size_t needed = body.size() + size;
        std::optional<Refusal> refusal;
        if (needed > options.bodyLimit) {
            refusal = Refusal::TooLarge;
        } else if (needed > exchange.bodyReserved) {
            const size_t target = std::min(options.bodyLimit, std::max({ needed, 2 * exchange.bodyReserved, firstReservation }));
            if (reserve(exchange, target - exchange.bodyReserved))
                exchange.bodyReserved = target;
            else
                refusal = Refusal::BudgetUsed;
        }
        if (refusal) {
            sendDirectly(descriptorOf(exchange.connection), refuse(*refusal));
            return MHD_NO;
        }
        if (body.capacity() < exchange.bodyReserved)
            body.reserve(exchange.bodyReserved);
        body.append(data, size);
        enter(exchange.connection, Connection::Phase::ReadingBody, body.size(), exchange.held);
        return MHD_YES;
    }

    // Ends a connection from outside its thread: libmicrohttpd finds it closed by the caller. Requires `connectionsMutex`.
    void end(Connection& connection, Refusal refusal)
    {
        if (connection.phase == Connection::Phase::ReadingBody)
            sendDirectly(connection.descriptor, refuse(refusal));
        else
            reportRefusal(refusal);
        shutdown(connection.descriptor, SHUT_RDWR);
        connection.phase = Connection::Phase::Closing;
    }

    void sweep(TimePoint now)
    {
        const std::lock_guard<std::mutex> lock(connectionsMutex);
        const Duration headerDeadline = std::chrono::seconds(options.idleSeconds) + headerGrace;
        std::vector<Connection*> slowest;
        for (auto& [key, it] : connections) {
            const Duration age = now - it.since;
            const bool readsBody = it.phase == Connection::Phase::ReadingBody;
            if ((it.phase == Connection::Phase::Waiting && age > headerDeadline) || (readsBody && age > options.bodyDeadline))
                end(it, Refusal::TooSlow);
            else if (readsBody && age > shedAge)
                slowest.push_back(&it);
        }
        if (!budgetWasUsedUp)
            return;
        const size_t wanted = options.budget->limit() / shedDivisor;
        if (options.budget->held() + wanted <= options.budget->limit()) {
            budgetWasUsedUp = false;
            return;
        }
        const auto bytesPerMs = [now](const Connection* it) { return it->received / static_cast<size_t>(toMs(now - it->since)); };
        std::sort(slowest.begin(), slowest.end(),
            [&](const Connection* a, const Connection* b) { return bytesPerMs(a) < bytesPerMs(b); });
        size_t freed = 0;
        for (size_t i = 0; i < slowest.size() && freed < wanted; ++i) {
            freed += slowest[i]->held;
            end(*slowest[i], Refusal::Shed);
        }
    }

    void runSweeper()
    {
        std::unique_lock<std::mutex> lock(connectionsMutex);
        while (!stopped) {
            sweeperWakeUp.wait_for(lock, budgetWasUsedUp ? shedInterval : sweepInterval);
            lock.unlock();
            sweep(monotonicNow());
            lock.lock();
        }
    }

    void stopSweeper()
    {
        {
            const std::lock_guard<std::mutex> lock(connectionsMutex);
            stopped = true;
        }
        sweeperWakeUp.notify_all();
        if (sweeper.joinable())
            sweeper.join();
    }

    MHD_Result dispatch(const std::shared_ptr<Exchange>& exchange)
    {
        exchange->started = true;
        ++pending;
        // The body was complete when the sweeper refused the request as not run, so it must not run.
        if (!enter(exchange->connection, Connection::Phase::Answering, 0, 0))
            return MHD_NO;
        // After this process has stood still, the request may be older than its caller's patience, and the caller may have sent
        // it again elsewhere.
        if (options.tracksCallers && isGone(descriptorOf(exchange->connection))) {
            if (options.onDropped)
                options.onDropped(exchange->request);
            return MHD_NO;
        }
        const uint64_t number = ++lastExchange;
        exchange->request.exchange = number;
        if (!suspend(number, exchange))
            return MHD_NO;
        exchange->request.reserve = [this, exchange](size_t bytes) {
            if (reserve(*exchange, bytes))
                return true;
            reportRefusal(Refusal::BudgetUsed);
            onBudgetUsedUp();
            return false;
        };
        handler(std::move(exchange->request),
            [this, exchange, number](Response response) { respond(number, *exchange, std::move(response)); });
        return MHD_YES;
    }

    // Returns false if the server is being destroyed: the responder would come after the daemon has stopped.
    bool suspend(uint64_t number, const std::shared_ptr<Exchange>& exchange)
    {
        exchange->descriptor = descriptorOf(exchange->connection);
        const std::lock_guard<std::mutex> lock(unansweredMutex);
        if (refusesRequests)
            return false;
        MHD_suspend_connection(exchange->connection);
        unansweredExchanges[number] = exchange;
        return true;
    }

    // The first response counts. After a response from `closeUnanswered` the server may be gone, so nothing of it is used then.
    void respond(uint64_t number, Exchange& exchange, Response response)
    {
        const std::lock_guard<std::mutex> lock(exchange.mutex);
        if (exchange.answered)
            return;
        exchange.answered = true;
        exchange.response = std::move(response);
        // Removed and resumed in one step: `closeUnanswered` takes an exchange that it does not find for resumed, and the daemon
        // is stopped after it.
        const std::lock_guard<std::mutex> unansweredLock(unansweredMutex);
        unansweredExchanges.erase(number);
        MHD_resume_connection(exchange.connection);
    }

    void refuseRequests()
    {
        const std::lock_guard<std::mutex> lock(unansweredMutex);
        refusesRequests = true;
    }

    // Closes the connections that are still suspended: libmicrohttpd ends the process if its daemon is stopped with one.
    void closeUnanswered()
    {
        std::map<uint64_t, std::shared_ptr<Exchange>> exchanges;
        {
            const std::lock_guard<std::mutex> lock(unansweredMutex);
            exchanges = unansweredExchanges;
        }
        Response closed;
        closed.status = 0;
        for (const auto& [number, it] : exchanges)
            respond(number, *it, closed);
    }

    // libmicrohttpd does not read from suspended connections and so does not detect a caller that disconnects. No descriptor can
    // be closed and reused during the check, since an exchange is removed from `unansweredExchanges` together with the
    // resumption of its connection, under the lock.
    std::vector<uint64_t> goneCallers() const
    {
        const std::lock_guard<std::mutex> lock(unansweredMutex);
        std::vector<pollfd> descriptors;
        std::vector<uint64_t> numbers;
        for (const auto& it : unansweredExchanges) {
            descriptors.push_back({ it.second->descriptor, POLLRDHUP, 0 });
            numbers.push_back(it.first);
        }
        if (descriptors.empty() || poll(descriptors.data(), descriptors.size(), 0) <= 0)
            return {};
        std::vector<uint64_t> gone;
        for (size_t i = 0; i < descriptors.size(); ++i)
            if (isClosed(descriptors[i]))
                gone.push_back(numbers[i]);
        return gone;
    }
};

Server::Server(ServerOptions options, Handler handler)
    : m_impl(std::make_shared<Impl>())
{
    m_impl->options = std::move(options);
    m_impl->handler = std::move(handler);
}

Server::~Server()
{
    quiesce();
    // Callers with open connections would otherwise begin exchanges until the daemon stops.
    m_impl->refuseRequests();
    for (int n = 0; n < maxDrainPolls && m_impl->pending > 0; ++n)
        std::this_thread::sleep_for(drainPollInterval);
    m_impl->closeUnanswered();
    m_impl->stopSweeper();
    if (m_impl->daemon != nullptr)
        MHD_stop_daemon(m_impl->daemon);
    if (m_impl->quiescedDescriptor >= 0)
        close(m_impl->quiescedDescriptor);
}

Result<void> Server::start()
{
    const ListenAddress listenAddress = resolve(m_impl->options.listen);
    const unsigned v6Flag = listenAddress.storage.ss_family == AF_INET6 ? static_cast<unsigned>(MHD_USE_IPv6) : 0U;
    const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | v6Flag;
    const uint32_t threads = m_impl->options.threads;
    // libmicrohttpd rejects a thread pool of size 1, so the option list ends here in that case.
    const MHD_OPTION poolOption = threads > 1 ? MHD_OPTION_THREAD_POOL_SIZE : MHD_OPTION_END;
    m_impl->daemon = MHD_start_daemon(flags, m_impl->options.listen.port, nullptr, nullptr, &Impl::onAccess, m_impl.get(),
        MHD_OPTION_SOCK_ADDR, &listenAddress.storage, MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, m_impl.get(),
        MHD_OPTION_NOTIFY_CONNECTION, &Impl::onConnection, m_impl.get(), MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemory,
        MHD_OPTION_CONNECTION_LIMIT, m_impl->options.connectionLimit, MHD_OPTION_CONNECTION_TIMEOUT, m_impl->options.idleSeconds,
        poolOption, threads, MHD_OPTION_END);
    if (m_impl->daemon == nullptr)
        return tl::unexpected(Error { Verdict::NotRun, 500, m_impl->options.listen.text() + ": can't listen" });
    m_impl->sweeper = std::thread([impl = m_impl.get()] { impl->runSweeper(); });
    return {};
}

void Server::quiesce()
{
    if (m_impl->daemon != nullptr && m_impl->quiescedDescriptor < 0)
        m_impl->quiescedDescriptor = MHD_quiesce_daemon(m_impl->daemon);
}

std::vector<uint64_t> Server::goneCallers() const { return m_impl->goneCallers(); }

void Server::closeAfterAnswers() { m_impl->closesAfterResponse = true; }

uint64_t Server::pending() const { return m_impl->pending; }

} // namespace fescuegw::http
