#pragma once

/// @file
/// Encodes table operations and decodes their replies in the DynamoDB JSON protocol (version 20120810). No other file
/// depends on the protocol.

#include "Http/Client.h"
#include "Platform/Table.h"

namespace Platform {

/// @param serviceUrl base URL of the table service.
/// @param tableName name of the table that holds all rows.
/// @param operation the operation to encode.
/// @return the HTTP request that performs it.
Http::outgoing_request encodeOperation(const std::string& serviceUrl, const std::string& tableName, const table_operation& operation);

/// @param operation the operation that was sent.
/// @param answer the result of the HTTP transfer.
/// @return the reply; Unknown when a write may or may not have taken effect, Unavailable when a read failed.
table_reply decodeAnswer(const table_operation& operation, const Http::transfer_answer& answer);

} // namespace Platform
