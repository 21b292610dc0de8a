#include "support/fake_site.h"

#include <utility>

namespace fake {

namespace {

constexpr milliseconds tick{5};
constexpr milliseconds open_time{12};
constexpr milliseconds open_timeout{1000};
constexpr milliseconds statement_time{2};
constexpr milliseconds poll_interval{2};
constexpr std::uint32_t slots = 2;
constexpr std::uint32_t connection_limit = 16;

document::class_policy make_class(const char *name, document::access_kind access, milliseconds deadline)
{
    document::class_policy out;
    out.name = name;
    out.access = access;
    out.deadline = deadline;
    return out;
}

const char *name_of(inner::transaction_step step, bool write)
{
    switch (step) {
    case inner::transaction_step::begin:
        return "begin";
    case inner::transaction_step::statement:
        return "statement";
    case inner::transaction_step::commit:
        return "commit";
    case inner::transaction_step::rollback:
        return "rollback";
    case inner::transaction_step::none:
        break;
    }
    return write ? "write" : "read";
}

} // namespace

std::shared_ptr<const document::service_document> test_document()
{
    using document::access_kind;
    document::service_document out;
    out.database = "db";
    out.revision = 1;
    auto booking = make_class("booking", access_kind::write, milliseconds(800));
    booking.priority = document::priority_kind::first;
    auto mark = make_class("mark", access_kind::write, milliseconds(800));
    mark.repeatable = true;
    mark.retries = 2;
    auto sheet = make_class("sheet", access_kind::read, milliseconds(800));
    sheet.staleness = milliseconds(1000);
    sheet.shareable = true;
    sheet.share_for = milliseconds(200);
    auto fast = make_class("fast", access_kind::write, milliseconds(800));
    fast.durability = document::durability_kind::primary;
    out.classes = {booking, mark, make_class("visit", access_kind::read, milliseconds(800)), sheet, fast};
    out.limits.transaction_idle = milliseconds(1500);
    return std::make_shared<const document::service_document>(out);
}

fake_site::fake_site(site_options options)
    : options_(options), group_(options.instances), homes_(options.homes), leaving_(options.instances, false),
      start_(std::chrono::hours(1)), now_(start_)
{
    set_lag(options_.lag);
    for (std::size_t n = 0; n < homes_.size(); ++n)
        start_home(n);
}

milliseconds fake_site::elapsed() const
{
    return std::chrono::duration_cast<milliseconds>(now_ - start_);
}

void fake_site::at(milliseconds time, std::function<void()> what)
{
    events_.push({start_ + time, next_order_++, std::move(what)});
}

void fake_site::after(milliseconds delay, std::function<void()> what)
{
    events_.push({now_ + delay, next_order_++, std::move(what)});
}

void fake_site::run_for(milliseconds time)
{
    const auto end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.at;
        group_.replicate(now_);
        next.run();
    }
    now_ = end;
}

void fake_site::step(const std::string &name)
{
    if (on_step)
        on_step(name);
}

void fake_site::start_home(std::size_t n)
{
    auto &slot = homes_[n];
    ++slot.incarnation;
    slot.connections.clear();
    slot.waiting.clear();
    slot.deferred.clear();
    slot.paused = false;
    home::home_settings settings;
    settings.database = "db";
    for (std::size_t it = 0; it < options_.instances; ++it)
        settings.instances.push_back("db-" + std::to_string(it + 1));
    settings.slots = slots;
    settings.connection_limit = connection_limit;
    settings.vm_number = static_cast<std::uint32_t>(n + 1);
    settings.seed = options_.seed * 31 + n + slot.incarnation * 1000;
    slot.home_logic = std::make_unique<home::database_home>(settings, hooks_of(n), test_document(), now_);
    slot.home_logic->set_defects(options_.home_defects, options_.failover_defects);
    for (instance_id it = 0; it < options_.instances; ++it)
        slot.home_logic->set_leaving(it, leaving_[it]);
    const auto incarnation = slot.incarnation;
    after(milliseconds(0), [this, n, incarnation] { tick_home(n, incarnation); });
}

home::home_hooks fake_site::hooks_of(std::size_t n)
{
    home::home_hooks out;
    out.call = [this, n](const auto &it) { call(n, it); };
    out.open_connection = [this, n](auto id, auto instance) { open(n, id, instance); };
    out.close_connection = [this, n](auto id) { close(n, id); };
    out.command = [this, n](const auto &it) { command(n, it); };
    out.request_peer_view = [this, n](const auto &it) { request_peer_view(n, it); };
    out.publish = [this](const auto &) { step("published"); };
    out.answer = [this, n](auto key, const auto &answer) {
        const auto it = homes_[n].waiting.find(key);
        if (it == homes_[n].waiting.end()) {
            violations.emplace_back("a request was answered twice");
            return;
        }
        const auto done = it->second;
        homes_[n].waiting.erase(it);
        after(options_.latency, [done, answer] { done(answer); });
    };
    return out;
}

void fake_site::at_home(std::size_t n, milliseconds delay, std::function<void(home_slot &)> what)
{
    const auto incarnation = homes_[n].incarnation;
    after(delay, [this, n, incarnation, what = std::move(what)] {
        auto &slot = homes_[n];
        if (slot.incarnation != incarnation)
            return;
        if (slot.paused)
            slot.deferred.emplace_back([this, n, what] { what(homes_[n]); });
        else
            what(slot);
    });
}

void fake_site::tick_home(std::size_t n, std::uint64_t incarnation)
{
    auto &slot = homes_[n];
    if (slot.incarnation != incarnation)
        return;
    if (!slot.paused)
        slot.home_logic->tick(now_);
    after(tick, [this, n, incarnation] { tick_home(n, incarnation); });
}

void fake_site::submit(std::size_t n, const inner::statement_request &request, answer_hook done)
{
    at_home(n, options_.latency, [this, request, done = std::move(done)](home_slot &slot) {
        const auto key = next_key_++;
        slot.waiting[key] = done;
        slot.home_logic->submit(key, request, now_);
    });
}

bool fake_site::reaches(std::size_t n, instance_id instance) const
{
    return !homes_[n].disconnected.contains(instance);
}

void fake_site::open(std::size_t n, home::connection_id id, instance_id instance)
{
    if (!reaches(n, instance)) {
        at_home(n, open_timeout,
                [this, id](auto &slot) { slot.home_logic->connection_failed(id, false, now_); });
        return;
    }
    if (!group_.up(instance)) {
        at_home(n, 2 * options_.latency,
                [this, id](auto &slot) { slot.home_logic->connection_failed(id, true, now_); });
        return;
    }
    at_home(n, open_time, [this, id, instance](auto &slot) {
        if (!group_.up(instance)) {
            slot.home_logic->connection_failed(id, true, now_);
            return;
        }
        slot.connections[id] = {instance, next_session_++};
        std::uint32_t count = 0;
        for (const auto &[other, it] : slot.connections)
            count += it.instance == instance ? 1 : 0;
        if (count > connection_limit / 2)
            violations.emplace_back("more than half of an instance's connections in use by one home");
        slot.home_logic->connection_opened(id, now_);
    });
}

void fake_site::close(std::size_t n, home::connection_id id)
{
    const auto it = homes_[n].connections.find(id);
    if (it == homes_[n].connections.end())
        return;
    const auto closed = it->second;
    homes_[n].connections.erase(it);
    after(options_.latency, [this, closed] { group_.end_session(closed.instance, closed.session); });
}

void fake_site::call(std::size_t n, const home::upstream_call &call)
{
    const auto it = homes_[n].connections.find(call.connection);
    if (it == homes_[n].connections.end()) {
        // The instance does not have the connection any more; it reports that if it can be reached.
        if (reaches(n, call.instance) && group_.up(call.instance))
            at_home(n, 2 * options_.latency,
                    [this, id = call.connection](auto &slot) { slot.home_logic->connection_lost(id, now_); });
        return;
    }
    const auto session = it->second.session;
    const auto executing_key = n * 100 + call.instance;
    if (++executing_[executing_key] > static_cast<int>(slots) + 4)
        violations.emplace_back("more statements at an instance than its slots allow");
    step(std::string("sent_") + name_of(call.step, call.write));
    after(options_.latency + statement_time, [this, n, call, session, executing_key] {
        --executing_[executing_key];
        execute(n, call, session);
    });
}

void fake_site::execute(std::size_t n, const home::upstream_call &call, std::uint64_t session)
{
    if (!group_.up(call.instance) || !reaches(n, call.instance))
        return; // the request never arrived
    const auto result = group_.execute(call.instance, session, call, now_);
    if (result.outcome == home::call_outcome::ran && !call.request_id.empty())
        ++executions[call.request_id];
    step(std::string("executed_") + name_of(call.step, call.write));
    if (!reaches(n, call.instance) || !group_.up(call.instance))
        return; // a fault that began at this step loses the answer
    if (lose_answers_ > 0) {
        --lose_answers_;
        return;
    }
    auto delay = options_.latency;
    if (!delay_answers_.empty()) {
        delay += delay_answers_.back();
        delay_answers_.pop_back();
    }
    const int times = repeat_answers_ > 0 ? 2 : 1;
    repeat_answers_ = std::max(0, repeat_answers_ - 1);
    for (int it = 0; it < times; ++it) {
        at_home(n, delay * (it + 1), [this, n, call, result](auto &slot) {
            if (!slot.connections.contains(call.connection) || !reaches(n, call.instance))
                return;
            step(std::string("answered_") + name_of(call.step, call.write));
            slot.home_logic->handle_answer(call.connection, result, now_);
        });
    }
}

void fake_site::command(std::size_t n, const home::instance_command &command)
{
    home::command_result result;
    result.command = command;
    result.requested_at = now_;
    if (command.kind == home::command_kind::fence)
        step("sent_fence");
    if (command.kind == home::command_kind::promote)
        step("sent_promote");
    const auto until = now_ + command.timeout;
    after(options_.latency, [this, n, result, until] { run_command(n, result, until); });
}

void fake_site::run_command(std::size_t n, home::command_result result, time_point until)
{
    const auto instance = result.command.instance;
    const auto timeout = std::max(milliseconds(0), std::chrono::ceil<milliseconds>(until - now_));
    const auto answer = [this, n](milliseconds delay, const home::command_result &it) {
        at_home(n, delay, [this, it](auto &slot) { slot.home_logic->handle_answer(it, now_); });
    };
    result.outcome = home::command_outcome::timed_out;
    if (!reaches(n, instance)) {
        answer(timeout, result);
        return;
    }
    if (!group_.up(instance)) {
        result.outcome = home::command_outcome::connection_broken;
        answer(options_.latency, result);
        return;
    }
    const auto kind = result.command.kind;
    if (kind == home::command_kind::fence)
        result.accepted = group_.fence(instance, result.command.term);
    if (kind == home::command_kind::promote)
        result.accepted = group_.promote(instance, result.command.term, now_);
    const bool waits = kind == home::command_kind::status && now_ < until &&
                       group_.status(instance).log < result.command.wait_for;
    if (waits) {
        after(poll_interval, [this, n, result, until] { run_command(n, result, until); });
        return;
    }
    if (kind == home::command_kind::fence)
        step("fenced");
    if (kind == home::command_kind::promote)
        step("promoted");
    if (!reaches(n, instance) || !group_.up(instance)) {
        answer(timeout, result); // the answer is lost
        return;
    }
    result.status = group_.status(instance);
    result.outcome = home::command_outcome::answered;
    answer(options_.latency, result);
}

void fake_site::request_peer_view(std::size_t n, const inner::view_request &request)
{
    step("asked_peer");
    const auto peer = (n + 1) % homes_.size();
    if (peer == n)
        return;
    at_home(peer, options_.latency, [this, n, request](auto &slot) {
        const auto view = slot.home_logic->view_for(request, now_);
        at_home(n, options_.latency,
                [this, view](auto &requester) { requester.home_logic->handle_answer(view, now_); });
    });
}

void fake_site::crash(instance_id instance)
{
    group_.crash(instance);
    for (std::size_t n = 0; n < homes_.size(); ++n) {
        std::vector<home::connection_id> lost;
        for (const auto &[id, it] : homes_[n].connections) {
            if (it.instance == instance)
                lost.push_back(id);
        }
        for (const auto id : lost) {
            homes_[n].connections.erase(id);
            if (reaches(n, instance))
                at_home(n, options_.latency,
                        [this, id](auto &slot) { slot.home_logic->connection_lost(id, now_); });
        }
    }
}

void fake_site::restart(instance_id instance)
{
    if (!group_.up(instance))
        group_.restart(instance);
}

void fake_site::disconnect_home(std::size_t n, instance_id instance, bool disconnected)
{
    if (disconnected)
        homes_[n].disconnected.insert(instance);
    else
        homes_[n].disconnected.erase(instance);
}

void fake_site::disconnect_home_from_all(std::size_t n, bool disconnected)
{
    for (instance_id it = 0; it < options_.instances; ++it)
        disconnect_home(n, it, disconnected);
}

void fake_site::isolate(instance_id instance, bool disconnected)
{
    for (std::size_t n = 0; n < homes_.size(); ++n)
        disconnect_home(n, instance, disconnected);
    for (instance_id it = 0; it < options_.instances; ++it) {
        if (it != instance)
            disconnect_instances(instance, it, disconnected);
    }
}

void fake_site::set_lag(milliseconds lag)
{
    // One replica lags more than the others, so that it matters which one is read or promoted.
    for (instance_id it = 0; it < options_.instances; ++it)
        group_.set_lag(it, it == 1 ? 4 * lag : lag);
}

void fake_site::resume(std::size_t n)
{
    auto &slot = homes_[n];
    if (!slot.paused)
        return;
    slot.paused = false;
    for (const auto &it : std::exchange(slot.deferred, {}))
        it();
}

void fake_site::kill(std::size_t n)
{
    for (const auto &[id, it] : homes_[n].connections) {
        const auto closed = it;
        after(options_.latency, [this, closed] { group_.end_session(closed.instance, closed.session); });
    }
    start_home(n);
}

void fake_site::end_connections(std::size_t n)
{
    std::vector<home::connection_id> ids;
    for (const auto &[id, it] : homes_[n].connections)
        ids.push_back(id);
    for (const auto id : ids) {
        close(n, id);
        at_home(n, options_.latency, [this, id](auto &slot) { slot.home_logic->connection_lost(id, now_); });
    }
}

void fake_site::set_leaving(instance_id instance, bool leaving)
{
    leaving_[instance] = leaving;
    for (auto &it : homes_)
        it.home_logic->set_leaving(instance, leaving);
}

void fake_site::heal()
{
    healed_ = true;
    for (instance_id it = 0; it < options_.instances; ++it) {
        restart(it);
        isolate(it, false);
        if (leaving_[it])
            set_leaving(it, false);
    }
    set_lag(options_.lag);
    for (std::size_t n = 0; n < homes_.size(); ++n)
        resume(n);
    lose_answers_ = 0;
    repeat_answers_ = 0;
    delay_answers_.clear();
}

std::optional<instance_id> fake_site::primary() const
{
    std::optional<instance_id> out;
    for (instance_id it = 0; it < options_.instances; ++it) {
        const auto status = group_.status(it);
        if (status.role != consistency::instance_role::primary)
            continue;
        if (!out || status.promised_term > group_.status(*out).promised_term)
            out = it;
    }
    return out;
}

} // namespace fake
