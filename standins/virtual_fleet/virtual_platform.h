#pragma once

#include <functional>
#include <string>

#include "platform/platform_model.h"
#include "virtual_network.h"

namespace greengagehitch::standin {

/// The platform in virtual time, with outages, slowness and answers that get lost after the change.
class virtual_platform {
public:
    virtual_platform(virtual_clock& clock, virtual_network& network) : m_clock(clock), m_network(network) {}

    platform_model& model() { return m_model; }

    void set_down(bool is_down) { m_is_down = is_down; }
    bool is_down() const { return m_is_down; }
    void set_extra_delay(duration delay) { m_extra_delay = delay; }
    void set_lost_answer_share(double share) { m_lost_answer_share = share; }

    /// Hooks of one VM. `deliver` delivers a callback to the VM, or drops it when the VM is gone.
    platform_hooks hooks(std::string const& zone, std::function<void(std::function<void()>)> deliver);

private:
    /// Carries `operation` to the platform and its result back.
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
