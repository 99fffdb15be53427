#pragma once

#include <functional>
#include <string>

#include "platform/platform_model.h"
#include "virtual_network.h"

namespace greengagehitch::standin {

/// Simulates the platform in virtual time, with outages, added delay, and answers that are lost after the
/// operation was carried out.
class virtual_platform {
public:
    virtual_platform(virtual_clock& clock, virtual_network& network) : m_clock(clock), m_network(network) {}

    platform_model& model() { return m_model; }

    void set_down(bool is_down) { m_is_down = is_down; }
    bool is_down() const { return m_is_down; }
    /// Sets a delay that is added to each request.
    void set_extra_delay(duration delay) { m_extra_delay = delay; }
    /// Sets the fraction of answers that are lost after the operation was carried out.
    void set_lost_answer_share(double share) { m_lost_answer_share = share; }

    /// Returns the platform hooks of one VM. `deliver` runs a callback in the VM, or drops the callback if
    /// the VM is no longer running.
    platform_hooks hooks(std::string const& zone, std::function<void(std::function<void()>)> deliver);

private:
    /// Executes `operation` at the platform after the network delay and passes its result to `done`. Without
    /// an answer, `done` receives an unavailable error after the call timeout.
    template <typename Result>
    void call(std::string const& zone, std::function<void(std::function<void()>)> const& deliver,
              std::function<Result()> operation, std::function<void(Result)> done);

    virtual_clock& m_clock;
    virtual_network& m_network;
    platform_model m_model;
    bool m_is_down = false;
    duration m_extra_delay{};
    double m_lost_answer_share = 0;
};

} // namespace greengagehitch::standin
