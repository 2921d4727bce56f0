#include "Platform/StoreStandIn.h"

#include "Platform/ScriptedEndpoint.h"
#include "platform/Base64.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace PlatformTests {

namespace {

    using nlohmann::json;

    constexpr int okStatus = 200;
    constexpr int historyGoneStatus = 410;
    constexpr int conditionFailedStatus = 412;
    constexpr int busyStatus = 503;
    /// A read of the changes feed is answered after this time; the wait that the request asks for is ignored.
    constexpr std::chrono::milliseconds feedDelay { 100 };

    Http::server_settings makeSettings(uint16_t port)
    {
        Http::server_settings settings;
        settings.port = port;
        return settings;
    }

    std::string decodePercent(const std::string& text)
    {
        std::string decoded;
        for (size_t index = 0; index < text.size(); ++index) {
            if (text[index] != '%' || index + 2 >= text.size()) {
                decoded += text[index];
                continue;
            }
            decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        }
        return decoded;
    }

    std::string parameter(const Http::incoming_request& request, const char* name)
    {
        return decodePercent(Http::queryValue(request.query, name));
    }

} // namespace

store_stand_in::store_stand_in()
    : m_port(findFreePort())
    , m_server(makeSettings(m_port), [this](Http::incoming_request&& request) { answer(std::move(request)); })
    , m_thread([this] { m_server.run(); })
{
}

store_stand_in::~store_stand_in()
{
    m_server.stop();
    m_thread.join();
}

std::string store_stand_in::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void store_stand_in::setMode(store_mode mode)
{
    m_mode = mode;
}

void store_stand_in::failReadsOf(const std::string& table)
{
    const std::lock_guard guard(m_mutex);
    m_unreadableTable = table;
}

void store_stand_in::put(const std::string& table, const std::string& key, const json& value)
{
    const std::lock_guard guard(m_mutex);
    m_rows[{ table, key }] = { value.dump(), ++m_version, false };
}

void store_stand_in::putBytes(const std::string& table, const std::string& key, const std::string& bytes)
{
    const std::lock_guard guard(m_mutex);
    m_rows[{ table, key }] = { bytes, ++m_version, false };
}

void store_stand_in::putUnencoded(const std::string& table, const std::string& key, const std::string& text)
{
    const std::lock_guard guard(m_mutex);
    m_rows[{ table, key }] = { text, ++m_version, false, true };
}

void store_stand_in::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard guard(m_mutex);
    m_rows[{ table, key }] = { "", ++m_version, true };
}

void store_stand_in::backUp()
{
    const std::lock_guard guard(m_mutex);
    m_copiedRows = m_rows;
    m_copiedVersion = m_version;
}

void store_stand_in::restoreCopy(const std::set<std::string>& writtenAgain)
{
    const std::lock_guard guard(m_mutex);
    const auto lostRows = std::exchange(m_rows, m_copiedRows);
    m_version = m_copiedVersion;
    ++m_era;
    for (const auto& [name, row] : lostRows) {
        if (row.version > m_copiedVersion && writtenAgain.contains(name.first))
            m_rows[name] = { row.value, ++m_version, row.isRemoved };
    }
}

void store_stand_in::respond(Common::caller_token token, int status, const std::string& body)
{
    m_server.respond(token, status, { { "Store-Era", std::to_string(m_era) } }, body);
}

std::string store_stand_in::get(const std::string& table, const std::string& key) const
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_rows.find({ table, key });
    return found == m_rows.end() ? std::string() : found->second.value;
}

std::vector<std::string> store_stand_in::keys(const std::string& table) const
{
    const std::lock_guard guard(m_mutex);
    std::vector<std::string> found;
    for (const auto& [name, row] : m_rows) {
        if (name.first == table && !row.isRemoved)
            found.push_back(name.second);
    }
    return found;
}

json store_stand_in::withVersionAndTime(json body) const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    body["ver"] = m_version;
    body["nowMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return body;
}

json store_stand_in::selectRows(const std::string& table, uint64_t after, bool withRemoved, const std::string& from, const std::string& to) const
{
    json rows = json::array();
    for (const auto& [name, row] : m_rows) {
        if (name.first != table || row.version <= after || (row.isRemoved && !withRemoved))
            continue;
        if (name.second < from || (!to.empty() && name.second >= to))
            continue;
        rows.push_back({ { "table", table }, { "part", "" }, { "key", name.second }, { "ver", row.version }, { "value", row.isUnencoded ? row.value : PlatformAdapter::encodeBase64(row.value) } });
        if (row.isRemoved)
            rows.back()["tombstone"] = true;
    }
    return rows;
}

json store_stand_in::transact(const json& body, int& status)
{
    for (const json& condition : body.at("expectedRev")) {
        const auto known = m_rows.find({ condition.at("table"), condition.at("key") });
        const uint64_t version = known == m_rows.end() || known->second.isRemoved ? 0 : known->second.version;
        if (version == condition.at("ver").get<uint64_t>())
            continue;
        status = conditionFailedStatus;
        return { { "rows", selectRows(condition.at("table"), 0, false, condition.at("key"), condition.at("key").get<std::string>() + '\x01') } };
    }
    ++m_version;
    for (const json& write : body.at("writes"))
        m_rows[{ write.at("table"), write.at("key") }] = { PlatformAdapter::decodeBase64(write.at("value").get<std::string>()).value_or(""), m_version, false };
    for (const json& name : body.at("remove"))
        m_rows[{ name.at("table"), name.at("key") }] = { "", m_version, true };
    return json::object();
}

void store_stand_in::answer(Http::incoming_request&& request)
{
    if (m_mode == store_mode::Silent)
        return;
    const std::lock_guard guard(m_mutex);
    if (m_mode == store_mode::Busy)
        return respond(request.token, busyStatus, "");
    int status = okStatus;
    if (request.path == "/v1/rows-tx") {
        const json body = transact(json::parse(request.body), status);
        return respond(request.token, status, withVersionAndTime(body).dump());
    }
    const std::string table = parameter(request, "table");
    if (!table.empty() && table == m_unreadableTable)
        return respond(request.token, busyStatus, "");
    if (request.path == "/v1/rows-get") {
        const json rows = selectRows(table, 0, false, parameter(request, "from"), parameter(request, "to"));
        return respond(request.token, okStatus, withVersionAndTime({ { "rows", rows }, { "hasMore", false } }).dump());
    }
    if (m_mode == store_mode::ForgetHistory)
        return respond(request.token, historyGoneStatus, "{}");
    const uint64_t after = std::stoull("0" + parameter(request, "sinceRev"));
    m_server.runAfter(feedDelay, [this, table, after, token = request.token] {
        const std::lock_guard feedGuard(m_mutex);
        if (after > m_version)
            return respond(token, historyGoneStatus, "{}");
        respond(token, okStatus, withVersionAndTime({ { "rows", selectRows(table, after, true, "", "") } }).dump());
    });
}

} // namespace PlatformTests
