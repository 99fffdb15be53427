#pragma once

#include <memory>
#include <string>

#include "database/batch.h"
#include "kernel/kernel.h"

namespace greengagehitch {

/// Open connection to one member. Closes it when it goes out of scope; answers that come later are dropped,
/// so they cannot reach another request.
class member_connection {
public:
    using opened_callback = std::function<void(std::optional<database_failure>)>;

    member_connection(kernel& kernel, database_hooks const& hooks);
    ~member_connection();
    member_connection(member_connection const&) = delete;
    member_connection& operator=(member_connection const&) = delete;
    member_connection(member_connection&&) = delete;
    member_connection& operator=(member_connection&&) = delete;

    /// Opens the connection. `opened` comes once, unless the object goes first.
    void open(member_address const& address, duration timeout, opened_callback opened);

    /// Sends a batch. `answered` comes once, unless the object goes first; after a timeout or a lost
    /// connection the connection is broken.
    void execute(batch question, duration timeout, batch_callback answered);

    bool is_broken() const { return m_is_broken; }
    std::size_t batches_in_flight() const { return m_in_flight; }

    /// Marks the connection as unfit for another request.
    void set_broken();

private:
    struct shared_state {
        bool is_alive = true;
    };

    kernel& m_kernel;
    database_hooks const& m_hooks;
    std::weak_ptr<bool> m_kernel_lifetime;
    std::shared_ptr<shared_state> m_state = std::make_shared<shared_state>();
    connection_id m_id = connection_id::none;
    bool m_is_broken = false;
    std::size_t m_in_flight = 0;
};

} // namespace greengagehitch
