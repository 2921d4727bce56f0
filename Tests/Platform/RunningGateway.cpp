#include "Platform/RunningGateway.h"

#include "platform/CallHeaders.h"

#include <stdexcept>

namespace PlatformTests {

namespace {

    using std::chrono::milliseconds;

    Catalog::route makeRoute(const char* prefix, Catalog::route_kind kind, bool isResumable, uint32_t maxEndpoints)
    {
        Catalog::route item;
        item.name = { prefix };
        item.host = "h.example";
        item.prefix = prefix;
        item.shares = { { { "s" }, 1 } };
        item.kind = kind;
        item.isResumable = isResumable;
        item.maxEndpoints = maxEndpoints;
        item.timeout = milliseconds(1500);
        return item;
    }

} // namespace

Catalog::catalog_pointer makeTestCatalog()
{
    auto newCatalog = std::make_shared<Catalog::catalog>();
    newCatalog->version = 1;
    newCatalog->routes = {
        makeRoute("/once/", Catalog::route_kind::AtMostOnce, false, 2),
        makeRoute("/idem/", Catalog::route_kind::Idempotent, false, 2),
        makeRoute("/stream/", Catalog::route_kind::Stream, false, 1),
        makeRoute("/resume/", Catalog::route_kind::Stream, true, 2),
    };
    Catalog::service service;
    service.name = { "s" };
    newCatalog->services.emplace(service.name, service);
    Catalog::account account;
    account.id = { "clerks" };
    account.keys = { "k1" };
    newCatalog->accounts.push_back(account);
    Catalog::indexCatalog(*newCatalog);
    return newCatalog;
}

std::string chunk(const std::string& text)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string size;
    for (size_t left = text.size(); left > 0; left /= 16)
        size.insert(size.begin(), digits[left % 16]);
    return size + "\r\n" + text + "\r\n";
}

running_gateway::running_gateway(const std::vector<std::vector<scripted_answer>>& scripts, bool hasCatalog, Gateway::gateway_outlets outlets)
{
    Gateway::gateway_settings settings;
    settings.facts.listen.callers = "127.0.0.1:" + std::to_string(port);
    settings.facts.zone = { "z" };
    settings.facts.isFirstStart = true;
    settings.wire = PlatformAdapter::makeWireFormat();
    duty = std::make_unique<Gateway::gateway_duty>(settings, std::move(outlets));
    for (const auto& script : scripts) {
        endpoints.push_back(std::make_unique<scripted_endpoint>(script));
        Fleet::endpoint item;
        item.id = { "e" + std::to_string(endpoints.size()) };
        item.service = { "s" };
        // Only the first endpoint is in the gateway's zone, so requests are sent there first.
        item.zone = { listed.empty() ? "z" : "far" };
        item.address = endpoints.back()->address();
        listed[item.id] = item;
    }
    if (hasCatalog)
        static_cast<void>(duty->submit(Gateway::catalog_update { makeTestCatalog() }));
    sendListing();
    thread = std::thread([this] { duty->run(); });
    waitUntilListening(port);
}

running_gateway::~running_gateway()
{
    duty->stop();
    thread.join();
}

void running_gateway::sendListing()
{
    Gateway::endpoints_update message { listed };
    for (size_t number = 1; number <= endpoints.size(); ++number) {
        if (endpoints[number - 1]->isDown())
            message.endpoints.erase({ "e" + std::to_string(number) });
    }
    static_cast<void>(duty->submit(std::move(message)));
}

void waitUntilListening(uint16_t port)
{
    for (int tries = 0; tries < 200; ++tries) {
        try {
            raw_caller probe(port);
            return;
        } catch (const std::exception&) {
            std::this_thread::sleep_for(milliseconds(10));
        }
    }
    throw std::runtime_error("the gateway does not accept connections after 200 tries");
}

size_t running_gateway::arrivals() const
{
    size_t count = 0;
    for (const auto& endpoint : endpoints)
        count += endpoint->requests().size();
    return count;
}

std::string makeRequest(const std::string& target, const std::string& extraLines, const std::string& body, const std::string& key)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Filbertreel-Attempt-Id: id7\r\nX-Filbertreel-Time-Budget: 1200\r\nAuthorization: Bearer "
        + key + "\r\n" + extraLines + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace PlatformTests
