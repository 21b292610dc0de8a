// The instances' HTTP interface: statements and commands as JSON.

#pragma once

#include "home/upstream.h"
#include "http/http_client.h"

#include <optional>
#include <string>

namespace baobabport::pooler {

http::client_request statement_request_for(const home::upstream_call &call);
http::client_request command_request_for(const home::instance_command &command);

/**
 * Returns the result in an instance's answer; anything but a whole, known answer counts as lost.
 */
home::upstream_result read_statement_answer(const http::client_answer &answer, home::call_id call);

/**
 * Fills in what an instance answered to a command.
 */
void read_command_answer(const http::client_answer &answer, home::command_result &out);

} // namespace baobabport::pooler
