#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace lacewinglock
{

/// A task queue that adds a thread whenever all are busy: a stream occupies its thread while it runs, so a fixed pool would
/// make new connections wait for old streams.
class growing_queue final : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override;
    void shutdown() override;

private:
    void work();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_ending = false;
};

}
