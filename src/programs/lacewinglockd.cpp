#include "coordination/node.h"
#include "transport/json_log.h"

#include <csignal>
#include <gflags/gflags.h>
#include <glog/logging.h>

DEFINE_string(settings, "", "JSON file with the settings of this daemon");

namespace
{

// Signals are blocked before the first thread starts, so that all threads inherit the mask and only sigwait() receives them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

}

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    const lacewinglock::json_log log;
    const sigset_t signals = blockStopSignals();
    auto settings = lacewinglock::loadSettings(FLAGS_settings);
    if (!settings.ok()) {
        LOG(ERROR) << settings.status().message();
        return 2;
    }
    lacewinglock::node daemon(*std::move(settings));
    if (const auto started = daemon.start(); !started.ok()) {
        LOG(ERROR) << started.message();
        return 1;
    }
    LOG(INFO) << "serving callers on port " << daemon.callerPort() << ", peers on port " << daemon.peerPort();
    int received = 0;
    sigwait(&signals, &received);
    daemon.drain();
    return 0;
}
