#include "Platform/RunningNode.h"

#include "Platform/ScriptedEndpoint.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace PlatformTests {

running_node::running_node(node_surroundings surroundings)
    : m_surroundings(std::move(surroundings))
    , m_callers(findFreePort())
    , m_ready(findFreePort())
    , m_peers(findFreePort())
    , m_metrics(findFreePort())
{
    std::string pattern = (std::filesystem::temp_directory_path() / "filbertreel-node-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    startAgain();
}

running_node::~running_node()
{
    Harness::killProcess(child);
    std::filesystem::remove_all(m_folder);
}

void running_node::startAgain(const std::string& extraLines)
{
    writeSettings(extraLines);
    m_earlierLogSize = log().size();
    child = Harness::startProcess({ nextProgram(), "platform-node" }, { "FILBERTREEL_NODE_FILE=" + settingsPath() }, logPath());
    m_isFirstStart = false;
}

std::string running_node::nextProgram()
{
    const std::vector<std::string>& programs = m_surroundings.programs;
    if (programs.empty())
        return NODE_PROGRAM;
    return programs[std::min(m_starts++, programs.size() - 1)];
}

void running_node::writeSettings(const std::string& extraLines) const
{
    std::ofstream file(settingsPath());
    file << "nodeName=" << m_surroundings.name << "\nip=127.0.0.1\nzone=z\nregion=r\nzones.z=r\nbounds.graceS=4\n"
         << "bootstrap=" << (m_isFirstStart ? "true" : "false") << "\n"
         << "listen.front=127.0.0.1:" << m_callers << "\nlisten.ready=127.0.0.1:" << m_ready << "\nlisten.directory=127.0.0.1:" << m_ready
         << "\ninternalPorts=" << m_peers << "," << m_metrics << "\nprovider.address=" << m_surroundings.storeAddress << "\n";
    if (!m_surroundings.cloudAddress.empty())
        file << "cloud.address=" << m_surroundings.cloudAddress << "\ncloud.duties=usage,autoscale\ncloud.dutyPerS=20\n";
    for (const std::string& line : m_surroundings.moreLines)
        file << line << "\n";
    file << extraLines;
}

bool running_node::hasBegun() const
{
    return log().find("\"node_started\"", m_earlierLogSize) != std::string::npos;
}

std::string running_node::log() const
{
    std::ifstream file(logPath());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int running_node::readiness() const
{
    return statusOf(ask(m_ready, "/v1/readyz"));
}

int running_node::served(const std::string& key) const
{
    return statusOf(ask(m_callers, "/p/x", "h.example", key));
}

std::string ask(uint16_t port, const std::string& target, const std::string& host, const std::string& key)
{
    try {
        raw_caller caller(port);
        caller.send("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Filbertreel-Attempt-Id: id1\r\nX-Filbertreel-Time-Budget: 1500\r\nAuthorization: Bearer " + key + "\r\n\r\n");
        return caller.receive();
    } catch (const std::exception&) {
        return {};
    }
}

} // namespace PlatformTests
