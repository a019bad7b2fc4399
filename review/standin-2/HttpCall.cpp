// fescuegw-review-call METHOD IP:PORT PATH TIMEOUT_MS [BODY_FILE [HEADER]...]: one HTTP call, as a script needs it.
//
// BODY_FILE may be - for none.
// Prints the status and, on the next lines, the body. Follows two redirects. Prints "none" and exits with 1 if no answer comes in
// time.
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using Clock = std::chrono::steady_clock;

constexpr int maxRedirects = 2;
constexpr int statusRedirect = 307;

struct Answer {
    int status = 0;
    std::string location;
    std::string body;
};

// Waits until `descriptor` is ready for `events`. Returns false at `deadline`.
bool await(int descriptor, short events, Clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
    pollfd it { descriptor, events, 0 };
    return left > 0 && poll(&it, 1, static_cast<int>(left)) > 0;
}

bool connectTo(int descriptor, const std::string& address)
{
    const size_t colon = address.rfind(':');
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
    if (colon == std::string::npos || inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr) != 1)
        return false;
    return connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
}

std::string headerValue(const std::string& head, const std::string& name)
{
    std::istringstream lines(head);
    for (std::string line; std::getline(lines, line);) {
        if (line.size() <= name.size() + 2 || strncasecmp(line.c_str(), name.c_str(), name.size()) != 0
            || line[name.size()] != ':')
            continue;
        const size_t first = line.find_first_not_of(' ', name.size() + 1);
        return line.substr(first, line.find_last_not_of("\r ") + 1 - first);
    }
    return "";
}

// Returns nothing until the whole answer has been received.
std::optional<Answer> parse(const std::string& received)
{
    const size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    const std::string head = received.substr(0, end);
    Answer answer;
    answer.status = std::atoi(head.substr(head.find(' ') + 1).c_str());
    answer.location = headerValue(head, "Location");
    answer.body = received.substr(end + 4);
    const size_t length = std::strtoul(headerValue(head, "Content-Length").c_str(), nullptr, 10);
    return answer.body.size() >= length ? std::optional(answer) : std::nullopt;
}

std::optional<Answer> exchange(int descriptor, const std::string& address, const std::string& request, Clock::time_point deadline)
{
    if (!connectTo(descriptor, address) || !await(descriptor, POLLOUT, deadline))
        return std::nullopt;
    if (send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size()))
        return std::nullopt;
    std::string received;
    while (await(descriptor, POLLIN, deadline)) {
        char buf[4096];
        const ssize_t n = recv(descriptor, buf, sizeof buf, 0);
        if (n <= 0)
            return std::nullopt;
        received.append(buf, static_cast<size_t>(n));
        if (auto answer = parse(received))
            return answer;
    }
    return std::nullopt;
}

std::optional<Answer> call(const std::string& method, const std::string& address, const std::string& path,
    const std::string& headers, const std::string& body, std::chrono::milliseconds timeout)
{
    const std::string request = method + " " + path + " HTTP/1.1\r\n" + headers + "Content-Type: application/json\r\n"
        + "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto answer = exchange(descriptor, address, request, Clock::now() + timeout);
    close(descriptor);
    return answer;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5) {
        std::cerr << "fescuegw-review-call METHOD IP:PORT PATH TIMEOUT_MS [BODY_FILE [HEADER]...]\n";
        return 2;
    }
    std::string address = argv[2];
    std::string path = argv[3];
    std::ostringstream body;
    if (argc > 5 && std::string(argv[5]) != "-")
        body << std::ifstream(argv[5]).rdbuf();
    std::string headers;
    for (int i = 6; i < argc; ++i)
        headers += std::string(argv[i]) + "\r\n";
    if (headers.empty())
        headers = "Host: operator.example\r\n";
    const std::string prefix = "http://";
    for (int n = 0; n <= maxRedirects; ++n) {
        const auto answer = call(argv[1], address, path, headers, body.str(), std::chrono::milliseconds(std::atoi(argv[4])));
        if (!answer)
            break;
        if (answer->status == statusRedirect && answer->location.starts_with(prefix)) {
            const size_t slash = answer->location.find('/', prefix.size());
            address = answer->location.substr(prefix.size(), slash - prefix.size());
            path = answer->location.substr(slash);
            continue;
        }
        std::cout << answer->status << '\n' << answer->body << '\n';
        return 0;
    }
    std::cout << "none\n";
    return 1;
}
