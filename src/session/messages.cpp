// Collection of an instance's answer, whose number of rows the protocol does not limit.

#include "session/messages.h"

#include <algorithm>
#include <utility>

namespace baobabport::session {

void statement_answer::add_row(std::string data)
{
    size += data.size() + row_overhead;
    if (size > max_size || dropped)
        rows = {}; // releases the memory
    else
        rows.push_back(std::move(data));
}

void statement_answer::drop_rows()
{
    if (rows.empty())
        return;
    rows = {};
    dropped = true;
}

void statement_answer::finish(const prompt &at)
{
    end = at;
    if (error) {
        rows = {};
        error->text.resize(std::min(error->text.size(), max_error_text));
        return;
    }
    if (size + receipt.size() <= max_size && !dropped)
        return;
    cut = true;
    rows = {};
    receipt = {};
    error =
        failure{answer_code::failed, dropped ? "no memory is left for the answer" : "the answer is too long"};
}

} // namespace baobabport::session
