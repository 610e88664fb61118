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

/// Thread pool that adds a thread whenever all are busy: a stream occupies its thread while it runs, so in a pool of fixed size new
/// connections would wait for running streams.
class growing_thread_pool final : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override;
    void shutdown() override;

private:
    void runTasks();

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idleThreads = 0;
    bool m_shuttingDown = false;
};

}
