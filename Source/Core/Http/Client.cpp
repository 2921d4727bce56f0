#include "Http/Client.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace Http {

namespace {

    constexpr long firstFinalStatus = 200;
    constexpr long lastStatus = 599;

    struct transfer {
        transfer_id id { 0 };
        CURL* handle { nullptr };
        curl_slist* headerLines { nullptr };
        outgoing_request request;
        client::end_handler onEnd;
        client::data_handler onData;
        std::string body;
        uint64_t received { 0 };
        bool isPaused { false };
        bool isHeadInformational { false }; ///< Of the head that arrives.
        bool isHeadComplete { false }; ///< The final response's head has arrived with its blank line.
        curl_off_t seenBytes { 0 }; ///< Of the response, when its progress was checked last.

        ~transfer()
        {
            curl_slist_free_all(headerLines);
            curl_easy_cleanup(handle);
        }
    };

    size_t receiveBytes(char* bytes, size_t, size_t count, void* userData)
    {
        auto& item = *static_cast<transfer*>(userData);
        if (item.isPaused)
            return CURL_WRITEFUNC_PAUSE;
        item.received += count;
        if (item.received > item.request.maxAnswerBytes)
            return 0;
        if (!item.onData) {
            item.body.append(bytes, count);
            return count;
        }
        long status = 0;
        curl_easy_getinfo(item.handle, CURLINFO_RESPONSE_CODE, &status);
        item.onData(status, { bytes, count });
        return count;
    }

    void handleHeadLine(transfer& item, std::string_view line)
    {
        constexpr std::string_view statusLineStart = "HTTP/";
        if (item.isHeadComplete)
            return;
        if (line.starts_with(statusLineStart)) {
            long status = 0;
            curl_easy_getinfo(item.handle, CURLINFO_RESPONSE_CODE, &status);
            item.isHeadInformational = status < firstFinalStatus;
        }
        const bool isBlank = line == "\r\n" || line == "\n";
        item.isHeadComplete = isBlank && !item.isHeadInformational;
    }

    size_t receiveHeadLine(char* bytes, size_t, size_t count, void* userData)
    {
        handleHeadLine(*static_cast<transfer*>(userData), { bytes, count });
        return count;
    }

    std::vector<header> readHeaders(CURL* handle)
    {
        constexpr int lastResponse = -1;
        std::vector<header> headers;
        curl_header* next = nullptr;
        while ((next = curl_easy_nextheader(handle, CURLH_HEADER, lastResponse, next)))
            headers.push_back({ next->name, next->value });
        return headers;
    }

    void setMethod(transfer& item)
    {
        if (item.request.method == "GET")
            return;
        curl_easy_setopt(item.handle, CURLOPT_CUSTOMREQUEST, item.request.method.c_str());
        curl_easy_setopt(item.handle, CURLOPT_POSTFIELDS, item.request.body.data());
        curl_easy_setopt(item.handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(item.request.body.size()));
    }

    void setHeaders(transfer& item)
    {
        for (const header& line : item.request.headers)
            item.headerLines = curl_slist_append(item.headerLines, (line.name + ": " + line.value).c_str());
        // Without this header line libcurl waits a second for "100 Continue" before it sends a large body.
        item.headerLines = curl_slist_append(item.headerLines, "Expect:");
        curl_easy_setopt(item.handle, CURLOPT_HTTPHEADER, item.headerLines);
    }

    void configure(transfer& item)
    {
        curl_easy_setopt(item.handle, CURLOPT_URL, item.request.url.c_str());
        curl_easy_setopt(item.handle, CURLOPT_PRIVATE, &item);
        curl_easy_setopt(item.handle, CURLOPT_WRITEFUNCTION, receiveBytes);
        curl_easy_setopt(item.handle, CURLOPT_WRITEDATA, &item);
        curl_easy_setopt(item.handle, CURLOPT_HEADERFUNCTION, receiveHeadLine);
        curl_easy_setopt(item.handle, CURLOPT_HEADERDATA, &item);
        curl_easy_setopt(item.handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(item.handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(item.handle, CURLOPT_PROXY, "");
        curl_easy_setopt(item.handle, CURLOPT_TIMEOUT_MS, static_cast<long>(item.request.timeLimit.count()));
        curl_easy_setopt(item.handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(item.request.connectLimit.count()));
        if (!item.request.mayRepeat || !item.request.mayShareConnection) {
            curl_easy_setopt(item.handle, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(item.handle, CURLOPT_FORBID_REUSE, 1L);
        }
        setMethod(item);
        setHeaders(item);
    }

    /// @return whether the status of the answer is one of the protocol.
    bool hasStatus(CURL* handle)
    {
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        return status >= firstFinalStatus && status <= lastStatus;
    }

    transfer_end classify(const transfer& item, CURLcode code)
    {
        // libcurl takes the end of the connection for the end of a head without Content-Length.
        if (code == CURLE_OK)
            return item.isHeadComplete && hasStatus(item.handle) ? transfer_end::Complete : transfer_end::Cut;
        if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT)
            return transfer_end::NotSent;
        if (code != CURLE_OPERATION_TIMEDOUT)
            return transfer_end::Cut;
        curl_off_t connectTime = 0;
        curl_easy_getinfo(item.handle, CURLINFO_CONNECT_TIME_T, &connectTime);
        return connectTime == 0 ? transfer_end::NotSent : transfer_end::TimedOut;
    }

    curl_off_t countReceivedBytes(CURL* handle)
    {
        long headerBytes = 0;
        curl_off_t bodyBytes = 0;
        curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &headerBytes);
        curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &bodyBytes);
        return headerBytes + bodyBytes;
    }

    uint64_t countBytes(CURL* handle)
    {
        long requestBytes = 0;
        curl_off_t sentBytes = 0;
        curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestBytes);
        curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &sentBytes);
        return static_cast<uint64_t>(requestBytes + sentBytes + countReceivedBytes(handle));
    }

} // namespace

/// Runs libcurl's socket interface on epoll, so that poll() costs time per ready socket, not per transfer.
struct client::implementation {
    CURLM* multi { nullptr };
    int epollDescriptor { -1 };
    int wakeDescriptor { -1 };
    using time_point = std::chrono::steady_clock::time_point;

    std::optional<time_point> timerDue;
    std::set<std::pair<time_point, transfer_id>> progressChecks; ///< Of transfers with a stall limit; ended ones may remain.
    transfer_id lastId { 0 };
    std::unordered_map<transfer_id, std::unique_ptr<transfer>> transfers;

    static int watchSocket(CURL*, curl_socket_t socket, int action, void* userData, void* assigned)
    {
        auto& self = *static_cast<implementation*>(userData);
        if (action == CURL_POLL_REMOVE) {
            epoll_ctl(self.epollDescriptor, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event event {};
        event.data.fd = socket;
        if (action != CURL_POLL_OUT)
            event.events |= EPOLLIN;
        if (action != CURL_POLL_IN)
            event.events |= EPOLLOUT;
        const int operation = assigned ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
        epoll_ctl(self.epollDescriptor, operation, socket, &event);
        curl_multi_assign(self.multi, socket, &self);
        return 0;
    }

    static int setTimer(CURLM*, long milliseconds, void* userData)
    {
        auto& self = *static_cast<implementation*>(userData);
        if (milliseconds < 0)
            self.timerDue.reset();
        else
            self.timerDue = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
        return 0;
    }

    void open()
    {
        multi = curl_multi_init();
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, watchSocket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, setTimer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
        epollDescriptor = epoll_create1(EPOLL_CLOEXEC);
        wakeDescriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.fd = wakeDescriptor;
        epoll_ctl(epollDescriptor, EPOLL_CTL_ADD, wakeDescriptor, &event);
    }

    int waitMilliseconds(std::chrono::milliseconds maxWait) const
    {
        std::optional<time_point> due = timerDue;
        if (!progressChecks.empty())
            due = std::min(due.value_or(time_point::max()), progressChecks.begin()->first);
        if (!due)
            return static_cast<int>(maxWait.count());
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(*due - std::chrono::steady_clock::now());
        return static_cast<int>(std::clamp(remaining, std::chrono::milliseconds(0), maxWait).count());
    }

    void handleEvent(const epoll_event& event)
    {
        if (event.data.fd == wakeDescriptor) {
            uint64_t wakeCount = 0;
            static_cast<void>(!read(wakeDescriptor, &wakeCount, sizeof(wakeCount)));
            return;
        }
        int flags = 0;
        if (event.events & EPOLLIN)
            flags |= CURL_CSELECT_IN;
        if (event.events & EPOLLOUT)
            flags |= CURL_CSELECT_OUT;
        if (event.events & (EPOLLERR | EPOLLHUP))
            flags |= CURL_CSELECT_ERR;
        int running = 0;
        curl_multi_socket_action(multi, event.data.fd, flags, &running);
    }

    void runTimer()
    {
        if (!timerDue || *timerDue > std::chrono::steady_clock::now())
            return;
        timerDue.reset();
        int running = 0;
        curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }

    /// Ends transfers whose response has made no progress since the last check.
    void checkProgress(time_point now)
    {
        while (!progressChecks.empty() && progressChecks.begin()->first <= now) {
            const transfer_id id = progressChecks.begin()->second;
            progressChecks.erase(progressChecks.begin());
            const auto found = transfers.find(id);
            if (found == transfers.end())
                continue;
            transfer& item = *found->second;
            const curl_off_t received = countReceivedBytes(item.handle);
            if (received == std::exchange(item.seenBytes, received) && !item.isPaused)
                finish(item.handle, CURLE_OPERATION_TIMEDOUT);
            else
                progressChecks.emplace(now + item.request.stallLimit, id);
        }
    }

    std::unique_ptr<transfer> remove(transfer_id id)
    {
        const auto found = transfers.find(id);
        if (found == transfers.end())
            return nullptr;
        std::unique_ptr<transfer> removed = std::move(found->second);
        transfers.erase(found);
        curl_multi_remove_handle(multi, removed->handle);
        return removed;
    }

    void finish(CURL* handle, CURLcode code)
    {
        transfer* item = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &item);
        transfer_answer answer;
        answer.end = classify(*item, code);
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.status);
        answer.headers = readHeaders(handle);
        answer.wireBytes = countBytes(handle);
        const char* redirectUrl = nullptr;
        curl_easy_getinfo(handle, CURLINFO_REDIRECT_URL, &redirectUrl);
        answer.redirectUrl = redirectUrl ? redirectUrl : "";
        const std::unique_ptr<transfer> removed = remove(item->id);
        answer.body = std::move(removed->body);
        removed->onEnd(std::move(answer));
    }
};

client::client()
    : m_implementation(std::make_unique<implementation>())
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialized);
    m_implementation->open();
}

client::~client()
{
    while (!m_implementation->transfers.empty())
        cancel(m_implementation->transfers.begin()->first);
    curl_multi_cleanup(m_implementation->multi);
    close(m_implementation->epollDescriptor);
    close(m_implementation->wakeDescriptor);
}

transfer_id client::start(outgoing_request request, end_handler onEnd, data_handler onData)
{
    auto item = std::make_unique<transfer>();
    item->id = ++m_implementation->lastId;
    item->handle = curl_easy_init();
    item->request = std::move(request);
    item->onEnd = std::move(onEnd);
    item->onData = std::move(onData);
    configure(*item);
    curl_multi_add_handle(m_implementation->multi, item->handle);
    const transfer_id id = item->id;
    if (item->request.stallLimit.count() > 0)
        m_implementation->progressChecks.emplace(std::chrono::steady_clock::now() + item->request.stallLimit, id);
    m_implementation->transfers.emplace(id, std::move(item));
    return id;
}

void client::cancel(transfer_id id)
{
    m_implementation->remove(id);
}

void client::pause(transfer_id id)
{
    const auto found = m_implementation->transfers.find(id);
    if (found != m_implementation->transfers.end())
        found->second->isPaused = true;
}

void client::resume(transfer_id id)
{
    const auto found = m_implementation->transfers.find(id);
    if (found == m_implementation->transfers.end() || !found->second->isPaused)
        return;
    found->second->isPaused = false;
    curl_easy_pause(found->second->handle, CURLPAUSE_CONT);
}

void client::poll(std::chrono::milliseconds maxWait)
{
    constexpr int maxEvents = 256;
    std::array<epoll_event, maxEvents> events {};
    const int count = epoll_wait(m_implementation->epollDescriptor, events.data(), maxEvents, m_implementation->waitMilliseconds(maxWait));
    for (int index = 0; index < count; ++index)
        m_implementation->handleEvent(events[index]);
    m_implementation->runTimer();
    CURLM* multi = m_implementation->multi;
    int waiting = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi, &waiting)) {
        if (message->msg == CURLMSG_DONE)
            m_implementation->finish(message->easy_handle, message->data.result);
    }
    m_implementation->checkProgress(std::chrono::steady_clock::now());
}

void client::wake()
{
    const uint64_t one = 1;
    static_cast<void>(!write(m_implementation->wakeDescriptor, &one, sizeof(one)));
}

size_t client::active() const
{
    return m_implementation->transfers.size();
}

} // namespace Http
