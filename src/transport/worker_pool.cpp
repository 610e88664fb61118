#include "transport/worker_pool.h"

#include <utility>

namespace lacewinglock
{

worker_pool::worker_pool(int threads)
{
    for (int i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] {
            runTasks();
        });
    }
}

worker_pool::~worker_pool()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_tasks.clear();
    }
    m_changed.notify_all();
    for (auto &thread : m_threads) {
        thread.join();
    }
}

void worker_pool::submit(std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    m_changed.notify_one();
}

void worker_pool::runTasks()
{
    for (;;) {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] {
            return m_stopping || !m_tasks.empty();
        });
        if (m_stopping) {
            return;
        }
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
    }
}

}
