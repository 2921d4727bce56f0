#include "Stage.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

    using std::chrono::steady_clock;

    constexpr size_t readBytes = 65536;
    constexpr size_t maxMessageBytes = size_t { 16 } * 1024 * 1024;
    constexpr size_t kilobytesPerMegabyte = 1024;

    sockaddr_in makeAddress(const std::string& ip, uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return text;
    }

    void parseHead(const std::string& head, message& parsed)
    {
        std::istringstream lines(head);
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (parsed.startLine.empty()) {
                parsed.startLine = line;
                continue;
            }
            const size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const size_t start = line.find_first_not_of(' ', colon + 1);
            parsed.headers[lower(line.substr(0, colon))] = start == std::string::npos ? "" : line.substr(start);
        }
    }

    std::string encodeBase64(const std::string& bytes)
    {
        static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (size_t at = 0; at < bytes.size(); at += 3) {
            uint32_t group = 0;
            for (size_t offset = 0; offset < 3; ++offset)
                group = (group << 8) | (at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0);
            for (int digit = 0; digit < 4; ++digit)
                text += at + static_cast<size_t>(digit) > bytes.size() ? '=' : letters[(group >> (18 - 6 * digit)) & 63];
        }
        return text;
    }

    std::string decodeBase64(const std::string& text)
    {
        std::string bytes;
        uint32_t group = 0;
        int bits = 0;
        for (const char letter : text) {
            const std::string letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
            const size_t value = letters.find(letter);
            if (value == std::string::npos)
                break;
            group = (group << 6) | static_cast<uint32_t>(value);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                bytes += static_cast<char>((group >> bits) & 255);
            }
        }
        return bytes;
    }

    std::string queryValue(const std::string& target, const std::string& name)
    {
        const size_t start = target.find('?');
        std::istringstream pairs(start == std::string::npos ? "" : target.substr(start + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            if (pair.rfind(name + "=", 0) != 0)
                continue;
            std::string decoded;
            for (size_t at = name.size() + 1; at < pair.size(); ++at) {
                if (pair[at] == '%' && at + 2 < pair.size()) {
                    decoded += static_cast<char>(std::stoi(pair.substr(at + 1, 2), nullptr, 16));
                    at += 2;
                } else {
                    decoded += pair[at];
                }
            }
            return decoded;
        }
        return {};
    }

    int64_t steadyMs()
    {
        return std::chrono::duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
    }

} // namespace

std::string message::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

int message::status() const
{
    return startLine.rfind("HTTP/1.", 0) == 0 && startLine.size() >= 12 ? std::atoi(startLine.substr(9, 3).c_str()) : 0;
}

std::string message::target() const
{
    const size_t start = startLine.find(' ');
    const size_t end = startLine.find(' ', start + 1);
    return start == std::string::npos || end == std::string::npos ? std::string() : startLine.substr(start + 1, end - start - 1);
}

connection::~connection()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

bool connection::send(const std::string& bytes) const
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

bool connection::fill(steady_clock::time_point end)
{
    pollfd waiting { m_descriptor, POLLIN, 0 };
    const auto left = std::chrono::duration_cast<milliseconds>(end - steady_clock::now()).count();
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0)
        return false;
    std::string bytes(readBytes, '\0');
    const ssize_t count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes, 0, static_cast<size_t>(count));
    return m_buffer.size() < maxMessageBytes;
}

message connection::receive(milliseconds limit)
{
    const auto end = steady_clock::now() + limit;
    message parsed;
    size_t headEnd = std::string::npos;
    while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(end))
            return parsed;
    }
    parseHead(m_buffer.substr(0, headEnd + 2), parsed);
    m_buffer.erase(0, headEnd + 4);
    if (lower(parsed.header("transfer-encoding")) == "chunked") {
        while (true) {
            size_t lineEnd = std::string::npos;
            while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(end))
                    return parsed;
            }
            const size_t size = std::stoul(m_buffer.substr(0, lineEnd), nullptr, 16);
            while (m_buffer.size() < lineEnd + 2 + size + 2) {
                if (!fill(end))
                    return parsed;
            }
            parsed.body += m_buffer.substr(lineEnd + 2, size);
            m_buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                break;
        }
        parsed.isComplete = true;
        return parsed;
    }
    const std::string length = parsed.header("content-length");
    const size_t size = length.empty() ? 0 : std::stoul(length);
    while (m_buffer.size() < size) {
        if (!fill(end)) {
            parsed.body = m_buffer;
            return parsed;
        }
    }
    parsed.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    parsed.isComplete = true;
    return parsed;
}

bool connection::isClosed() const
{
    char byte = 0;
    const ssize_t count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::reset()
{
    const linger abort { 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    ::close(m_descriptor);
    m_descriptor = -1;
}

std::unique_ptr<connection> connectTo(const std::string& ip, uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto made = std::make_unique<connection>(descriptor);
    const sockaddr_in address = makeAddress(ip, port);
    if (descriptor < 0 || connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        return nullptr;
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return made;
}

listener::listener(std::string ip, std::function<void(connection&)> serve)
    : m_ip(std::move(ip))
    , m_serve(std::move(serve))
    , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = makeAddress(m_ip, 0);
    socklen_t size = sizeof(address);
    if (bind(m_socket, reinterpret_cast<const sockaddr*>(&address), size) != 0 || listen(m_socket, 1024) != 0)
        throw std::runtime_error("can't listen");
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { run(); });
}

listener::~listener()
{
    close();
    m_thread.join();
    while (m_running > 0)
        std::this_thread::sleep_for(milliseconds(5));
}

void listener::close()
{
    if (m_isStopping.exchange(true))
        return;
    shutdown(m_socket, SHUT_RDWR);
    const std::lock_guard guard(m_mutex);
    for (connection* open : m_open) {
        const linger abort { 1, 0 };
        setsockopt(open->descriptor(), SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
        shutdown(open->descriptor(), SHUT_RDWR);
    }
}

void listener::run()
{
    while (!m_isStopping) {
        const int accepted = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            break;
        const int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        ++m_running;
        std::thread([this, accepted] {
            {
                connection caller(accepted);
                {
                    const std::lock_guard guard(m_mutex);
                    m_open.push_back(&caller);
                }
                if (!m_isStopping)
                    m_serve(caller);
                const std::lock_guard guard(m_mutex);
                std::erase(m_open, &caller);
            }
            --m_running;
        }).detach();
    }
    ::close(m_socket);
}

store::store()
    : m_listener("127.0.0.1", [this](connection& caller) { serve(caller); })
{
}

void store::put(const std::string& table, const std::string& key, const json& value)
{
    const std::lock_guard guard(m_mutex);
    m_rows[{ table, key }] = { value.dump(), ++m_version, false };
}

void store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard guard(m_mutex);
    m_rows[{ table, key }] = { "", ++m_version, true };
}

json store::get(const std::string& table, const std::string& key)
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_rows.find({ table, key });
    return found == m_rows.end() || found->second.isRemoved ? json() : json::parse(found->second.value, nullptr, false);
}

void store::backUp()
{
    const std::lock_guard guard(m_mutex);
    m_copy = m_rows;
    m_copyVersion = m_version;
}

void store::restore(const std::vector<std::string>& writtenAgain)
{
    const std::lock_guard guard(m_mutex);
    const row_map lost = std::exchange(m_rows, m_copy);
    m_version = m_copyVersion;
    ++m_era;
    for (const auto& [name, item] : lost) {
        const bool isWrittenAgain = std::find(writtenAgain.begin(), writtenAgain.end(), name.first) != writtenAgain.end();
        if (isWrittenAgain && item.version > m_copyVersion)
            m_rows[name] = { item.value, ++m_version, item.isRemoved };
    }
}

void store::serve(connection& caller)
{
    while (true) {
        const message request = caller.receive(std::chrono::hours(1));
        if (!request.isComplete)
            return;
        int status = 200;
        const json body = answer(request, status);
        const std::string text = body.dump();
        std::ostringstream head;
        head << "HTTP/1.1 " << status << " Answer\r\nContent-Type: application/json\r\nStore-Era: " << m_era << "\r\nContent-Length: " << text.size() << "\r\n\r\n";
        if (!caller.send(head.str() + text))
            return;
    }
}

json store::select(const std::string& table, uint64_t after, bool withRemoved, const std::string& from, const std::string& to) const
{
    json rows = json::array();
    for (const auto& [name, item] : m_rows) {
        const bool isOutside = name.second < from || (!to.empty() && name.second >= to);
        if (name.first != table || item.version <= after || (item.isRemoved && !withRemoved) || isOutside)
            continue;
        rows.push_back({ { "table", table }, { "part", "" }, { "key", name.second }, { "value", encodeBase64(item.value) }, { "ver", item.version } });
        if (item.isRemoved)
            rows.back()["tombstone"] = true;
    }
    return rows;
}

json store::transact(const json& body, int& status)
{
    for (const json& condition : body.at("expectedRev")) {
        const std::string key = condition.at("key");
        const auto known = m_rows.find({ condition.at("table"), key });
        const uint64_t version = known == m_rows.end() || known->second.isRemoved ? 0 : known->second.version;
        if (version == condition.at("ver").get<uint64_t>())
            continue;
        status = 412;
        return { { "rows", select(condition.at("table"), 0, false, key, key + '\x01') } };
    }
    ++m_version;
    for (const json& write : body.at("writes"))
        m_rows[{ write.at("table"), write.at("key") }] = { decodeBase64(write.at("value")), m_version, false };
    for (const json& name : body.at("remove"))
        m_rows[{ name.at("table"), name.at("key") }] = { "", m_version, true };
    return json::object();
}

json store::feed(const std::string& table, uint64_t after, milliseconds wait, int& status)
{
    const auto end = steady_clock::now() + wait;
    const uint64_t era = m_era;
    while (true) {
        {
            const std::lock_guard guard(m_mutex);
            if (after > m_version) {
                status = 410;
                return json::object();
            }
            json rows = select(table, after, true, "", "");
            if (!rows.empty() || steady_clock::now() >= end || m_era != era || m_isAway)
                return { { "rows", rows }, { "ver", m_version }, { "nowMs", steadyMs() } };
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
}

json store::answer(const message& request, int& status)
{
    if (m_isAway) {
        status = 503;
        return json::object();
    }
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string table = queryValue(target, "table");
    if (path == "/v1/rows-feed")
        return feed(table, std::stoull("0" + queryValue(target, "sinceRev")), milliseconds(std::stoi("0" + queryValue(target, "waitMs"))), status);
    const std::lock_guard guard(m_mutex);
    json body = json::object();
    if (path == "/v1/rows-tx") {
        body = transact(json::parse(request.body), status);
    } else if (path == "/v1/rows-get") {
        body["rows"] = select(table, 0, false, queryValue(target, "from"), queryValue(target, "to"));
        body["hasMore"] = false;
    } else {
        status = 404;
    }
    body["ver"] = m_version;
    body["nowMs"] = steadyMs();
    return body;
}

node::node(const std::string& command, const std::string& folder, node_settings settings)
    : m_folder(folder + "/" + settings.name)
    , m_settings(std::move(settings))
    , m_callers(findFreePort(m_settings.ip))
    , m_ready(findFreePort(m_settings.ip))
    , m_directory(findFreePort(m_settings.ip))
    , m_firstPeerPort(findFreePort(m_settings.ip))
    , m_lastPeerPort(findFreePort(m_settings.ip))
{
    std::istringstream words(command);
    for (std::string word; words >> word;)
        m_command.push_back(word);
    std::filesystem::create_directories(m_folder);
}

node::~node()
{
    kill();
}

void node::start()
{
    const std::string path = m_folder + "/boot.conf";
    {
        std::ofstream file(path);
        file << "nodeName=" << m_settings.name << "\nrole=node\nmachineClass=front\nserves=front,directory\nip=" << m_settings.ip << "\nzone=z\nregion=r\nzones.z=r\n"
             << "listen.front=" << m_settings.ip << ":" << m_callers << "\nlisten.ready=" << m_settings.ip << ":" << m_ready << "\nlisten.directory=" << m_settings.ip << ":" << m_directory
             << "\ninternalPorts=" << m_firstPeerPort << "," << m_lastPeerPort << "\nbootstrap=" << (m_starts++ == 0 ? "true" : "false")
             << "\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.fileDescriptors=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\nheartbeatMs=1200\n"
             << "bounds.drainMs=3000\nbounds.graceS=8\nbounds.configMs=3000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retrySlack=52\nbounds.quotaWindowS=8\n"
             << "bounds.requireFence=true\nbounds.leaseMs=3000\nbounds.windowS=5\nbounds.usageLateS=10\nbounds.exposureShare=0.1\nbounds.exposureSlack=50\nbounds.ttl_max_s=5\n"
             << "provider.address=" << m_settings.storeAddress << "\nprovider.writesPerS=400\nprovider.readsPerS=2000\n";
        if (!m_settings.cloudAddress.empty())
            file << "cloud.address=" << m_settings.cloudAddress << "\ncloud.perS=50.0\ncloud.duties=usage,autoscale\ncloud.dutyPerS=50.0\n";
        for (const std::string& line : m_settings.lines)
            file << line << "\n";
    }
    std::vector<char*> arguments;
    for (std::string& word : m_command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string setting = "FILBERTREEL_NODE_FILE=" + path;
    const std::string searchPath = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
    const std::string log = m_folder + "/log";
    m_process = fork();
    if (m_process == 0) {
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        const rlimit limit { m_settings.descriptors, m_settings.descriptors };
        if (m_settings.descriptors > 0)
            setrlimit(RLIMIT_NOFILE, &limit);
        char* environment[] = { const_cast<char*>(setting.c_str()), const_cast<char*>(searchPath.c_str()), nullptr };
        execve(arguments[0], arguments.data(), environment);
        _exit(127);
    }
}

void node::signal(int number) const
{
    if (m_process > 0)
        ::kill(m_process, number);
}

void node::kill()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
    m_process = -1;
}

bool node::hasEnded()
{
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process)
        m_process = -1;
    return m_process <= 0;
}

bool node::waitForEnd(milliseconds limit)
{
    return eventually(limit, [this] { return hasEnded(); });
}

bool node::waitUntilReady(milliseconds limit) const
{
    return eventually(limit, [this] {
        const auto caller = connectTo(m_settings.ip, m_ready);
        return caller && caller->send("GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n") && caller->receive(milliseconds(1000)).status() == 200;
    });
}

size_t node::residentMegabytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::stoul(line.substr(line.find_first_of("0123456789"))) / kilobytesPerMegabyte;
    }
    return 0;
}

size_t node::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_process) + "/fd", error);
    return error ? 0 : static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

record::record(const std::string& path)
    : m_file(path, std::ios::trunc)
{
}

void record::line(const std::string& text)
{
    const std::lock_guard guard(m_mutex);
    const auto elapsed = std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_start);
    const std::string time = std::to_string(elapsed.count()) + " ms  ";
    m_file << time << text << std::endl;
    std::cout << time << text << std::endl;
}

uint16_t findFreePort(const std::string& ip)
{
    // Kept open, so that no port is found twice; SO_REUSEADDR lets the node listen after the close.
    static std::vector<uint16_t> found;
    while (true) {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = makeAddress(ip, 0);
        socklen_t size = sizeof(address);
        const bool isBound = bind(descriptor, reinterpret_cast<const sockaddr*>(&address), size) == 0;
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        ::close(descriptor);
        const uint16_t port = ntohs(address.sin_port);
        if (!isBound)
            throw std::runtime_error("no free port on " + ip);
        if (std::find(found.begin(), found.end(), port) != found.end())
            continue;
        found.push_back(port);
        return port;
    }
}

json makeManifest(uint64_t version, const json& routes)
{
    return { { "version", version }, { "routes", routes }, { "services", { { { "name", "s" }, { "healthPath", "/healthz" }, { "maxConnections", 360 } } } },
        { "tenants", { { { "name", "clerks" }, { "apiKeys", { "k1" } } } } },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } } };
}

json makeRoute(const std::string& name, const std::string& kind, int timeoutMs, bool isResumable)
{
    return { { "name", name }, { "hostname", "h.example" }, { "prefix", "/" + name + "/" }, { "routeType", kind }, { "timeoutMs", timeoutMs }, { "targetLatencyMs", 1000 }, { "priority", 1 },
        { "service", "s" }, { "maxAttempts", isResumable || kind == "idempotent" ? 2 : 1 }, { "public", false }, { "sticky", false }, { "resumable", isResumable }, { "gapTargetMs", 1000 } };
}

json makeEntry(const std::string& address, int64_t born, const std::string& state, uint64_t sequence)
{
    return { { "service", "s" }, { "address", address }, { "zone", "z" }, { "version", "v1" }, { "slots", 64 }, { "state", state }, { "coldRemainingMs", 0 }, { "sequence", sequence }, { "born", born } };
}

std::string requestHead(const std::string& method, const std::string& target, const std::string& id, int budgetMs)
{
    return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Filbertreel-Attempt-Id: " + id + "\r\nX-Filbertreel-Time-Budget: " + std::to_string(budgetMs) + "\r\nAuthorization: Bearer k1\r\n";
}

bool eventually(milliseconds limit, const std::function<bool()>& condition)
{
    const auto end = steady_clock::now() + limit;
    while (!condition()) {
        if (steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

int runCase(int count, char** arguments, const std::function<int(const std::string& command, const std::string& folder, record& out, bool isTroubled)>& play)
{
    if (count != 3) {
        std::cerr << "usage: " << arguments[0] << " COMMAND RECORD" << std::endl;
        return notRunExit;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::string folder = (std::filesystem::temp_directory_path() / "filbertreel-review-XXXXXX").string();
    if (!mkdtemp(folder.data()))
        return notRunExit;
    int status = notRunExit;
    {
        record out(arguments[2]);
        const char* trouble = std::getenv("TROUBLE");
        const bool isTroubled = !trouble || std::string(trouble) != "0";
        try {
            status = play(arguments[1], folder, out, isTroubled);
        } catch (const std::exception& error) {
            out.line(std::string("couldn't run: ") + error.what());
        }
        out.line("exit " + std::to_string(status));
    }
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(folder);
    return status;
}

} // namespace Review
