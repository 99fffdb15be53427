#include "reactor/signal_watcher.h"

#include <csignal>
#include <utility>

#include <sys/signalfd.h>

namespace greengagehitch {

namespace {

sigset_t handled_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

void signal_watcher::block()
{
    auto const signals = handled_signals();
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

signal_watcher::signal_watcher(reactor& reactor, std::function<void()> stop, std::function<void()> dump)
    : m_on_stop(std::move(stop)), m_on_dump(std::move(dump))
{
    auto const signals = handled_signals();
    m_descriptor = file_descriptor(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
    reactor.watch(m_descriptor.get(), EPOLLIN, [this](std::uint32_t /*events*/) { read(); });
}

void signal_watcher::read()
{
    signalfd_siginfo received{};
    while (::read(m_descriptor.get(), &received, sizeof(received)) == sizeof(received)) {
        if (received.ssi_signo == SIGHUP) {
            m_on_dump();
        }
        else {
            m_on_stop();
        }
    }
}

} // namespace greengagehitch
