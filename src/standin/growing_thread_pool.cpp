#include "standin/growing_thread_pool.h"

namespace lacewinglock
{

void growing_thread_pool::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_idleThreads < m_tasks.size()) {
        m_threads.emplace_back([this] {
            runTasks();
        });
    }
    m_wakeUp.notify_one();
}

void growing_thread_pool::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_shuttingDown = true;
    }
    m_wakeUp.notify_all();
    for (auto &thread : m_threads) {
        thread.join();
    }
}

void growing_thread_pool::runTasks()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idleThreads;
        m_wakeUp.wait(lock, [this] {
            return m_shuttingDown || !m_tasks.empty();
        });
        --m_idleThreads;
        if (m_tasks.empty()) {
            return;
        }
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

}
