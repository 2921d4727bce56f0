#pragma once

/// @file
/// Table operations in the DynamoDB JSON protocol (version 20120810): the only file that knows it.

#include "Http/Client.h"
#include "Platform/Table.h"

namespace Platform {

/// @param serviceUrl where the table service listens.
/// @param tableName the table that holds all rows.
/// @param operation what to do.
/// @return the HTTP request for it.
Http::outgoing_request encodeOperation(const std::string& serviceUrl, const std::string& tableName, const table_operation& operation);

/// @param operation what was asked.
/// @param answer how the transfer ended.
/// @return the reply; a write whose effect is not known is Unknown.
table_reply decodeAnswer(const table_operation& operation, const Http::transfer_answer& answer);

} // namespace Platform
