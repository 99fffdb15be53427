#pragma once

#include <functional>

#include "reactor/reactor.h"

namespace greengagehitch {

/// Turns the signals that daemons know into calls on the reactor: SIGTERM and SIGINT ask to stop, SIGHUP for
/// the state.
class signal_watcher {
public:
    /// Blocks the signals for all threads that start later, so that they reach only the watch.
    static void block();

    signal_watcher(reactor& reactor, std::function<void()> stop, std::function<void()> dump);

private:
    void read();

    std::function<void()> m_on_stop;
    std::function<void()> m_on_dump;
    file_descriptor m_descriptor;
};

} // namespace greengagehitch
