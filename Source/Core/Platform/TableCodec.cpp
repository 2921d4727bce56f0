#include "Platform/TableCodec.h"

#include "Common/Json.h"
#include "Common/Text.h"

#include <nlohmann/json.hpp>

namespace Platform {

namespace {

    using nlohmann::json;

    constexpr std::string_view protocolPrefix = "DynamoDB_20120810.";
    constexpr std::chrono::milliseconds operationTimeLimit { 2000 };
    constexpr std::chrono::milliseconds connectTimeLimit { 500 };
    constexpr long statusOk = 200;
    constexpr long statusBadRequest = 400;
    constexpr long statusUnavailable = 503;

    json encodeText(const std::string& text)
    {
        return { { "S", text } };
    }

    json encodeNumber(uint64_t number)
    {
        return { { "N", std::to_string(number) } };
    }

    json encodeKey(const table_key& key)
    {
        return { { "pk", encodeText(key.partition) }, { "sk", encodeText(key.sort) } };
    }

    json encodePut(const std::string& tableName, const table_put& put)
    {
        json item = encodeKey(put.row.key);
        item["version"] = encodeNumber(put.row.version);
        item["body"] = encodeText(put.row.body);
        json encoded { { "TableName", tableName }, { "Item", item } };
        if (put.condition == put_condition::Absent)
            encoded["ConditionExpression"] = "attribute_not_exists(pk)";
        if (put.condition == put_condition::VersionIs) {
            encoded["ConditionExpression"] = "version = :expected";
            encoded["ExpressionAttributeValues"] = { { ":expected", encodeNumber(put.expectedVersion) } };
        }
        return encoded;
    }

    /// The API action, without protocol prefix, and the request body.
    struct encoded_call {
        std::string_view action;
        json body;
    };

    encoded_call encodeCall(const std::string& tableName, const table_write& write)
    {
        if (write.puts.size() == 1)
            return { "PutItem", encodePut(tableName, write.puts.front()) };
        json items = json::array();
        for (const table_put& put : write.puts)
            items.push_back({ { "Put", encodePut(tableName, put) } });
        return { "TransactWriteItems", { { "TransactItems", items } } };
    }

    encoded_call encodeCall(const std::string& tableName, const table_get& get)
    {
        return { "GetItem", { { "TableName", tableName }, { "Key", encodeKey(get.key) }, { "ConsistentRead", true } } };
    }

    encoded_call encodeCall(const std::string& tableName, const table_query& query)
    {
        json body { { "TableName", tableName }, { "ConsistentRead", true }, { "Limit", query.limit } };
        body["KeyConditionExpression"] = "pk = :partition AND sk > :after";
        body["ExpressionAttributeValues"] = {
            { ":partition", encodeText(query.partition) },
            { ":after", encodeText(query.afterSort) },
        };
        return { "Query", body };
    }

    table_row decodeRow(const json& item)
    {
        table_row row;
        row.key.partition = item.at("pk").at("S").get<std::string>();
        row.key.sort = item.at("sk").at("S").get<std::string>();
        row.version = Common::parseUnsigned(item.at("version").at("N").get<std::string>()).value_or(0);
        row.body = item.at("body").at("S").get<std::string>();
        return row;
    }

    table_reply decodeRows(const std::string& body)
    {
        table_reply reply;
        const json parsed = Common::parseJson(body);
        if (!parsed.is_object())
            return reply;
        try {
            if (parsed.contains("Item"))
                reply.rows.push_back(decodeRow(parsed["Item"]));
            for (const json& item : parsed.value("Items", json::array()))
                reply.rows.push_back(decodeRow(item));
        } catch (const json::exception&) {
            return {};
        }
        reply.outcome = table_outcome::Done;
        return reply;
    }

    table_outcome classifyWrite(const Http::transfer_answer& answer)
    {
        if (answer.end == Http::transfer_end::NotSent)
            return table_outcome::Unavailable;
        if (answer.end != Http::transfer_end::Complete)
            return table_outcome::Unknown;
        if (answer.status == statusOk)
            return table_outcome::Done;
        // The service sends this status before it executes the call, when it is throttled or unavailable.
        if (answer.status == statusUnavailable)
            return table_outcome::Unavailable;
        if (answer.status != statusBadRequest)
            return table_outcome::Unknown;
        const bool hasFailedCondition = answer.body.find("ConditionalCheckFailed") != std::string::npos;
        return hasFailedCondition ? table_outcome::ConditionFailed : table_outcome::Unavailable;
    }

} // namespace

Http::outgoing_request encodeOperation(const std::string& serviceUrl, const std::string& tableName, const table_operation& operation)
{
    const encoded_call call = std::visit([&tableName](const auto& item) { return encodeCall(tableName, item); }, operation);
    Http::outgoing_request request;
    request.method = "POST";
    request.url = serviceUrl + "/";
    request.headers = {
        { "Content-Type", "application/x-amz-json-1.0" },
        { "X-Amz-Target", std::string(protocolPrefix) + std::string(call.action) },
    };
    request.body = call.body.dump(-1, ' ', false, json::error_handler_t::replace);
    request.timeLimit = operationTimeLimit;
    request.connectLimit = connectTimeLimit;
    return request;
}

table_reply decodeAnswer(const table_operation& operation, const Http::transfer_answer& answer)
{
    if (std::holds_alternative<table_write>(operation))
        return { classifyWrite(answer), {} };
    const bool isSuccessful = answer.end == Http::transfer_end::Complete && answer.status == statusOk;
    return isSuccessful ? decodeRows(answer.body) : table_reply {};
}

} // namespace Platform
