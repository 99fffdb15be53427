#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "database/batch.h"
#include "reactor/reactor.h"

namespace greengagehitch {

struct libpq_options {
    std::string user;
    std::string password;
    std::string tls_mode = "disable";
    std::string application_name;
};

/// Implements the database hooks with the asynchronous interface and the pipeline mode of libpq.
class libpq_connector {
public:
    libpq_connector(reactor& reactor, libpq_options options);
    ~libpq_connector();
    libpq_connector(libpq_connector const&) = delete;
    libpq_connector& operator=(libpq_connector const&) = delete;
    libpq_connector(libpq_connector&&) = delete;
    libpq_connector& operator=(libpq_connector&&) = delete;

    /// Returns hooks that refer to this object.
    database_hooks hooks();

private:
    class connection;

    connection_id open(member_address const& address, open_callback on_opened);
    void execute(connection_id id, batch const& request, batch_callback on_answered);
    void close(connection_id id);

    reactor& m_reactor;
    libpq_options m_options;
    std::uint64_t m_next_id = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<connection>> m_connections;
};

} // namespace greengagehitch
