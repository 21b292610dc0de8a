// The instances' HTTP interface: converts statements, commands and their answers to and from JSON.

#pragma once

#include "home/upstream.h"
#include "http/http_client.h"

#include <optional>
#include <string>

namespace baobabport::pooler {

http::client_request statement_request_for(const home::upstream_call &call);
http::client_request command_request_for(const home::instance_command &command);

/**
 * Returns the result from an instance's answer. An incomplete or unknown answer counts as lost.
 */
home::upstream_result read_statement_answer(const http::client_answer &answer, home::call_id call);

/**
 * Stores an instance's answer to a command in `out`: its outcome and, if it was answered, the status.
 */
void read_command_answer(const http::client_answer &answer, home::command_result &out);

} // namespace baobabport::pooler
