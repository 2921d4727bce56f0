/// @file
/// The table service in memory: conditional puts, transactions, gets and queries in DynamoDB JSON.

#include "StandIns/StandIns.h"

#include <map>

#include <nlohmann/json.hpp>

namespace StandIns {

namespace {

    using nlohmann::json;

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusUnavailable = 503;

    struct table_answer {
        int status { statusOk };
        json body = json::object();
    };

    struct table_stand_in {
        std::map<std::string, std::map<std::string, json>> rows; ///< By partition key and sort key.
        bool isDown { false };
        int repliesToDrop { 0 }; ///< Number of next writes to apply without an answer.
        int64_t delayMilliseconds { 0 };
        uint64_t writes { 0 };
        uint64_t reads { 0 };
    };

    const json* findRow(const table_stand_in& table, const json& key)
    {
        const auto partition = table.rows.find(key["pk"]["S"]);
        if (partition == table.rows.end())
            return nullptr;
        const auto row = partition->second.find(key["sk"]["S"]);
        return row == partition->second.end() ? nullptr : &row->second;
    }

    bool isConditionMet(const table_stand_in& table, const json& put)
    {
        const std::string condition = put.value("ConditionExpression", "");
        const json* row = findRow(table, put["Item"]);
        if (condition == "attribute_not_exists(pk)")
            return row == nullptr;
        if (condition == "version = :expected")
            return row != nullptr && (*row)["version"] == put["ExpressionAttributeValues"][":expected"];
        return true;
    }

    void store(table_stand_in& table, const json& item)
    {
        table.rows[item["pk"]["S"]][item["sk"]["S"]] = item;
    }

    table_answer conditionFailed(const std::string& type)
    {
        return { statusBadRequest, { { "__type", type }, { "message", "ConditionalCheckFailed" } } };
    }

    table_answer putItem(table_stand_in& table, const json& body)
    {
        ++table.writes;
        if (!isConditionMet(table, body))
            return conditionFailed("ConditionalCheckFailedException");
        store(table, body["Item"]);
        return {};
    }

    table_answer transact(table_stand_in& table, const json& body)
    {
        for (const json& item : body["TransactItems"]) {
            ++table.writes;
            if (!isConditionMet(table, item["Put"]))
                return conditionFailed("TransactionCanceledException");
        }
        for (const json& item : body["TransactItems"])
            store(table, item["Put"]["Item"]);
        return {};
    }

    table_answer getItem(table_stand_in& table, const json& body)
    {
        ++table.reads;
        table_answer answer;
        if (const json* row = findRow(table, body["Key"]))
            answer.body["Item"] = *row;
        return answer;
    }

    table_answer query(table_stand_in& table, const json& body)
    {
        ++table.reads;
        table_answer answer;
        answer.body["Items"] = json::array();
        const json& values = body["ExpressionAttributeValues"];
        const auto partition = table.rows.find(values[":partition"]["S"]);
        if (partition == table.rows.end())
            return answer;
        auto row = partition->second.upper_bound(values[":after"]["S"]);
        for (; row != partition->second.end() && answer.body["Items"].size() < body["Limit"]; ++row)
            answer.body["Items"].push_back(row->second);
        return answer;
    }

    table_answer serve(table_stand_in& table, const std::string& target, const json& body)
    {
        if (target.ends_with(".PutItem"))
            return putItem(table, body);
        if (target.ends_with(".TransactWriteItems"))
            return transact(table, body);
        if (target.ends_with(".GetItem"))
            return getItem(table, body);
        if (target.ends_with(".Query"))
            return query(table, body);
        return { statusBadRequest, { { "__type", "UnknownOperationException" } } };
    }

    bool isWrite(const std::string& target)
    {
        return target.ends_with(".PutItem") || target.ends_with(".TransactWriteItems");
    }

    std::string control(table_stand_in& table, const Http::incoming_request& request)
    {
        const json change = json::parse(request.body, nullptr, false);
        if (change.is_object()) {
            table.isDown = change.value("down", table.isDown);
            table.repliesToDrop = change.value("lose_replies", table.repliesToDrop);
            table.delayMilliseconds = change.value("delay_ms", table.delayMilliseconds);
        }
        return json { { "writes", table.writes }, { "reads", table.reads }, { "down", table.isDown } }.dump();
    }

} // namespace

void runTable(const stand_in_settings& settings)
{
    table_stand_in table;
    Http::server* self = nullptr;
    Http::server server(settings.http, [&](Http::incoming_request&& request) {
        if (request.path == "/control") {
            self->respond(request.token, statusOk, {}, control(table, request));
            return;
        }
        if (table.isDown) {
            self->respond(request.token, statusUnavailable, {}, "{}");
            return;
        }
        const std::string target(Http::findHeader(request.headers, "x-amz-target"));
        const table_answer answer = serve(table, target, json::parse(request.body));
        if (isWrite(target) && table.repliesToDrop > 0) {
            --table.repliesToDrop;
            self->cutAnswer(request.token);
            return;
        }
        const auto reply = [self, token = request.token, answer] { self->respond(token, answer.status, {}, answer.body.dump()); };
        if (table.delayMilliseconds > 0)
            self->runAfter(std::chrono::milliseconds(table.delayMilliseconds), reply);
        else
            reply();
    });
    self = &server;
    server.run();
}

} // namespace StandIns
