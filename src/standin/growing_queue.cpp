#include "standin/growing_queue.h"

namespace lacewinglock
{

void growing_queue::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_idle < m_tasks.size()) {
        m_threads.emplace_back([this] {
            work();
        });
    }
    m_changed.notify_one();
}

void growing_queue::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_ending = true;
    }
    m_changed.notify_all();
    for (auto &thread : m_threads) {
        thread.join();
    }
}

void growing_queue::work()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_changed.wait(lock, [this] {
            return m_ending || !m_tasks.empty();
        });
        --m_idle;
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
