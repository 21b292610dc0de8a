#include "store/vm_list.h"

#include "support/json_log.h"

#include <nlohmann/json.hpp>

namespace baobabport::store {

namespace {

constexpr std::chrono::milliseconds watch_duration{60000};

} // namespace

std::optional<vm_list> read_vm_list(const std::string &value)
{
    try {
        const auto fields = nlohmann::json::parse(value);
        vm_list out;
        out.leaving_vms = fields.value("leaving_vms", out.leaving_vms);
        out.leaving_instances = fields.value("leaving_instances", out.leaving_instances);
        return out;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

vm_list_task::vm_list_task(event_base *base, store_client &store, std::uint64_t seed, change_hook on_change)
    : store_(store), on_change_(std::move(on_change)), timer_(base, [this] { watch(); }), retry_policy_(seed)
{
    watch();
}

void vm_list_task::watch()
{
    store_.watch(vm_list_key, revision_, watch_duration, [this](const store_answer &answer) {
        if (answer.outcome == store_outcome::unchanged) {
            retry_policy_.succeeded();
            timer_.start(std::chrono::milliseconds(0));
            return;
        }
        if (answer.outcome != store_outcome::done) {
            timer_.start(retry_policy_.after_failure());
            return;
        }
        revision_ = answer.revision;
        if (const auto list = read_vm_list(answer.value))
            on_change_(*list);
        else
            support::log_warning("vm_list_unreadable");
        retry_policy_.succeeded();
        timer_.start(retry_policy_.after_shared_change());
    });
}

} // namespace baobabport::store
