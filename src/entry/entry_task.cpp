#include "entry/entry_task.h"

#include "inner/message_codec.h"
#include "support/json_log.h"
#include "support/keys.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace baobabport::entry {

using consistency::verdict;
using inner::message_kind;
using inner::statement_answer;
using inner::transaction_step;
using std::chrono::steady_clock;

namespace {

/// For requests whose class is not in this entry's document yet; the home applies the class's deadline.
constexpr std::chrono::milliseconds default_deadline{10000};

/// The home answers by the deadline; this allows for the time its answer takes to arrive.
constexpr std::chrono::milliseconds answer_grace_period{250};
constexpr std::chrono::milliseconds document_timeout{1000};
constexpr std::chrono::milliseconds stop_interval{20};
constexpr std::chrono::milliseconds linger{200};
constexpr std::size_t session_id_bytes = 12;

/// A body above the limit is still read up to this many bytes further, so that its caller gets an answer.
constexpr std::size_t oversized_body_allowance = 1024UL * 1024;

std::vector<routing::candidate> candidates_of(const settings::process_settings &settings)
{
    std::vector<routing::candidate> out;
    for (const auto &it : settings.poolers)
        out.push_back({it.name, it.data_centre});
    return out;
}

/// Returns the VM number from a transaction's id, `database.vm.time.number`, or an empty string.
std::string vm_of_transaction(const std::string &database, const std::string &id)
{
    if (!id.starts_with(database + '.'))
        return {};
    const auto at = database.size() + 1;
    return id.substr(at, id.find('.', at) - at);
}

} // namespace

entry_task::entry_task(event_base *base, settings::process_settings settings, stopped_hook stopped)
    : base_(base), settings_(std::move(settings)), stopped_(std::move(stopped)),
      tokens_(settings_.keys.session, settings_.keys.former_session), store_(base, settings_.store),
      links_(base, settings_.process, {settings_.keys.inner, settings_.keys.former_inner}),
      selector_(candidates_of(settings_), seed_of(settings_)), stop_timer_(base, [this] { check_stopped(); })
{
    for (const auto &it : settings_.poolers) {
        links_.set_address(it.name, it.inner);
        pooler_of_vm_[std::to_string(it.vm_number)] = it.name;
    }
    for (const auto &config : settings_.databases) {
        auto &ranked = databases_[config.name].ranked;
        ranked.name = config.name;
        for (const auto &it : config.instances)
            ranked.data_centres.push_back(it.data_centre);
    }
    vm_list_task_ =
        std::make_unique<store::vm_list_task>(base, store_, seed_of(settings_), [this](const auto &list) {
            for (const auto &it : settings_.poolers) {
                const auto &names = list.leaving_vms;
                selector_.set_leaving(it.name, std::find(names.begin(), names.end(), it.name) != names.end());
            }
        });
    http::operator_server::hooks hooks;
    hooks.healthy = [this] { return !draining_; };
    hooks.state = [this] { return dump(); };
    hooks.metrics = [this] { return metrics_text(); };
    hooks.drain = [this] { drain(); };
    operators_ = std::make_unique<http::operator_server>(base, settings_.operators, settings_.keys.operators,
                                                         settings_.keys.former_operators, std::move(hooks));
    callers_ = std::make_unique<http::http_server>(
        base, *settings_.callers, settings_.limits.body_bytes + oversized_body_allowance,
        [this](const auto &request, const auto &answer) { handle(request, answer); });
    support::log_event("started", {{"callers", settings_.callers->text()}});
}

void entry_task::refuse(int status, std::string reason, std::string detail, http::responder &answer)
{
    metrics_.count("baobabport_entry_refused_total", support::label("reason", reason));
    answer.send(write_caller_refusal({status, std::move(reason), std::move(detail)}));
}

void entry_task::handle(const http::server_request &request, const std::shared_ptr<http::responder> &answer)
{
    if (request.path == "/health") {
        answer->send({draining_ ? 503 : 200, "{}", {}});
        return;
    }
    if (request.body.size() > settings_.limits.body_bytes) {
        refuse(413, "body_too_long", "allowed: " + std::to_string(settings_.limits.body_bytes) + " bytes",
               *answer);
        return;
    }
    const auto parsed = reader_.read(request);
    if (!parsed) {
        const auto &why = reader_.last_refusal();
        refuse(why.status, why.reason, why.detail, *answer);
        return;
    }
    const auto state = databases_.find(parsed->database);
    if (state == databases_.end()) {
        refuse(404, "unknown_database", "no database of that name", *answer);
        return;
    }
    const auto it = std::make_shared<forwarding>();
    it->request = *parsed;
    it->answer = answer;
    it->arrived = steady_clock::now();
    if (!read_session(request, *it)) {
        refuse(400, std::string(tokens_.last_reason()), "the session token is not one of ours", *answer);
        return;
    }
    if (!admit(*parsed, state->second)) {
        refuse(429, "entry_busy", "too many requests in progress", *answer);
        return;
    }
    const auto *const policy = state->second.document.current()
                                   ? state->second.document.current()->find(parsed->class_name)
                                   : nullptr;
    auto time_left = parsed->time_left;
    if (time_left.count() == 0)
        time_left = policy ? policy->deadline : default_deadline;
    it->deadline = it->arrived + time_left;
    ++in_progress_;
    ++state->second.in_progress;
    forward(it);
}

bool entry_task::read_session(const http::server_request &request, forwarding &out)
{
    if (!request.session_token.empty()) {
        const auto token = tokens_.read(request.session_token);
        if (!token)
            return false;
        out.token = *token;
        if (const auto *const floor = out.token.find(out.request.database)) {
            out.request.floor = floor->floor;
            out.request.in_doubt = floor->in_doubt;
        } else {
            out.request.floor = consistency::position{}; // the session has no position in this database yet
        }
    }
    if (out.token.id().empty()) {
        // A caller with neither a token nor a name begins a session that has no minimum position yet.
        if (out.request.caller.empty())
            out.request.floor = consistency::position{};
        const auto id = out.request.caller.empty()
                            ? support::to_base64(support::random_bytes(session_id_bytes))
                            : out.request.caller;
        out.token = consistency::session_token(id);
    }
    if (out.request.caller.empty())
        out.request.caller = out.token.id();
    return true;
}

bool entry_task::admit(const inner::statement_request &request, database_state &state)
{
    const bool continues_transaction =
        request.step != transaction_step::none && request.step != transaction_step::begin;
    if (continues_transaction)
        return true;
    return in_progress_ < settings_.limits.in_progress &&
           state.in_progress < settings_.limits.in_progress_per_database;
}

std::optional<routing::home_choice> entry_task::choose(const forwarding &it, database_state &state,
                                                       time_point now)
{
    const bool bound = !it.request.transaction.empty();
    if (bound) {
        const auto vm = vm_of_transaction(it.request.database, it.request.transaction);
        const auto pooler = pooler_of_vm_.find(vm);
        if (pooler == pooler_of_vm_.end() || !it.tried.empty())
            return std::nullopt;
        return routing::home_choice{pooler->second, 0};
    }
    if (settings_.policy == home::policy_kind::plain && it.tried.empty()) {
        // The plain policy, a baseline for comparisons: an entry uses the pooler on its own VM.
        for (const auto &pooler : settings_.poolers) {
            if (pooler.vm_number == settings_.vm_number)
                return routing::home_choice{pooler.name, 0};
        }
    }
    return selector_.choose(state.ranked, it.tried, now);
}

void entry_task::forward(const forwarding_ptr &it)
{
    const auto now = steady_clock::now();
    auto &state = databases_.at(it->request.database);
    const auto home = choose(*it, state, now);
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(it->deadline - now);
    if (!home || remaining.count() <= 0) {
        ++it->tries;
        handle_failed_attempt(it, routing::attempt_end::not_reached);
        return;
    }
    ++it->tries;
    it->tried.push_back(home->pooler);
    it->request.rank = home->rank;
    const bool deadline_is_known = it->request.time_left.count() > 0 || state.document.current() != nullptr;
    auto message = it->request;
    message.time_left = deadline_is_known ? remaining : std::chrono::milliseconds(0);
    links_.send(home->pooler, message_kind::statement, inner::encode(message),
                remaining + answer_grace_period,
                [this, it, home = *home](const auto &outcome) { handle_outcome(it, home, outcome); });
}

void entry_task::handle_outcome(const forwarding_ptr &it, const routing::home_choice &home,
                                const inner::stream_outcome &outcome)
{
    const auto now = steady_clock::now();
    auto &state = databases_.at(it->request.database);
    if (!outcome.answered) {
        selector_.record_failure(home.pooler, now);
        metrics_.count("baobabport_entry_home_failed_total", support::label("pooler", home.pooler));
        handle_failed_attempt(it, outcome.may_have_arrived ? routing::attempt_end::lost
                                                           : routing::attempt_end::not_reached);
        return;
    }
    const auto answer = inner::decode<statement_answer>(outcome.body);
    if (!answer) {
        handle_failed_attempt(it, routing::attempt_end::lost);
        return;
    }
    selector_.record_answer(home.pooler, now);
    fetch_newer_document(state, home, answer->document_revision);
    if (answer->use_next_rank && answer->outcome == verdict::not_run) {
        selector_.record_declined(it->request.database, home.pooler, now);
        handle_failed_attempt(it, routing::attempt_end::declined);
        return;
    }
    if (answer->outcome == verdict::ran && state.document.current())
        state.retries.succeeded(state.document.current()->limits.retry_percent);
    finish(it, *answer);
}

void entry_task::handle_failed_attempt(const forwarding_ptr &it, routing::attempt_end end)
{
    auto &state = databases_.at(it->request.database);
    routing::forward_state progress;
    progress.step = it->request.step;
    progress.tries = it->tries;
    if (state.document.current())
        progress.policy = state.document.current()->find(it->request.class_name);
    progress.time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(it->deadline - steady_clock::now());
    progress.retry_available = end != routing::attempt_end::lost || state.retries.try_acquire();
    const auto decision = routing::decide_after(end, progress);
    if (decision.try_next) {
        metrics_.count("baobabport_entry_retries_total", "");
        forward(it);
        return;
    }
    statement_answer answer;
    answer.outcome = decision.outcome;
    answer.reason = decision.reason;
    finish(it, answer);
}

void entry_task::finish(const forwarding_ptr &it, const statement_answer &answer)
{
    --in_progress_;
    --databases_.at(it->request.database).in_progress;
    update_token(*it, answer);
    auto reply = write_caller_answer(answer);
    reply.headers.push_back({http::session_header, tokens_.write(it->token)});
    const auto response_time =
        std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - it->arrived);
    const auto outcome = std::string(consistency::to_string(answer.outcome));
    const auto class_label = support::label("class", it->request.class_name);
    metrics_.record("baobabport_entry_seconds", class_label, response_time);
    metrics_.count("baobabport_entry_requests_total", class_label + ',' + support::label("verdict", outcome));
    it->answer->send(reply);
}

void entry_task::update_token(forwarding &it, const statement_answer &answer) const
{
    const auto &database = it.request.database;
    const bool provisional =
        it.request.step == transaction_step::begin || it.request.step == transaction_step::statement;
    if (answer.outcome == verdict::ran && !provisional)
        it.token.raise(database, answer.at);
    if (answer.outcome == verdict::unknown)
        it.token.set_in_doubt(database, true);
    else if (answer.settles_doubt)
        it.token.set_in_doubt(database, false);
}

void entry_task::fetch_newer_document(database_state &state, const routing::home_choice &home,
                                      std::uint64_t revision)
{
    if (revision <= state.document.revision() || state.fetching_document)
        return;
    state.fetching_document = true;
    const auto database = state.ranked.name;
    const auto message = inner::encode(inner::document_request{database, state.document.revision()});
    links_.send(home.pooler, message_kind::document, message, document_timeout,
                [this, database](const auto &outcome) {
                    auto &target = databases_.at(database);
                    target.fetching_document = false;
                    const auto answer = inner::decode<inner::document_answer>(outcome.body);
                    if (outcome.answered && answer && answer->revision > 0)
                        target.document.offer(database, answer->revision, answer->text, steady_clock::now());
                });
}

void entry_task::drain()
{
    if (draining_)
        return;
    draining_ = true;
    drain_began_ = steady_clock::now();
    support::log_event("draining");
    callers_->stop_listening();
    stop_timer_.repeat(stop_interval);
}

void entry_task::check_stopped()
{
    const auto waited = steady_clock::now() - drain_began_;
    const bool idle = in_progress_ == 0;
    if (waited >= settings_.stop_within || (idle && waited >= linger)) {
        support::log_event("stopped", {{"idle", idle ? "true" : "false"}});
        stop_timer_.stop();
        stopped_();
    }
}

std::string entry_task::dump() const
{
    using nlohmann::json;
    json databases = json::object();
    for (const auto &[name, state] : databases_)
        databases[name] = {{"in_progress", state.in_progress},
                           {"document_revision", state.document.revision()}};
    json poolers = json::object();
    for (const auto &it : settings_.poolers)
        poolers[it.name] = {{"connected", links_.connected(it.name)}};
    return json{{"process", settings_.process},
                {"program", "baobabport-entry"},
                {"version", BAOBABPORT_VERSION},
                {"data_centre", settings_.data_centre},
                {"draining", draining_},
                {"in_progress", in_progress_},
                {"callers", callers_->open_connections()},
                {"databases", databases},
                {"poolers", poolers},
                {"store", {{"calls", store_.calls()}, {"healthy", store_.healthy()}}}}
        .dump(2);
}

std::string entry_task::metrics_text()
{
    metrics_.set("baobabport_entry_in_progress", "", in_progress_);
    metrics_.set("baobabport_store_calls", "", static_cast<double>(store_.calls()));
    return metrics_.text();
}

} // namespace baobabport::entry
