#include "inner/timer.h"

#include <event2/event.h>
#include <utility>

namespace baobabport::inner {

namespace {

timeval to_timeval(std::chrono::milliseconds value)
{
    return {static_cast<time_t>(value.count() / 1000), static_cast<suseconds_t>(value.count() % 1000 * 1000)};
}

} // namespace

class timer::impl
{
public:
    impl(event_base *base, std::function<void()> hook) : base_(base), hook_(std::move(hook)) {}
    ~impl() { clear(); }
    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;

    void arm(std::chrono::milliseconds time, bool repeating)
    {
        clear();
        event_ = event_new(base_, -1, static_cast<short>(repeating ? EV_PERSIST : 0), on_time, this);
        const auto tv = to_timeval(time);
        event_add(event_, &tv);
    }

    void clear()
    {
        if (event_)
            event_free(event_);
        event_ = nullptr;
    }

private:
    static void on_time(int /*socket*/, short /*what*/, void *self)
    {
        const auto hook = static_cast<impl *>(self)->hook_; // may destroy the timer
        hook();
    }

    event_base *base_;
    std::function<void()> hook_;
    event *event_ = nullptr;
};

timer::timer(event_base *base, std::function<void()> hook)
    : impl_(std::make_unique<impl>(base, std::move(hook)))
{
}
timer::~timer() = default;
void timer::start(std::chrono::milliseconds delay)
{
    impl_->arm(delay, false);
}
void timer::repeat(std::chrono::milliseconds interval)
{
    impl_->arm(interval, true);
}
void timer::stop()
{
    impl_->clear();
}

} // namespace baobabport::inner
