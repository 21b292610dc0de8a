#include "admission/request_queue.h"

#include <algorithm>

namespace baobabport::admission {

namespace {

/// Maximum number of requests per lane that are searched for an eligible one.
constexpr std::size_t search_depth = 16;

} // namespace

bool request_queue::push(const queued_request &request, const document::limit_policy &limits)
{
    if (length_ + 1 > limits.queue_length || bytes_ + request.bytes > limits.queue_bytes)
        return false;
    lane_of(request).waiting.push_back(request);
    ++length_;
    bytes_ += request.bytes;
    return true;
}

void request_queue::push_to_front(const queued_request &request)
{
    lane_of(request).waiting.push_front(request);
    ++length_;
    bytes_ += request.bytes;
}

request_queue::class_lane &request_queue::lane_of(const queued_request &request)
{
    const auto it = std::find_if(lanes_.begin(), lanes_.end(),
                                 [&](const auto &lane) { return lane.class_name == request.class_name; });
    if (it == lanes_.end()) {
        lanes_.push_back({request.class_name, request.priority, request.weight, 0, {}});
        return lanes_.back();
    }
    it->priority = request.priority;
    it->weight = std::max<std::uint32_t>(1, request.weight);
    if (it->waiting.empty()) {
        // An idle lane accumulates no share.
        for (const auto &other : lanes_) {
            if (!other.waiting.empty() && other.priority == it->priority)
                it->served = std::max(it->served, other.served - 1.0);
        }
    }
    return *it;
}

std::optional<queued_request> request_queue::pop(const eligibility_predicate &predicate,
                                                 const document::limit_policy &limits, time_point now)
{
    // After a suspension of this process, the queue may contain requests whose deadline has passed and
    // whose callers do not wait any more.
    const eligibility_predicate eligible = [&predicate, now](const auto &request) {
        return request.deadline > now && predicate(request);
    };
    if (length_ == 0)
        return std::nullopt;
    if (order == order_kind::arrival)
        return pop_oldest(eligible, time_point::max());
    if (popped_since_aged_ + 1 >= requests_per_aged) {
        if (auto found = pop_oldest(eligible, now - limits.ageing)) {
            popped_since_aged_ = 0;
            return found;
        }
    }
    std::vector<class_lane *> lanes_by_share;
    for (auto &it : lanes_) {
        if (!it.waiting.empty())
            lanes_by_share.push_back(&it);
    }
    std::sort(lanes_by_share.begin(), lanes_by_share.end(), [](const class_lane *a, const class_lane *b) {
        if (a->priority != b->priority)
            return a->priority < b->priority;
        return a->served < b->served;
    });
    for (auto *it : lanes_by_share) {
        if (auto found = pop_from(*it, eligible)) {
            const std::chrono::duration<double> cost = found->cost;
            it->served += cost.count() / it->weight;
            ++popped_since_aged_;
            return found;
        }
    }
    return std::nullopt;
}

std::optional<queued_request> request_queue::pop_from(class_lane &from, const eligibility_predicate &eligible)
{
    const auto depth = std::min(from.waiting.size(), search_depth);
    for (std::size_t n = 0; n < depth; ++n) {
        if (!eligible(from.waiting[n]))
            continue;
        auto found = from.waiting[n];
        from.waiting.erase(from.waiting.begin() + static_cast<std::ptrdiff_t>(n));
        subtract(found);
        return found;
    }
    return std::nullopt;
}

std::optional<queued_request> request_queue::pop_oldest(const eligibility_predicate &eligible,
                                                        time_point enqueued_before)
{
    std::vector<class_lane *> by_age;
    for (auto &it : lanes_) {
        if (!it.waiting.empty() && it.waiting.front().enqueued_at < enqueued_before)
            by_age.push_back(&it);
    }
    std::sort(by_age.begin(), by_age.end(), [](const class_lane *a, const class_lane *b) {
        return a->waiting.front().enqueued_at < b->waiting.front().enqueued_at;
    });
    for (auto *it : by_age) {
        if (order == order_kind::arrival && !eligible(it->waiting.front()))
            return std::nullopt; // plain arrival order: the oldest request blocks the rest
        if (auto found = pop_from(*it, eligible))
            return found;
    }
    return std::nullopt;
}

std::vector<queued_request> request_queue::pop_expired(time_point now)
{
    std::vector<queued_request> out;
    for (auto &it : lanes_) {
        const auto first = std::stable_partition(it.waiting.begin(), it.waiting.end(),
                                                 [&](const auto &request) { return request.deadline > now; });
        out.insert(out.end(), first, it.waiting.end());
        it.waiting.erase(first, it.waiting.end());
    }
    for (const auto &it : out)
        subtract(it);
    return out;
}

bool request_queue::remove(std::uint64_t key)
{
    for (auto &lane : lanes_) {
        const auto it = std::find_if(lane.waiting.begin(), lane.waiting.end(),
                                     [&](const auto &request) { return request.key == key; });
        if (it == lane.waiting.end())
            continue;
        subtract(*it);
        lane.waiting.erase(it);
        return true;
    }
    return false;
}

void request_queue::subtract(const queued_request &request)
{
    --length_;
    bytes_ -= request.bytes;
}

std::chrono::microseconds request_queue::slot_time_ahead(document::priority_kind priority) const
{
    std::chrono::microseconds sum{0};
    for (const auto &it : lanes_) {
        if (it.priority > priority && order == order_kind::by_class)
            continue;
        for (const auto &request : it.waiting)
            sum += request.cost;
    }
    return sum;
}

std::size_t request_queue::length_of(const std::string &class_name) const
{
    for (const auto &it : lanes_) {
        if (it.class_name == class_name)
            return it.waiting.size();
    }
    return 0;
}

std::optional<time_point> request_queue::next_deadline() const
{
    std::optional<time_point> out;
    for (const auto &lane : lanes_) {
        for (const auto &it : lane.waiting) {
            if (!out || it.deadline < *out)
                out = it.deadline;
        }
    }
    return out;
}

} // namespace baobabport::admission
