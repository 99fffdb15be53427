#pragma once

#include <map>
#include <memory>
#include <string>

#include "configuration/configuration_service.h"
#include "kernel/kernel.h"
#include "request/request_context.h"
#include "routing/group_directory.h"
#include "routing/write_service.h"

namespace greengagehitch {

/// Runs interactive transactions. Each is pinned to one connection of this VM and ends by commit, by
/// rollback, at its idle limit, or when its key is withdrawn.
class transaction_service : public service {
public:
    static constexpr std::string_view service_name = "transactions";

    explicit transaction_service(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Begins a transaction at the primary and answers with its id.
    void begin(request_pointer const& request);
    /// Runs the statements of the request in the transaction that the request names.
    void execute_statements(request_pointer const& request);
    void commit(request_pointer const& request);
    void roll_back(request_pointer const& request);

    /// Class of work of a running transaction; an empty string if no transaction has this id.
    std::string class_of(std::string const& transaction) const;
    /// Database group of a running transaction; an empty string if no transaction has this id.
    std::string database_of(std::string const& transaction) const;

    /// Number of running transactions.
    std::size_t size() const { return m_transactions.size(); }

private:
    struct transaction;
    using transaction_pointer = std::shared_ptr<transaction>;

    /// Finds the transaction that the request names. Returns null, and refuses the request, when it is
    /// unknown or still runs an earlier request.
    transaction_pointer find_or_refuse(request_context& request);
    void restart_idle_timer(transaction_pointer const& open_transaction);
    void end(transaction_pointer const& open_transaction);
    void end_transactions_of_withdrawn_keys();
    void send_begin(request_pointer const& request, std::size_t member,
                    leased_connection_pointer const& connection);

    kernel& m_kernel;
    configuration_service* m_configuration = nullptr;
    group_directory* m_directory = nullptr;
    write_service* m_writes = nullptr;
    std::map<std::string, transaction_pointer> m_transactions;
    std::uint64_t m_expired = 0;
};

} // namespace greengagehitch
