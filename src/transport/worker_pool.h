#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace lacewinglock
{

/// Fixed number of threads that start tasks in the order of submission.
class worker_pool
{
public:
    explicit worker_pool(int threads);
    /// Waits for the running tasks and discards the queued ones.
    ~worker_pool();
    worker_pool(const worker_pool &) = delete;
    worker_pool &operator=(const worker_pool &) = delete;

    void submit(std::function<void()> task);

private:
    void runTasks();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

}
