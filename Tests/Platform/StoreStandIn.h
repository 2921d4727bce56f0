#pragma once

/// @file
/// A stand-in for the platform's store: tables of rows with one version counter, conditional transactions, and faults
/// that a test can switch on.

#include "Http/Server.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

namespace PlatformTests {

enum class store_mode {
    Serve,
    Busy, ///< Answers 503 without a change.
    Silent, ///< Never answers.
    ForgetHistory, ///< Answers the changes feed with 410: the history has been discarded.
};

class store_stand_in {
public:
    store_stand_in();
    ~store_stand_in();
    store_stand_in(const store_stand_in&) = delete;
    store_stand_in& operator=(const store_stand_in&) = delete;

    /// @return IP number and port.
    std::string address() const;
    void setMode(store_mode mode);
    /// Answers reads of this table with 503; with an empty name, of none.
    void failReadsOf(const std::string& table);
    /// Writes a row without a condition.
    void put(const std::string& table, const std::string& key, const nlohmann::json& value);
    /// Writes a row of any bytes without a condition.
    void putBytes(const std::string& table, const std::string& key, const std::string& bytes);
    /// Writes a row whose value is given out as it is, without encoding.
    void putUnencoded(const std::string& table, const std::string& key, const std::string& text);
    void remove(const std::string& table, const std::string& key);
    /// Keeps a copy of the rows, as a backup does.
    void backUp();
    /// Returns to the last copy: later writes are gone, their versions are given out again, and the era rises by one.
    /// @param writtenAgain tables whose lost rows their writers write again at once.
    void restoreCopy(const std::set<std::string>& writtenAgain = {});
    /// @return a row's value; empty when there is no such row.
    std::string get(const std::string& table, const std::string& key) const;
    /// @return the keys of a table's rows, without removed ones.
    std::vector<std::string> keys(const std::string& table) const;

private:
    struct stored_row {
        std::string value;
        uint64_t version { 0 };
        bool isRemoved { false };
        bool isUnencoded { false };
    };

    void answer(Http::incoming_request&& request);
    nlohmann::json selectRows(const std::string& table, uint64_t after, bool withRemoved, const std::string& from, const std::string& to) const;
    nlohmann::json transact(const nlohmann::json& body, int& status);
    nlohmann::json withVersionAndTime(nlohmann::json body) const;
    void respond(Common::caller_token token, int status, const std::string& body);

    uint16_t m_port;
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, stored_row> m_rows;
    uint64_t m_version { 0 };
    std::map<std::pair<std::string, std::string>, stored_row> m_copiedRows;
    uint64_t m_copiedVersion { 0 };
    uint64_t m_era { 0 };
    std::string m_unreadableTable;
    std::atomic<store_mode> m_mode { store_mode::Serve };
    Http::server m_server;
    std::thread m_thread;
};

} // namespace PlatformTests
