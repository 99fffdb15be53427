#pragma once

#include <functional>

#include "reactor/reactor.h"

namespace greengagehitch {

/// Handles the signals of a daemon on the reactor's thread: SIGTERM and SIGINT call `stop`, SIGHUP calls
/// `dump`, which logs the state.
class signal_watcher {
public:
    /// Blocks the signals in the calling thread and all threads started later, so that only the watcher
    /// receives them. Also ignores SIGPIPE.
    static void block();

    signal_watcher(reactor& reactor, std::function<void()> stop, std::function<void()> dump);

private:
    void read();

    std::function<void()> m_on_stop;
    std::function<void()> m_on_dump;
    file_descriptor m_descriptor;
};

} // namespace greengagehitch
