#include "fescuegw/http/Client.h"

#include <algorithm>

#include <curl/curl.h>

namespace fescuegw::http {

namespace {

    constexpr int statusBadGateway = 502;
    constexpr std::string_view digestHeader = "x-content-digest:";

    struct ReceivedBody {
        std::string& body;
        size_t limit;
    };

    // libcurl ends the transfer when less than the whole of `data` is taken.
    size_t onBody(char* data, size_t size, size_t count, void* user)
    {
        const auto* received = static_cast<ReceivedBody*>(user);
        const size_t n = size * count;
        if (received->body.size() + n > received->limit)
            return 0;
        received->body.append(data, n);
        return n;
    }

    size_t onHeader(char* data, size_t size, size_t count, void* user)
    {
        std::string line(data, size * count);
        for (char& c : line)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        if (line.starts_with(digestHeader)) {
            const size_t first = line.find_first_not_of(' ', digestHeader.size());
            const size_t last = line.find_last_not_of("\r\n ");
            static_cast<ClientResponse*>(user)->digest = line.substr(first, last - first + 1);
        }
        return size * count;
    }

    // The part of a request body that is not sent yet.
    struct UnsentBody {
        const std::string& body;
        size_t sent = 0;
    };

    size_t readBody(char* buf, size_t size, size_t count, void* user)
    {
        auto* unsent = static_cast<UnsentBody*>(user);
        const size_t n = std::min(size * count, unsent->body.size() - unsent->sent);
        unsent->body.copy(buf, n, unsent->sent);
        unsent->sent += n;
        return n;
    }

    // Called when a connection is made or reused, before the request is sent on it. When a kept connection breaks before the
    // response, libcurl connects anew and sends the request again by itself.
    int onConnected(void* user, char* /*remoteIp*/, char* /*localIp*/, int /*remotePort*/, int /*localPort*/)
    {
        ++*static_cast<size_t*>(user);
        return CURL_PREREQFUNC_OK;
    }

    std::string detailOf(CURLcode code, size_t connections)
    {
        return curl_easy_strerror(code)
            + (connections == 0 ? std::string() : "; connections used: " + std::to_string(connections));
    }

    // The error is that of the last connection. A refused connection proves that the request has not run only if the request was
    // not begun on an earlier one.
    Verdict verdictOf(CURLcode code, size_t connections)
    {
        if (connections > 0)
            return Verdict::MayHaveRun;
        switch (code) {
        case CURLE_COULDNT_CONNECT:
        case CURLE_COULDNT_RESOLVE_HOST:
        case CURLE_URL_MALFORMAT:
        case CURLE_UNSUPPORTED_PROTOCOL:
            return Verdict::NotRun;
        default:
            return Verdict::MayHaveRun;
        }
    }

} // namespace

struct Client::Impl {
    explicit Impl(Connections connections)
        : keepsConnections(connections == Connections::Kept)
    {
    }

    CURL* handle = curl_easy_init();
    bool keepsConnections;
};

Client::Client(Connections connections)
    : m_impl(std::make_unique<Impl>(connections))
{
}

Client::~Client() { curl_easy_cleanup(m_impl->handle); }

Result<ClientResponse> Client::call(const ClientRequest& request)
{
    CURL* handle = m_impl->handle;
    curl_easy_reset(handle);
    ClientResponse response;
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const auto& it : request.headers)
        headers = curl_slist_append(headers, it.c_str());
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    const long fresh = m_impl->keepsConnections ? 0L : 1L;
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, fresh);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, fresh);
    const auto timeoutMs = std::chrono::duration_cast<std::chrono::milliseconds>(request.timeout).count();
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeoutMs));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBody);
    ReceivedBody received { response.body, request.responseLimit };
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &received);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &response);
    UnsentBody unsent { request.body };
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        // When a kept connection breaks before the response, libcurl sends the request again by itself, and the caller learns
        // only of the second response. Without a seek function it cannot repeat a body that it has begun to send, and fails.
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_READFUNCTION, &readBody);
        curl_easy_setopt(handle, CURLOPT_READDATA, &unsent);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    size_t connections = 0;
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &onConnected);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &connections);
    const CURLcode code = curl_easy_perform(handle);
    curl_slist_free_all(headers);
    if (code != CURLE_OK)
        return tl::unexpected(Error { verdictOf(code, connections), statusBadGateway, detailOf(code, connections) });
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    if (!response.digest.empty() && response.digest != contentDigest(response.body))
        return tl::unexpected(Error { Verdict::MayHaveRun, statusBadGateway, "the answer does not match its digest" });
    return response;
}

void initialiseClients() { curl_global_init(CURL_GLOBAL_ALL); }

} // namespace fescuegw::http
