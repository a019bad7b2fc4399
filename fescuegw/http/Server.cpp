#include "fescuegw/http/Server.h"

#include <array>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace fescuegw::http {

namespace {

    constexpr int statusTooLarge = 413;
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

    // One HTTP exchange. The request is filled in by a server thread; the response may be set on any thread.
    struct Exchange {
        std::mutex mutex;
        MHD_Connection* connection = nullptr;
        Request request;
        Response response;
        bool started = false;
        bool answered = false;
        bool oversized = false;
        int descriptor = -1;
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
    constexpr int statusUnavailable = 503;
    const bool retryLater = error.status == statusTooMany || error.status == statusUnavailable;
    const auto replace = nlohmann::json::error_handler_t::replace;
    return Response { error.status, body.dump(-1, ' ', false, replace), "application/problem+json", retryLater ? 1U : 0U };
}

struct Server::Impl {
    ServerOptions options;
    Handler handler;
    MHD_Daemon* daemon = nullptr;
    int quiescedDescriptor = -1;
    std::atomic<uint64_t> pending { 0 };
    std::atomic<uint64_t> lastExchange { 0 };
    std::atomic<bool> closesAfterResponse { false };
    mutable std::mutex unansweredMutex;
    // Exchanges without a response, by number; filled only if `tracksCallers` is set.
    std::map<uint64_t, std::shared_ptr<Exchange>> unansweredExchanges;

    static MHD_Result onAccess(void* user, MHD_Connection* connection, const char* url, const char* method,
        const char* /*version*/, const char* uploadData, size_t* uploadSize, void** slot)
    {
        auto* self = static_cast<Impl*>(user);
        if (*slot == nullptr) {
            *slot = new std::shared_ptr<Exchange>(self->createExchange(connection, url, method));
            return MHD_YES;
        }
        const std::shared_ptr<Exchange> exchange = *static_cast<std::shared_ptr<Exchange>*>(*slot);
        if (*uploadSize > 0) {
            self->appendBody(*exchange, uploadData, *uploadSize);
            *uploadSize = 0;
            return MHD_YES;
        }
        if (!exchange->started)
            return self->dispatch(exchange);
        return queueResponse(connection, exchange->response, self->closesAfterResponse);
    }

    static void onCompleted(void* user, MHD_Connection* /*connection*/, void** slot, MHD_RequestTerminationCode /*code*/)
    {
        if (*slot == nullptr)
            return;
        auto* self = static_cast<Impl*>(user);
        auto* exchange = static_cast<std::shared_ptr<Exchange>*>(*slot);
        if ((*exchange)->started)
            --self->pending;
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

    void appendBody(Exchange& exchange, const char* data, size_t size) const
    {
        if (exchange.request.body.size() + size > options.bodyLimit) {
            exchange.oversized = true;
            exchange.request.body.clear();
        }
        if (!exchange.oversized)
            exchange.request.body.append(data, size);
    }

    MHD_Result dispatch(const std::shared_ptr<Exchange>& exchange)
    {
        exchange->started = true;
        ++pending;
        if (exchange->oversized) {
            const std::string limit = std::to_string(options.bodyLimit);
            return queueResponse(exchange->connection,
                problem({ Verdict::NotRun, statusTooLarge, "allowed: " + limit + " bytes" }), closesAfterResponse);
        }
        // After this process has stood still, the request may be older than its caller's patience, and the caller may have sent
        // it again elsewhere.
        if (options.tracksCallers && isGone(descriptorOf(exchange->connection))) {
            if (options.onDropped)
                options.onDropped(exchange->request);
            return MHD_NO;
        }
        MHD_suspend_connection(exchange->connection);
        const uint64_t number = ++lastExchange;
        exchange->request.exchange = number;
        if (options.tracksCallers)
            addUnanswered(number, exchange);
        handler(std::move(exchange->request), [this, exchange, number](Response response) {
            if (options.tracksCallers)
                removeUnanswered(number);
            const std::lock_guard<std::mutex> lock(exchange->mutex);
            if (exchange->answered)
                return;
            exchange->answered = true;
            exchange->response = std::move(response);
            MHD_resume_connection(exchange->connection);
        });
        return MHD_YES;
    }

    void addUnanswered(uint64_t number, const std::shared_ptr<Exchange>& exchange)
    {
        exchange->descriptor = descriptorOf(exchange->connection);
        const std::lock_guard<std::mutex> lock(unansweredMutex);
        unansweredExchanges[number] = exchange;
    }

    void removeUnanswered(uint64_t number)
    {
        const std::lock_guard<std::mutex> lock(unansweredMutex);
        unansweredExchanges.erase(number);
    }

    // libmicrohttpd does not read from suspended connections and so does not detect a caller that disconnects. No descriptor can
    // be closed and reused during the check, since an exchange is removed from `unansweredExchanges` before its connection is
    // resumed.
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
    // The daemon may be stopped only after all suspended connections were resumed, which is up to the owner of the handler.
    for (int n = 0; n < maxDrainPolls && m_impl->pending > 0; ++n)
        std::this_thread::sleep_for(drainPollInterval);
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
        MHD_OPTION_CONNECTION_LIMIT, m_impl->options.connectionLimit, MHD_OPTION_CONNECTION_TIMEOUT, m_impl->options.idleSeconds,
        poolOption, threads, MHD_OPTION_END);
    if (m_impl->daemon == nullptr)
        return tl::unexpected(Error { Verdict::NotRun, 500, m_impl->options.listen.text() + ": can't listen" });
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
